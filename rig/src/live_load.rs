//! Concurrent callers that send live requests and check every answer.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use async_executor::Task;
use crocustiller::{
    net::{Exchange, HttpClient},
    runtime,
    verdict::Verdict,
};
use crocustiller_standins::expected_answer;

use http_types::{Method, Request};
use serde_json::{json, Value};

use crate::deployment::{customer_name, customer_token, N_CUSTOMERS, POOL};

/// The number of concurrent callers.
const N_CALLERS: usize = 16;
/// The mean pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(50);
/// The number of tokens per answer.
const N_ANSWER_TOKENS: usize = 8;
/// The timeout for the response head, and again for reading the body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// The maximum number of attempts per request, each at a random entry host.
///
/// A caller retries only a request with the verdict not-run.
const MAX_ATTEMPTS: usize = 3;

/// The outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The answer is complete and correct.
    Answered,
    /// The request got no answer.
    Lost(String),
    /// The response started, but did not end before the timeout or an error.
    Cut(String),
    /// The answer is incomplete, wrong or that of another request, without an error.
    Wrong(String),
}

/// The outcome and timing of one request, as its caller observed them.
#[derive(Clone, Debug)]
pub(crate) struct RequestSample {
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) outcome: Outcome,
    /// The fingerprint of the weights that generated the answer.
    pub(crate) fingerprint: Option<String>,
}

/// Callers that send requests until [`LiveLoad::finish`] is called.
#[derive(Debug)]
pub(crate) struct LiveLoad {
    shared: Arc<Shared>,
    tasks: Vec<Task<()>>,
}

#[derive(Debug)]
struct Shared {
    entries: Vec<SocketAddr>,
    seed: u64,
    is_closing: AtomicBool,
    samples: Mutex<Vec<RequestSample>>,
    http: HttpClient,
}

/// The content of an answer.
struct Answer {
    request_id: String,
    text: String,
    fingerprint: String,
}

impl LiveLoad {
    /// Starts the callers, which send requests to the entry hosts at `entries`.
    pub(crate) fn start(entries: Vec<SocketAddr>, seed: u64) -> LiveLoad {
        let shared = Arc::new(Shared {
            entries,
            seed,
            is_closing: AtomicBool::new(false),
            samples: Mutex::default(),
            http: HttpClient::new(),
        });
        let caller = |idx| runtime::spawn(shared.clone().send_until_closed(idx));
        let tasks = (0..N_CALLERS).map(caller).collect();
        LiveLoad { shared, tasks }
    }

    /// Returns the number of requests that have ended, with any outcome.
    pub(crate) fn n_ended(&self) -> usize {
        self.shared.samples.lock().unwrap().len()
    }

    /// Stops the callers after their current requests and returns all samples.
    pub(crate) async fn finish(self) -> Vec<RequestSample> {
        self.shared.is_closing.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await;
        }
        std::mem::take(&mut *self.shared.samples.lock().unwrap())
    }
}

impl Shared {
    async fn send_until_closed(self: Arc<Self>, caller: usize) {
        let mut random = fastrand::Rng::with_seed(self.seed ^ (caller as u64) << 32);
        let mut number = 0;
        while !self.is_closing.load(Ordering::Relaxed) {
            let id = format!("rig-{}-{caller}-{number}", self.seed);
            let is_stream = number % 2 == 1;
            let sent = Instant::now();
            let (outcome, fingerprint) = self.request(&id, caller, is_stream, &mut random).await;
            let sample = RequestSample { sent, ended: Instant::now(), outcome, fingerprint };
            self.samples.lock().unwrap().push(sample);
            number += 1;
            runtime::sleep(CALLER_PAUSE.mul_f64(0.5 + random.f64())).await;
        }
    }

    async fn request(
        &self,
        id: &str,
        caller: usize,
        is_stream: bool,
        random: &mut fastrand::Rng,
    ) -> (Outcome, Option<String>) {
        let mut last_outcome = Outcome::Lost("no entry host".to_owned());
        for _ in 0..MAX_ATTEMPTS {
            let address = self.entries[random.usize(0..self.entries.len())];
            let request =
                chat_request(address, id, &customer_name(caller % N_CUSTOMERS), is_stream);
            match self.http.send(address, request, REQUEST_TIMEOUT).await {
                Ok(exchange) => return check_answer(id, is_stream, exchange).await,
                Err(err) => {
                    last_outcome = Outcome::Lost(err.to_string());
                    if err.verdict() != Verdict::NotRun {
                        break;
                    }
                }
            }
        }
        (last_outcome, None)
    }
}

/// Builds a chat request of a customer.
pub(crate) fn chat_request(
    address: SocketAddr,
    id: &str,
    customer: &str,
    is_stream: bool,
) -> Request {
    let url = format!("http://{address}/v1/chat/completions");
    let mut request = Request::new(Method::Post, url.as_str());
    request.insert_header("Authorization", format!("Bearer {}", customer_token(customer)));
    request.insert_header("X-Request-Id", id);
    request.insert_header("Content-Type", "application/json");
    let body = json!({
        "model": POOL,
        "stream": is_stream,
        "max_tokens": N_ANSWER_TOKENS,
        "messages": [{"role": "user", "content": prompt(id)}],
    });
    request.set_body(body.to_string());
    request
}

fn prompt(id: &str) -> String {
    format!("Describe lot {id}.")
}

/// Reads the response and compares it with the expected answer.
///
/// Returns the outcome and, for a parsed answer, the fingerprint of its weights.
pub(crate) async fn check_answer(
    id: &str,
    is_stream: bool,
    exchange: Exchange,
) -> (Outcome, Option<String>) {
    let status = u16::from(exchange.response.status());
    let body = match runtime::timeout(REQUEST_TIMEOUT, read_body(exchange)).await {
        Ok(Ok(body)) => body,
        Ok(Err(reason)) => return (Outcome::Cut(reason), None),
        Err(_) => return (Outcome::Cut("the answer took too long".to_owned()), None),
    };
    if status != 200 {
        let text = String::from_utf8_lossy(&body);
        return (Outcome::Lost(format!("status {status}: {text}")), None);
    }
    let answer = if is_stream { parse_events(&body) } else { parse_json(&body) };
    let Some(answer) = answer else {
        let reason = format!("not a whole answer: {}", String::from_utf8_lossy(&body));
        return (Outcome::Wrong(reason), None);
    };
    let expected = expected_answer(&prompt(id), N_ANSWER_TOKENS);
    if answer.text != expected || answer.request_id != id {
        let reason = format!("{id}: got {} for {}", answer.text, answer.request_id);
        return (Outcome::Wrong(reason), Some(answer.fingerprint));
    }
    (Outcome::Answered, Some(answer.fingerprint))
}

async fn read_body(exchange: Exchange) -> Result<Vec<u8>, String> {
    exchange.read(MAX_RESPONSE_BYTES).await.map(|it| it.1).map_err(|err| err.to_string())
}

fn parse_json(body: &[u8]) -> Option<Answer> {
    let value: Value = serde_json::from_slice(body).ok()?;
    Some(Answer {
        request_id: value["id"].as_str()?.to_owned(),
        text: value["choices"][0]["message"]["content"].as_str()?.to_owned(),
        fingerprint: value["system_fingerprint"].as_str()?.to_owned(),
    })
}

/// Joins the server-sent events of a streamed answer.
///
/// Fingerprints that differ between events are joined with `+`.
fn parse_events(body: &[u8]) -> Option<Answer> {
    let text = std::str::from_utf8(body).ok()?.strip_suffix("data: [DONE]\n\n")?;
    let mut answer: Option<Answer> = None;
    for event in text.split("\n\n").filter(|it| !it.is_empty()) {
        let value: Value = serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
        let piece = value["choices"][0]["delta"]["content"].as_str()?;
        let fingerprint = value["system_fingerprint"].as_str()?;
        let joined = answer.get_or_insert_with(|| Answer {
            request_id: value["id"].as_str().unwrap_or_default().to_owned(),
            text: String::new(),
            fingerprint: fingerprint.to_owned(),
        });
        joined.text.push_str(piece);
        if joined.fingerprint != fingerprint {
            joined.fingerprint = format!("{}+{fingerprint}", joined.fingerprint);
        }
    }
    answer
}
