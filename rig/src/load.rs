//! Measures how one customer's overload affects the other customers.
//!
//! The baseline is a single queue that is served first come, first served.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crocustiller::{
    net::{Exchange, HttpClient},
    runtime,
};
use serde::Serialize;
use serde_json::json;

use crate::{
    deployment::{customer_name, Deployment, N_CUSTOMERS},
    live_load::{chat_request, check_answer, Outcome},
    options::{BurstOptions, LoadOptions},
};

/// The timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout in milliseconds that a caller sends to the entry host.
const DEADLINE_MS: &str = "5000";
/// The number of requests that an engine runs concurrently, the default of the slots' settings.
const ENGINE_CONCURRENCY: f64 = 8.0;
/// The time from the start of a request at an engine to its first token, in milliseconds.
const FIRST_TOKEN_MS: u64 = 100;
/// The time between two of the eight tokens of an answer, in milliseconds.
const TOKEN_MS: u64 = 20;
/// The time that an engine needs to generate one answer, in seconds.
///
/// It is `FIRST_TOKEN_MS` and seven times `TOKEN_MS`.
const ANSWER_S: f64 = 0.24;
/// The stated target: the highest allowed value of `others_p99_ratio`.
const MAX_P99_RATIO: f64 = 1.2;
/// The pause before a phase, in which the queues drain.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The figures of a run.
#[derive(Debug, Serialize)]
pub(crate) struct LoadFigures {
    hosts: usize,
    overload: f64,
    seed: u64,
    capacity_per_s: f64,
    phases: Vec<PhaseFigures>,
    /// The other customers' p99 response time in the overload phase, divided by that in the calm
    /// phase.
    others_p99_ratio: Option<f64>,
    /// The same ratio for the baseline phase, first come, first served.
    baseline_p99_ratio: Option<f64>,
    /// The highest number of times that engines ran one request.
    max_runs_per_id: u64,
    /// The number of requests with the verdict not-run that an engine did run.
    not_run_that_ran: u64,
    /// The violated guarantees.
    pub(crate) broken: Vec<String>,
}

/// The figures of one phase.
#[derive(Debug, Serialize)]
struct PhaseFigures {
    name: &'static str,
    customers: BTreeMap<String, CustomerFigures>,
    /// The p99 response time of all customers but the first, which causes the overload.
    others_p99_ms: Option<f64>,
}

/// The outcomes and latencies of one customer's requests in a phase.
#[derive(Clone, Debug, Default, Serialize)]
struct CustomerFigures {
    requests: u64,
    answered: u64,
    refused_by_verdict: BTreeMap<String, u64>,
    wrong_answers: u64,
    cut: u64,
    wait_p50_ms: Option<f64>,
    wait_p99_ms: Option<f64>,
    first_token_p50_ms: Option<f64>,
    first_token_p99_ms: Option<f64>,
    answer_p99_ms: Option<f64>,
}

/// The outcome and latencies of one request, as its caller observed them.
#[derive(Debug)]
struct LoadSample {
    id: String,
    customer: usize,
    outcome: Outcome,
    verdict: String,
    wait_ms: f64,
    first_token_ms: f64,
    answer_ms: f64,
}

/// The load pattern of one phase.
#[derive(Clone, Copy, Debug)]
struct Phase {
    name: &'static str,
    /// The requests per second of each customer.
    rates: [f64; N_CUSTOMERS],
    /// Whether all requests use one customer's queue, as under first come, first served.
    shares_one_queue: bool,
}

/// Runs all phases in sequence on one deployment and returns the figures.
pub(crate) async fn run(options: &LoadOptions) -> io::Result<LoadFigures> {
    let mut burst_options = BurstOptions::without_burst(options.hosts, options.seed);
    burst_options.entry_hosts = options.entry_hosts;
    let deployment = Deployment::start(&burst_options).await?;
    set_engine_speed(&deployment).await?;
    let capacity = options.hosts as f64 * ENGINE_CONCURRENCY / ANSWER_S;
    let quiet = capacity * options.load;
    let busy = capacity * options.overload;
    let mut phases = Vec::new();
    let mut samples = Vec::new();
    for phase in [
        Phase { name: "calm", rates: [quiet; N_CUSTOMERS], shares_one_queue: false },
        Phase { name: "overload", rates: [busy, quiet, quiet], shares_one_queue: false },
        Phase { name: "baseline", rates: [busy, quiet, quiet], shares_one_queue: true },
    ] {
        runtime::sleep(SETTLE_TIME).await;
        eprintln!("rig: phase {}", phase.name);
        let phase_samples = run_phase(&deployment, phase, options).await;
        phases.push(phase_figures(phase.name, &phase_samples));
        samples.extend(phase_samples);
    }
    let runs = runs_by_id(&deployment).await?;
    deployment.shut_down();
    let ratio = |phase: &PhaseFigures| Some(phase.others_p99_ms? / phases[0].others_p99_ms?);
    let not_run = samples.iter().filter(|it| it.verdict == "not-run");
    let mut figures = LoadFigures {
        hosts: options.hosts,
        overload: options.overload,
        seed: options.seed,
        capacity_per_s: capacity,
        others_p99_ratio: ratio(&phases[1]),
        baseline_p99_ratio: ratio(&phases[2]),
        max_runs_per_id: runs.values().copied().max().unwrap_or(0),
        not_run_that_ran: not_run.filter(|it| runs.contains_key(&it.id)).count() as u64,
        phases,
        broken: Vec::new(),
    };
    figures.check_guarantees(options.kill.is_some());
    Ok(figures)
}

async fn set_engine_speed(deployment: &Deployment) -> io::Result<()> {
    let behaviour = json!({
        "first_token_ms": FIRST_TOKEN_MS, "token_ms": TOKEN_MS,
        "concurrency": ENGINE_CONCURRENCY as u64,
    });
    for address in deployment.backends.iter().filter_map(|it| it.engine) {
        deployment.api.post(address, "/faults", &behaviour).await?;
    }
    Ok(())
}

async fn runs_by_id(deployment: &Deployment) -> io::Result<BTreeMap<String, u64>> {
    let mut runs = BTreeMap::new();
    for address in deployment.backends.iter().filter_map(|it| it.engine) {
        let counts = deployment.api.get(address, "/counts").await?;
        for (id, n) in counts["runs"].as_object().into_iter().flatten() {
            *runs.entry(id.clone()).or_default() += n.as_u64().unwrap_or(0);
        }
    }
    Ok(runs)
}

/// Sends the requests of a phase at their arrival times, without waiting for earlier responses.
async fn run_phase(
    deployment: &Deployment,
    phase: Phase,
    options: &LoadOptions,
) -> Vec<LoadSample> {
    let entries: Arc<Vec<SocketAddr>> =
        Arc::new(deployment.entries.iter().map(|it| it.request).collect());
    let http = HttpClient::new();
    let samples = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    let mut tasks = Vec::new();
    let mut is_killed = options.kill.is_none();
    for (number, (at_s, customer)) in arrivals(phase, options).into_iter().enumerate() {
        runtime::sleep_until(started + Duration::from_secs_f64(at_s)).await;
        if !is_killed && phase.name == "overload" && at_s > options.seconds / 2.0 {
            is_killed = true;
            deployment.children.kill(options.kill.as_deref().unwrap_or_default());
        }
        let id = format!("load-{}-{}-{number}", options.seed, phase.name);
        let (entries, http, samples) = (entries.clone(), http.clone(), samples.clone());
        tasks.push(runtime::spawn(async move {
            let entry = entries[number % entries.len()];
            let sample = send_request(&http, entry, id, customer, phase.shares_one_queue).await;
            samples.lock().unwrap().push(sample);
        }));
    }
    for task in tasks {
        task.await;
    }
    let mut samples = samples.lock().unwrap();
    std::mem::take(&mut *samples)
}

/// Returns the Poisson arrivals of all customers in order of time.
///
/// Each arrival is the time in seconds since the start of the phase and the customer's index.
fn arrivals(phase: Phase, options: &LoadOptions) -> Vec<(f64, usize)> {
    let mut all = Vec::new();
    for (customer, rate) in phase.rates.iter().enumerate() {
        let mut random = fastrand::Rng::with_seed(options.seed * 10 + customer as u64);
        let mut at_s = 0.0;
        loop {
            at_s += -(1.0 - random.f64()).ln() / rate;
            if at_s >= options.seconds {
                break;
            }
            all.push((at_s, customer));
        }
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

/// Sends one request and measures its response.
///
/// With `shares_one_queue`, the request is sent as the first customer, so that all use one queue.
async fn send_request(
    http: &HttpClient,
    entry: SocketAddr,
    id: String,
    customer_idx: usize,
    shares_one_queue: bool,
) -> LoadSample {
    let name = customer_name(if shares_one_queue { 0 } else { customer_idx });
    let mut request = chat_request(entry, &id, &name, true);
    request.insert_header("X-Deadline-Ms", DEADLINE_MS);
    let sent = Instant::now();
    let mut sample = LoadSample {
        id: id.clone(),
        customer: customer_idx,
        outcome: Outcome::Lost(String::new()),
        verdict: String::new(),
        wait_ms: 0.0,
        first_token_ms: 0.0,
        answer_ms: 0.0,
    };
    match http.send(entry, request, REQUEST_TIMEOUT).await {
        Ok(exchange) => {
            sample.first_token_ms = ms_since(sent);
            sample.verdict = header(&exchange, "X-Verdict").unwrap_or_default();
            let wait = header(&exchange, "X-Wait-Ms").and_then(|it| it.parse().ok());
            sample.wait_ms = wait.unwrap_or(0.0);
            sample.outcome = check_answer(&id, true, exchange).await.0;
        }
        Err(err) => {
            sample.verdict = err.verdict().as_str().to_owned();
            sample.outcome = Outcome::Lost(err.to_string());
        }
    }
    sample.answer_ms = ms_since(sent);
    sample
}

fn phase_figures(name: &'static str, samples: &[LoadSample]) -> PhaseFigures {
    let mut customers = BTreeMap::new();
    for customer_idx in 0..N_CUSTOMERS {
        let own_samples: Vec<&LoadSample> =
            samples.iter().filter(|it| it.customer == customer_idx).collect();
        customers.insert(customer_name(customer_idx), customer_figures(&own_samples));
    }
    let is_other = |it: &&LoadSample| it.customer > 0 && it.outcome == Outcome::Answered;
    let others: Vec<&LoadSample> = samples.iter().filter(is_other).collect();
    let others_p99_ms = percentile(&others, 99, |it| it.answer_ms);
    PhaseFigures { name, customers, others_p99_ms }
}

fn customer_figures(own_samples: &[&LoadSample]) -> CustomerFigures {
    let mut figures = CustomerFigures { requests: own_samples.len() as u64, ..Default::default() };
    for sample in own_samples {
        match &sample.outcome {
            Outcome::Answered => figures.answered += 1,
            Outcome::Lost(_) => {
                *figures.refused_by_verdict.entry(sample.verdict.clone()).or_default() += 1;
            }
            Outcome::Cut(_) => figures.cut += 1,
            Outcome::Wrong(_) => figures.wrong_answers += 1,
        }
    }
    let answered = own_samples.iter().filter(|it| it.outcome == Outcome::Answered);
    let answered: Vec<&LoadSample> = answered.copied().collect();
    figures.wait_p50_ms = percentile(&answered, 50, |it| it.wait_ms);
    figures.wait_p99_ms = percentile(&answered, 99, |it| it.wait_ms);
    figures.first_token_p50_ms = percentile(&answered, 50, |it| it.first_token_ms);
    figures.first_token_p99_ms = percentile(&answered, 99, |it| it.first_token_ms);
    figures.answer_p99_ms = percentile(&answered, 99, |it| it.answer_ms);
    figures
}

impl LoadFigures {
    /// Sets `broken` to the guarantees that the figures violate.
    ///
    /// The limits on refused requests and on delay do not apply to the baseline.
    fn check_guarantees(&mut self, kills_process: bool) {
        let mut broken = Vec::new();
        let mut check = |is_met: bool, violation: &str| {
            if !is_met {
                broken.push(violation.to_owned());
            }
        };
        for phase in &self.phases {
            let customers = phase.customers.values();
            check(customers.clone().all(|it| it.wrong_answers == 0), "an answer was wrong");
            check(kills_process || customers.clone().all(|it| it.cut == 0), "an answer was cut");
        }
        for phase in &self.phases[..2] {
            let others = phase.customers.iter().filter(|(name, _)| **name != customer_name(0));
            let lost: u64 = others.map(|(_, it)| it.requests - it.answered).sum();
            check(
                kills_process || lost == 0,
                "a request of a customer under its share was refused",
            );
        }
        let ratio = self.others_p99_ratio.unwrap_or(f64::INFINITY);
        check(ratio <= MAX_P99_RATIO, "the overload delays the other customers");
        check(self.not_run_that_ran == 0, "a request that ran was called not run");
        self.broken = broken;
    }
}

fn percentile(
    samples: &[&LoadSample],
    percent: usize,
    value: impl Fn(&LoadSample) -> f64,
) -> Option<f64> {
    let mut values: Vec<f64> = samples.iter().map(|it| value(it)).collect();
    values.sort_by(f64::total_cmp);
    values.get((values.len() * percent).div_ceil(100).checked_sub(1)?).copied()
}

fn header(exchange: &Exchange, name: &str) -> Option<String> {
    exchange.response.header(name).map(|it| it.as_str().to_owned())
}

fn ms_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e3
}
