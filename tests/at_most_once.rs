//! Calls with an idempotency key take effect at most once, whatever fails.

mod deployment;

use std::time::Duration;

use crocustiller::{membership::HostState, runtime, verdict::Verdict};
use crocustiller_standins::{PlatformBehaviour, ServiceBehaviour};
use deployment::{wire::WireState, Answer, Deployment, Plan};
use futures_util::future::{join, join_all};

#[test]
fn second_call_gets_the_recorded_answer() {
    runtime::run_until(async {
        let deployment = start().await;
        for key in [dated_key(), "order 17".replace(' ', "-")] {
            let first = deployment.reserve(0, &key, "lot 4").await;
            assert_eq!((first.status, first.verdict), (200, Some(Verdict::Ran)), "{}", first.body);
            let second = deployment.reserve(1, &key, "lot 4").await;
            assert_eq!((second.status, &second.body), (200, &first.body));
            let other = deployment.reserve(1, &key, "lot 5").await;
            assert_eq!((other.status, other.verdict), (422, Some(Verdict::NotRun)));
            assert_eq!(deployment.runs(&key), 1);
        }
    });
}

#[test]
fn keys_are_checked() {
    runtime::run_until(async {
        let deployment = start().await;
        let path = "/v1/services/ledger/x";
        let without = deployment.send(0, deployment::TOKEN, path, "x", &[]).await;
        assert_eq!((without.status, without.verdict), (400, Some(Verdict::NotRun)));
        for hours in [-2, 2] {
            let key = key_at(hours);
            let answer = deployment.reserve(0, &key, "x").await;
            assert_eq!((answer.status, answer.verdict), (400, Some(Verdict::NotRun)), "{hours}");
            assert_eq!(deployment.runs(&key), 0);
        }
    });
}

#[test]
fn customers_do_not_share_keys() {
    runtime::run_until(async {
        let deployment = start().await;
        let key = dated_key();
        for token in ["token-a", "token-b"] {
            let path = "/v1/services/ledger/x";
            let headers = [("Idempotency-Key", key.as_str())];
            let answer = deployment.send(0, token, path, token, &headers).await;
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        assert_eq!(deployment.runs(&key), 2, "once for each customer");
    });
}

/// Faults of the service at each step; the caller sends again through both entry hosts.
#[test]
fn service_faults() {
    let fault = ServiceBehaviour::default;
    check_service("none", fault(), 200);
    check_service("answer lost", ServiceBehaviour { lose_answers: 1, ..fault() }, 409);
    check_service("answer cut", ServiceBehaviour { short: 1, ..fault() }, 409);
    check_service("crash after the run", ServiceBehaviour { crash: 1, ..fault() }, 409);
    check_service("slow to run", ServiceBehaviour { delay_ms: 300, ..fault() }, 200);
    check_service("slow to answer", ServiceBehaviour { answer_delay_ms: 300, ..fault() }, 200);
}

/// Faults of the platform while a key is claimed; none makes a key run twice.
#[test]
fn platform_faults() {
    let fault = PlatformBehaviour::default;
    check_platform("lost answers", PlatformBehaviour { lose_answers: 3, ..fault() }, 200);
    check_platform("lagging reads", PlatformBehaviour { lagging_reads_ms: 300, ..fault() }, 200);
    check_platform("slow", PlatformBehaviour { latency_ms: 100, ..fault() }, 200);
    check_platform("outage", PlatformBehaviour { outage: true, ..fault() }, 503);
    let both = PlatformBehaviour { lose_answers: 2, lagging_reads_ms: 200, ..fault() };
    check_platform("lost answers and lag", both, 200);
}

/// The entry host, the owner or the service is killed before, during or after the run.
#[test]
fn kills_at_each_step() {
    for step_ms in [0, 100, 250, 450] {
        for victim in ["entry host", "owner", "service"] {
            check_kill(victim, step_ms);
        }
    }
}

/// Each link is cut, frozen for a while or frozen beyond the deadline, before, during or after the
/// run; then the caller sends again through the other entry host.
#[test]
fn links_at_each_step() {
    runtime::run_until(async {
        let mut rows = Vec::new();
        for link in ["entry host to slot", "slot to service", "slot to platform"] {
            for (fault, lasts_ms) in
                [(WireState::Cut, 300), (WireState::Frozen, 400), (WireState::Frozen, 3000)]
            {
                for step_ms in [0, 60, 250, 450] {
                    rows.push(check_link(link, fault, lasts_ms, step_ms));
                }
            }
        }
        join_all(rows).await;
    });
}

/// Two slots that both think that they own the shard are settled by the conditional update.
#[test]
fn two_owners_run_once() {
    runtime::run_until(async {
        let deployment = start().await;
        let slow = ServiceBehaviour { delay_ms: 100, ..ServiceBehaviour::default() };
        deployment.services.iter().for_each(|it| it.set_behaviour(slow.clone()));
        for hidden in 0..2 {
            let slot = deployment.service_slots[hidden].node.membership.own();
            let mut record = (*slot).clone();
            record.state = HostState::Gone;
            deployment.entry_hosts[hidden].node.membership.merge(vec![record]);
        }
        for _ in 0..10 {
            let key = dated_key();
            let calls =
                join(deployment.reserve(0, &key, "lot 4"), deployment.reserve(1, &key, "lot 4"));
            let (first, second) = calls.await;
            assert_eq!(deployment.runs(&key), 1);
            let statuses = [first.status, second.status];
            assert!(statuses.contains(&200), "{statuses:?}");
            for answer in [first, second] {
                assert!(answer.verdict != Some(Verdict::NotRun), "{}", answer.body);
            }
        }
    });
}

/// Many calls share few writes: the stated aim is that writes do not grow with the requests.
#[test]
fn claims_are_committed_in_groups() {
    runtime::run_until(async {
        let deployment = start().await;
        let slow = PlatformBehaviour { latency_ms: 10, ..PlatformBehaviour::default() };
        deployment.platform.set_behaviour(slow);
        for n_calls in [10, 100, 400] {
            let before = deployment.platform.counts().puts;
            let keys: Vec<String> = (0..n_calls).map(|_| dated_key()).collect();
            let calls = keys.iter().map(|it| deployment.reserve(0, it, "lot 4"));
            let answers = join_all(calls).await;
            let refused: Vec<_> = answers
                .iter()
                .filter(|it| it.status != 200)
                .map(|it| (it.status, &it.body))
                .collect();
            assert!(refused.is_empty(), "{} of {n_calls}: {:?}", refused.len(), refused.first());
            let n_writes = deployment.platform.counts().puts - before;
            println!("requests={n_calls} writes={n_writes}");
            if n_calls >= 100 {
                assert!(n_writes < n_calls, "fewer than the two a request without groups");
            }
        }
    });
}

fn check_service(name: &str, behaviour: ServiceBehaviour, expected: u16) {
    runtime::run_until(async {
        let deployment = start().await;
        deployment.services.iter().for_each(|it| it.set_behaviour(behaviour.clone()));
        let key = dated_key();
        let first = deployment.reserve(0, &key, "lot 4").await;
        check_truth(name, &deployment, &key, &first);
        deployment.services.iter().for_each(|it| it.restart());
        for entry in [1, 0] {
            let again = deployment.reserve(entry, &key, "lot 4").await;
            check_truth(name, &deployment, &key, &again);
            assert_eq!(again.status, expected, "{name}: {}", again.body);
        }
        assert_eq!(deployment.runs(&key), 1, "{name}");
    });
}

fn check_platform(name: &str, behaviour: PlatformBehaviour, expected: u16) {
    runtime::run_until(async {
        let deployment = start().await;
        deployment.platform.set_behaviour(behaviour);
        let keys: Vec<String> = (0..8).map(|_| dated_key()).collect();
        let calls = keys.iter().flat_map(|key| {
            [deployment.reserve(0, key, "lot 4"), deployment.reserve(1, key, "lot 4")]
        });
        for (idx, answer) in join_all(calls).await.iter().enumerate() {
            let key = &keys[idx / 2];
            assert!(deployment.runs(key) <= 1, "{name}");
            assert_eq!(answer.status, expected, "{name}: {}", answer.body);
            if expected == 503 {
                assert_eq!(answer.verdict, Some(Verdict::NotRun), "{name}");
                assert_eq!(deployment.runs(key), 0, "{name}: not-run is true");
            }
        }
        deployment.platform.set_behaviour(PlatformBehaviour::default());
        for key in &keys {
            let again = deployment.reserve(0, key, "lot 4").await;
            check_truth(name, &deployment, key, &again);
        }
    });
}

fn check_kill(victim: &str, step_ms: u64) {
    runtime::run_until(async {
        let mut deployment = start().await;
        let slow =
            ServiceBehaviour { delay_ms: 200, answer_delay_ms: 200, ..ServiceBehaviour::default() };
        deployment.services.iter().for_each(|it| it.set_behaviour(slow.clone()));
        let key = dated_key();
        let first = {
            let call = deployment.reserve(0, &key, "lot 4");
            runtime::timeout(Duration::from_millis(step_ms), call).await
        };
        if let Ok(answer) = &first {
            check_truth(victim, &deployment, &key, answer);
        }
        kill(&mut deployment, victim).await;
        let entry = deployment.entry_hosts.len() - 1;
        for _ in 0..2 {
            let again = deployment.reserve(entry, &key, "lot 4").await;
            let name = format!("{victim} at {step_ms} ms");
            check_truth(&name, &deployment, &key, &again);
        }
        assert!(deployment.runs(&key) <= 1, "{victim} at {step_ms} ms");
    });
}

async fn check_link(link: &str, fault: WireState, lasts_ms: u64, step_ms: u64) {
    let name = format!("{link}: {fault:?} for {lasts_ms} ms at {step_ms} ms");
    let deployment = start().await;
    let slow = ServiceBehaviour { delay_ms: 200, answer_delay_ms: 200, ..Default::default() };
    deployment.services.iter().for_each(|it| it.set_behaviour(slow.clone()));
    let latency = PlatformBehaviour { latency_ms: 40, ..PlatformBehaviour::default() };
    deployment.platform.set_behaviour(latency);
    let set = |state| match link {
        "entry host to slot" => deployment.slot_wires.iter().for_each(|it| it.set(state)),
        "slot to service" => deployment.service_wires.iter().for_each(|it| it.set(state)),
        _ => deployment.platform_wire.set(state),
    };
    let key = dated_key();
    let path = "/v1/services/ledger/reservations";
    let headers = [("Idempotency-Key", key.as_str()), ("X-Deadline-Ms", "2000")];
    let call = deployment.send(0, deployment::TOKEN, path, "lot 4", &headers);
    let break_link = async {
        runtime::sleep(Duration::from_millis(step_ms)).await;
        set(fault);
        runtime::sleep(Duration::from_millis(lasts_ms)).await;
        set(WireState::Open);
        runtime::sleep(Duration::from_millis(500)).await;
    };
    let (first, ()) = join(call, break_link).await;
    check_truth(&name, &deployment, &key, &first);
    for entry in [1, 0] {
        let again = deployment.reserve(entry, &key, "lot 4").await;
        check_truth(&name, &deployment, &key, &again);
    }
}

async fn kill(deployment: &mut Deployment, victim: &str) {
    match victim {
        "entry host" => deployment.entry_hosts.remove(0).kill().await,
        "owner" => {
            let busy = |it: &deployment::Host| it.serving.n_admitted() > 0;
            let idx = deployment.service_slots.iter().position(busy).unwrap_or(0);
            deployment.service_slots.remove(idx).kill().await;
        }
        _ => deployment.services.iter().for_each(|it| {
            it.set_behaviour(ServiceBehaviour { crash: 1, ..ServiceBehaviour::default() });
        }),
    }
}

/// A key runs at most once, and nothing that ran is called not run.
fn check_truth(name: &str, deployment: &Deployment, key: &str, answer: &Answer) {
    let runs = deployment.runs(key);
    assert!(runs <= 1, "{name}: {runs} runs");
    if answer.verdict == Some(Verdict::NotRun) {
        assert_eq!(runs, 0, "{name}: {}", answer.body);
    }
    if answer.status == 200 {
        assert_eq!(runs, 1, "{name}");
    }
}

async fn start() -> Deployment {
    let plan = Plan { n_entry_hosts: 2, n_engines: 0, n_services: 2, ..Plan::default() };
    Deployment::start(Plan { concurrency: 1000, max_queued: 1000, ..plan }).await
}

fn dated_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn key_at(hours: i64) -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let seconds = now.as_secs().saturating_add_signed(hours * 3600);
    let time = uuid::Timestamp::from_unix(uuid::NoContext, seconds, 0);
    uuid::Uuid::new_v7(time).to_string()
}
