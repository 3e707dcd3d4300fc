//! A call with an idempotency key runs at most once when processes, links or the platform fail.

mod deployment;

use std::time::Duration;

use crocustiller::{membership::HostState, runtime, verdict::Verdict};
use crocustiller_standins::{PlatformBehaviour, ServiceBehaviour};
use deployment::{fault_proxy::ProxyMode, CallerResponse, Deployment, DeploymentOptions};
use futures_util::future::{join, join_all};

#[test]
fn second_call_gets_recorded_response() {
    runtime::run_until(async {
        let deployment = start().await;
        for key in [new_key(), "order 17".replace(' ', "-")] {
            let first = deployment.reserve(0, &key, "lot 4").await;
            assert_eq!((first.status, first.verdict), (200, Some(Verdict::Ran)), "{}", first.body);
            let second = deployment.reserve(1, &key, "lot 4").await;
            assert_eq!((second.status, &second.body), (200, &first.body));
            let other = deployment.reserve(1, &key, "lot 5").await;
            assert_eq!((other.status, other.verdict), (422, Some(Verdict::NotRun)));
            assert_eq!(deployment.n_runs(&key), 1);
        }
    });
}

/// A retry could not be detected without a key, or with one that is older than the claim window or
/// issued in the future.
#[test]
fn invalid_keys_are_rejected() {
    runtime::run_until(async {
        let deployment = start().await;
        let path = "/v1/services/ledger/x";
        let without_key = deployment.send(0, deployment::TOKEN, path, "x", &[]).await;
        assert_eq!((without_key.status, without_key.verdict), (400, Some(Verdict::NotRun)));
        for hours in [-2, 2] {
            let key = key_issued_in(hours);
            let response = deployment.reserve(0, &key, "x").await;
            assert_eq!(
                (response.status, response.verdict),
                (400, Some(Verdict::NotRun)),
                "{hours}"
            );
            assert_eq!(deployment.n_runs(&key), 0);
        }
    });
}

#[test]
fn customers_do_not_share_keys() {
    runtime::run_until(async {
        let deployment = start().await;
        let key = new_key();
        for token in ["token-a", "token-b"] {
            let path = "/v1/services/ledger/x";
            let headers = [("Idempotency-Key", key.as_str())];
            let response = deployment.send(0, token, path, token, &headers).await;
            assert_eq!(response.status, 200, "{}", response.body);
        }
        assert_eq!(deployment.n_runs(&key), 2, "the key runs once for each customer");
    });
}

/// A service that crashes or loses its response leaves the outcome of a call unknown. The caller
/// retries through both entry hosts.
#[test]
fn service_fault_never_repeats_call() {
    let no_faults = ServiceBehaviour::default;
    check_service_fault("none", no_faults(), 200);
    check_service_fault("lost response", ServiceBehaviour { lose_answers: 1, ..no_faults() }, 409);
    check_service_fault("truncated response", ServiceBehaviour { short: 1, ..no_faults() }, 409);
    check_service_fault("crash after the run", ServiceBehaviour { crash: 1, ..no_faults() }, 409);
    check_service_fault("slow to run", ServiceBehaviour { delay_ms: 300, ..no_faults() }, 200);
    check_service_fault(
        "slow to respond",
        ServiceBehaviour { answer_delay_ms: 300, ..no_faults() },
        200,
    );
}

/// Lost responses and stale reads of the platform could make two slots claim the same key.
#[test]
fn platform_fault_never_repeats_call() {
    let no_faults = PlatformBehaviour::default;
    check_platform_fault(
        "lost responses",
        PlatformBehaviour { lose_answers: 3, ..no_faults() },
        200,
    );
    check_platform_fault(
        "lagging reads",
        PlatformBehaviour { lagging_reads_ms: 300, ..no_faults() },
        200,
    );
    check_platform_fault("slow", PlatformBehaviour { latency_ms: 100, ..no_faults() }, 200);
    check_platform_fault("outage", PlatformBehaviour { outage: true, ..no_faults() }, 503);
    let both = PlatformBehaviour { lose_answers: 2, lagging_reads_ms: 200, ..no_faults() };
    check_platform_fault("lost responses and lag", both, 200);
}

/// The entry host, the slot that owns the key, or the service stops before, during or after the
/// run. The caller then retries through the last entry host.
#[test]
fn killed_process_never_repeats_call() {
    for step_ms in [0, 100, 250, 450] {
        for killed in ["entry host", "owner", "service"] {
            check_kill(killed, step_ms);
        }
    }
}

/// Each link disconnects, stalls briefly or stalls beyond the deadline, before, during or after the
/// run. The caller then retries through both entry hosts.
#[test]
fn broken_link_never_repeats_call() {
    runtime::run_until(async {
        let mut rows = Vec::new();
        for link in ["entry host to slot", "slot to service", "slot to platform"] {
            for (fault, duration_ms) in
                [(ProxyMode::Disconnect, 300), (ProxyMode::Stall, 400), (ProxyMode::Stall, 3000)]
            {
                for step_ms in [0, 60, 250, 450] {
                    rows.push(check_link_fault(link, fault, duration_ms, step_ms));
                }
            }
        }
        join_all(rows).await;
    });
}

/// Each entry host considers another of the two slots removed, so both slots get calls for the
/// same shard. The conditional update in the store lets only one of them run a call.
#[test]
fn concurrent_owners_run_call_once() {
    runtime::run_until(async {
        let deployment = start().await;
        let slow = ServiceBehaviour { delay_ms: 100, ..ServiceBehaviour::default() };
        deployment.services.iter().for_each(|it| it.set_behaviour(slow.clone()));
        for idx in 0..2 {
            let slot = deployment.service_slots[idx].node.membership.own();
            let mut record = (*slot).clone();
            record.state = HostState::Gone;
            deployment.entry_hosts[idx].node.membership.merge(vec![record]);
        }
        for _ in 0..10 {
            let key = new_key();
            let calls =
                join(deployment.reserve(0, &key, "lot 4"), deployment.reserve(1, &key, "lot 4"));
            let (first, second) = calls.await;
            assert_eq!(deployment.n_runs(&key), 1);
            let statuses = [first.status, second.status];
            assert!(statuses.contains(&200), "{statuses:?}");
            for response in [first, second] {
                assert!(response.verdict != Some(Verdict::NotRun), "{}", response.body);
            }
        }
    });
}

/// Claims that arrive together share a write to the store, as the number of writes must not grow
/// with the number of requests.
#[test]
fn claims_are_written_in_batches() {
    runtime::run_until(async {
        let deployment = start().await;
        let slow = PlatformBehaviour { latency_ms: 10, ..PlatformBehaviour::default() };
        deployment.platform.set_behaviour(slow);
        for n_calls in [10, 100, 400] {
            let before = deployment.platform.counts().puts;
            let keys: Vec<String> = (0..n_calls).map(|_| new_key()).collect();
            let calls = keys.iter().map(|it| deployment.reserve(0, it, "lot 4"));
            let responses = join_all(calls).await;
            let failed: Vec<_> = responses
                .iter()
                .filter(|it| it.status != 200)
                .map(|it| (it.status, &it.body))
                .collect();
            assert!(failed.is_empty(), "{} of {n_calls}: {:?}", failed.len(), failed.first());
            let n_writes = deployment.platform.counts().puts - before;
            println!("requests={n_calls} writes={n_writes}");
            if n_calls >= 100 {
                assert!(
                    n_writes < n_calls,
                    "batches need fewer writes than the two per request without them"
                );
            }
        }
    });
}

fn check_service_fault(name: &str, behaviour: ServiceBehaviour, expected: u16) {
    runtime::run_until(async {
        let deployment = start().await;
        deployment.services.iter().for_each(|it| it.set_behaviour(behaviour.clone()));
        let key = new_key();
        let first = deployment.reserve(0, &key, "lot 4").await;
        check_verdict(name, &deployment, &key, &first);
        deployment.services.iter().for_each(|it| it.restart());
        for entry in [1, 0] {
            let retry = deployment.reserve(entry, &key, "lot 4").await;
            check_verdict(name, &deployment, &key, &retry);
            assert_eq!(retry.status, expected, "{name}: {}", retry.body);
        }
        assert_eq!(deployment.n_runs(&key), 1, "{name}");
    });
}

fn check_platform_fault(name: &str, behaviour: PlatformBehaviour, expected: u16) {
    runtime::run_until(async {
        let deployment = start().await;
        deployment.platform.set_behaviour(behaviour);
        let keys: Vec<String> = (0..8).map(|_| new_key()).collect();
        let calls = keys.iter().flat_map(|key| {
            [deployment.reserve(0, key, "lot 4"), deployment.reserve(1, key, "lot 4")]
        });
        for (idx, response) in join_all(calls).await.iter().enumerate() {
            let key = &keys[idx / 2];
            assert!(deployment.n_runs(key) <= 1, "{name}");
            assert_eq!(response.status, expected, "{name}: {}", response.body);
            if expected == 503 {
                assert_eq!(response.verdict, Some(Verdict::NotRun), "{name}");
                assert_eq!(
                    deployment.n_runs(key),
                    0,
                    "{name}: a call with the verdict not-run did not run"
                );
            }
        }
        deployment.platform.set_behaviour(PlatformBehaviour::default());
        for key in &keys {
            let retry = deployment.reserve(0, key, "lot 4").await;
            check_verdict(name, &deployment, key, &retry);
        }
    });
}

fn check_kill(killed: &str, step_ms: u64) {
    runtime::run_until(async {
        let mut deployment = start().await;
        let slow =
            ServiceBehaviour { delay_ms: 200, answer_delay_ms: 200, ..ServiceBehaviour::default() };
        deployment.services.iter().for_each(|it| it.set_behaviour(slow.clone()));
        let key = new_key();
        let first = {
            let call = deployment.reserve(0, &key, "lot 4");
            runtime::timeout(Duration::from_millis(step_ms), call).await
        };
        if let Ok(response) = &first {
            check_verdict(killed, &deployment, &key, response);
        }
        kill(&mut deployment, killed).await;
        let entry = deployment.entry_hosts.len() - 1;
        for _ in 0..2 {
            let retry = deployment.reserve(entry, &key, "lot 4").await;
            let name = format!("{killed} at {step_ms} ms");
            check_verdict(&name, &deployment, &key, &retry);
        }
        assert!(deployment.n_runs(&key) <= 1, "{killed} at {step_ms} ms");
    });
}

async fn check_link_fault(link: &str, fault: ProxyMode, duration_ms: u64, step_ms: u64) {
    let name = format!("{link}: {fault:?} for {duration_ms} ms at {step_ms} ms");
    let deployment = start().await;
    let slow = ServiceBehaviour { delay_ms: 200, answer_delay_ms: 200, ..Default::default() };
    deployment.services.iter().for_each(|it| it.set_behaviour(slow.clone()));
    let latency = PlatformBehaviour { latency_ms: 40, ..PlatformBehaviour::default() };
    deployment.platform.set_behaviour(latency);
    let set = |mode| match link {
        "entry host to slot" => deployment.slot_proxies.iter().for_each(|it| it.set(mode)),
        "slot to service" => deployment.service_proxies.iter().for_each(|it| it.set(mode)),
        _ => deployment.platform_proxy.set(mode),
    };
    let key = new_key();
    let path = "/v1/services/ledger/reservations";
    let headers = [("Idempotency-Key", key.as_str()), ("X-Deadline-Ms", "2000")];
    let call = deployment.send(0, deployment::TOKEN, path, "lot 4", &headers);
    let break_link = async {
        runtime::sleep(Duration::from_millis(step_ms)).await;
        set(fault);
        runtime::sleep(Duration::from_millis(duration_ms)).await;
        set(ProxyMode::Forward);
        runtime::sleep(Duration::from_millis(500)).await;
    };
    let (first, ()) = join(call, break_link).await;
    check_verdict(&name, &deployment, &key, &first);
    for entry in [1, 0] {
        let retry = deployment.reserve(entry, &key, "lot 4").await;
        check_verdict(&name, &deployment, &key, &retry);
    }
}

async fn kill(deployment: &mut Deployment, killed: &str) {
    match killed {
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

/// Checks that `key` ran at most once, and did not run if the verdict is `not-run`.
fn check_verdict(name: &str, deployment: &Deployment, key: &str, response: &CallerResponse) {
    let n_runs = deployment.n_runs(key);
    assert!(n_runs <= 1, "{name}: {n_runs} runs");
    if response.verdict == Some(Verdict::NotRun) {
        assert_eq!(n_runs, 0, "{name}: {}", response.body);
    }
    if response.status == 200 {
        assert_eq!(n_runs, 1, "{name}: {}", response.body);
    }
}

async fn start() -> Deployment {
    let options = DeploymentOptions {
        n_entry_hosts: 2,
        n_engines: 0,
        n_services: 2,
        ..DeploymentOptions::default()
    };
    Deployment::start(DeploymentOptions { concurrency: 1000, max_queued: 1000, ..options }).await
}

/// Returns a new key that is a UUID of version 7, which contains the time of its creation.
fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Returns a UUID of version 7 whose time is `hours` after now.
fn key_issued_in(hours: i64) -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let seconds = now.as_secs().saturating_add_signed(hours * 3600);
    let time = uuid::Timestamp::from_unix(uuid::NoContext, seconds, 0);
    uuid::Uuid::new_v7(time).to_string()
}
