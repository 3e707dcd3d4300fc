//! The platform client: the verdict for each fault, and whether a failed write took effect.

use std::{net::SocketAddr, time::Duration};

use crocustiller::{
    net::HttpClient,
    objects::{PlatformClient, PlatformError, Precondition},
    runtime,
    verdict::Verdict,
};
use crocustiller_standins::{PlatformBehaviour, PlatformStandin};

/// Timeout of a call that gets a response, also on a machine that is busy.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a call that gets no response in time.
const SHORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay of a write that is slow, far beyond `SHORT_TIMEOUT`.
const LATENCY_MS: u64 = 3000;
/// Time beyond the delay of a write after which it has taken effect.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// The result of a write as the client reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    Written,
    Conflict,
    Failed(Verdict),
}

#[test]
fn write_faults_give_correct_verdicts() {
    use WriteOutcome::{Conflict, Failed, Written};
    let fault = PlatformBehaviour::default;
    let lost_response = PlatformBehaviour { lose_answers: 1, ..fault() };
    let slow = PlatformBehaviour { latency_ms: LATENCY_MS, ..fault() };
    let outage = PlatformBehaviour { outage: true, ..fault() };
    let rate_limited = PlatformBehaviour { writes_per_s: 1, ..fault() };
    let lagging = PlatformBehaviour { lagging_reads_ms: 60_000, ..fault() };
    check_write("no fault", fault(), 0, Written, true);
    check_write("stale revision", fault(), 1, Conflict, false);
    check_write("lost response", lost_response.clone(), 0, Failed(Verdict::MayHaveRun), true);
    // The stand-in drops a call when its caller disconnects; another platform may still run it.
    check_write("slow", slow.clone(), 0, Failed(Verdict::MayHaveRun), false);
    check_write("slow and stale", slow, 1, Failed(Verdict::MayHaveRun), false);
    check_write("outage", outage, 0, Failed(Verdict::NotRun), false);
    check_write("above the rate limit", rate_limited, 0, Failed(Verdict::NotRun), false);
    check_write("lagging reads", lagging, 0, Written, true);
}

#[test]
fn client_tries_all_addresses() {
    runtime::run_until(async {
        let platform = PlatformStandin::start(any_address()).await.unwrap();
        let dead: SocketAddr = ([127, 0, 0, 1], 9).into();
        let with_fallback = client(vec![dead, platform.address()]);
        assert_eq!(with_fallback.get("charter").await.unwrap(), None);
        with_fallback.put("charter", b"{}", Precondition::Absent).await.unwrap();
        let without_fallback = client(vec![dead]).put("charter", b"{}", Precondition::Absent).await;
        assert_eq!(without_fallback.unwrap_err().verdict(), Verdict::NotRun);
        let without_addresses = client(Vec::new()).get("charter").await;
        assert_eq!(without_addresses.unwrap_err().verdict(), Verdict::NotRun);
        platform.close().await;
    });
}

#[test]
fn oversized_values_are_refused() {
    runtime::run_until(async {
        let platform = PlatformStandin::start(any_address()).await.unwrap();
        let client = client(vec![platform.address()]);
        let too_long = vec![b'x'; (1 << 20) + 1];
        let res = client.put("charter", &too_long, Precondition::Absent).await;
        assert!(matches!(res, Err(PlatformError::Refused(_, 413))), "{res:?}");
        assert_eq!(platform.object("charter"), None);
        assert_eq!(client.hosts().await.unwrap(), []);
        platform.close().await;
    });
}

/// Injects a fault, writes with a revision that is `revisions_behind` older than the current one,
/// and checks the result and whether the write took effect.
fn check_write(
    name: &str,
    behaviour: PlatformBehaviour,
    revisions_behind: u64,
    expected: WriteOutcome,
    takes_effect: bool,
) {
    runtime::run_until(async {
        let platform = PlatformStandin::start(any_address()).await.unwrap();
        let latency = Duration::from_millis(behaviour.latency_ms);
        let timeout = if latency.is_zero() { CALL_TIMEOUT } else { SHORT_TIMEOUT };
        // Both clients use the same connections.
        let http = HttpClient::new();
        let setup_client =
            PlatformClient::new(vec![platform.address()], CALL_TIMEOUT, http.clone());
        let client = PlatformClient::new(vec![platform.address()], timeout, http);
        let first = setup_client.put("charter", b"0", Precondition::Absent).await.unwrap();
        let revision = Precondition::Revision(first);
        let second = setup_client.put("charter", b"1", revision).await.unwrap();
        let is_rate_fault = behaviour.writes_per_s > 0;
        platform.set_behaviour(behaviour);
        if is_rate_fault {
            exhaust_write_rate(&client).await;
        }
        let write =
            client.put("charter", b"2", Precondition::Revision(second - revisions_behind)).await;
        let outcome = match &write {
            Ok(_) => WriteOutcome::Written,
            Err(PlatformError::Conflict(_)) => WriteOutcome::Conflict,
            Err(err) => WriteOutcome::Failed(err.verdict()),
        };
        assert_eq!(outcome, expected, "{name}: {write:?}");
        runtime::sleep(latency + SETTLE_TIME).await;
        let value = platform.object("charter").unwrap();
        assert_eq!(value == b"2", takes_effect, "{name}");
        platform.close().await;
    });
}

/// Writes another object until the platform refuses a write for its rate limit.
async fn exhaust_write_rate(client: &PlatformClient) {
    for _ in 0..100 {
        if client.put("other", b"x", Precondition::Absent).await.is_err_and(|it| is_refused(&it)) {
            return;
        }
    }
    panic!("the platform refused none of 100 writes");
}

fn is_refused(err: &PlatformError) -> bool {
    matches!(err, PlatformError::Unavailable(..))
}

fn client(addresses: Vec<SocketAddr>) -> PlatformClient {
    PlatformClient::new(addresses, CALL_TIMEOUT, HttpClient::new())
}

fn any_address() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}
