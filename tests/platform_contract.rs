//! What the platform's client makes of each fault, and whether a failed write took effect.

use std::{net::SocketAddr, time::Duration};

use crocustiller::{
    net::HttpClient,
    objects::{PlatformClient, PlatformError, Precondition},
    runtime,
    verdict::Verdict,
};
use crocustiller_standins::{PlatformBehaviour, PlatformStandin};

/// Time limit of one call.
const CALL_LIMIT: Duration = Duration::from_millis(400);
/// Time after which a delayed write has landed.
const LANDED: Duration = Duration::from_millis(1500);

/// What a write came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Written,
    Conflict,
    Failed(Verdict),
}

#[test]
fn faults_of_writes() {
    use Outcome::{Conflict, Failed, Written};
    let fault = PlatformBehaviour::default;
    let lost = PlatformBehaviour { lose_answers: 1, ..fault() };
    let slow = PlatformBehaviour { latency_ms: 900, ..fault() };
    let out = PlatformBehaviour { outage: true, ..fault() };
    let few = PlatformBehaviour { writes_per_s: 1, ..fault() };
    let lagging = PlatformBehaviour { lagging_reads_ms: 60_000, ..fault() };
    check_write("no fault", fault(), 0, Written, true);
    check_write("stale revision", fault(), 1, Conflict, false);
    check_write("lost answer", lost.clone(), 0, Failed(Verdict::MayHaveRun), true);
    // The stand-in drops a call whose caller has left; another platform may still run it.
    check_write("slow", slow.clone(), 0, Failed(Verdict::MayHaveRun), false);
    check_write("slow and stale", slow, 1, Failed(Verdict::MayHaveRun), false);
    check_write("outage", out, 0, Failed(Verdict::NotRun), false);
    check_write("above the rate", few, 0, Failed(Verdict::NotRun), false);
    check_write("lagging reads", lagging, 0, Written, true);
}

#[test]
fn addresses_are_tried_in_turn() {
    runtime::run_until(async {
        let platform = PlatformStandin::start(any_address()).await.unwrap();
        let dead: SocketAddr = ([127, 0, 0, 1], 9).into();
        let both = client(vec![dead, platform.address()]);
        assert_eq!(both.get("charter").await.unwrap(), None);
        both.put("charter", b"{}", Precondition::Absent).await.unwrap();
        let alone = client(vec![dead]).put("charter", b"{}", Precondition::Absent).await;
        assert_eq!(alone.unwrap_err().verdict(), Verdict::NotRun);
        let nobody = client(Vec::new()).get("charter").await;
        assert_eq!(nobody.unwrap_err().verdict(), Verdict::NotRun);
        platform.close().await;
    });
}

#[test]
fn bad_values_are_refused() {
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

/// Writes with a revision that is `age` behind, under a fault.
fn check_write(
    name: &str,
    behaviour: PlatformBehaviour,
    age: u64,
    expected: Outcome,
    takes_effect: bool,
) {
    runtime::run_until(async {
        let platform = PlatformStandin::start(any_address()).await.unwrap();
        let client = client(vec![platform.address()]);
        let first = client.put("charter", b"0", Precondition::Absent).await.unwrap();
        let second = client.put("charter", b"1", Precondition::Revision(first)).await.unwrap();
        let is_rate_fault = behaviour.writes_per_s > 0;
        platform.set_behaviour(behaviour);
        if is_rate_fault {
            use_up_the_rate(&client).await;
        }
        let write = client.put("charter", b"2", Precondition::Revision(second - age)).await;
        let outcome = match write {
            Ok(_) => Outcome::Written,
            Err(PlatformError::Conflict(_)) => Outcome::Conflict,
            Err(err) => Outcome::Failed(err.verdict()),
        };
        assert_eq!(outcome, expected, "{name}");
        runtime::sleep(LANDED).await;
        let value = platform.object("charter").unwrap();
        assert_eq!(value == b"2", takes_effect, "{name}");
        platform.close().await;
    });
}

/// Writes another object until the platform refuses.
async fn use_up_the_rate(client: &PlatformClient) {
    for _ in 0..100 {
        if client.put("other", b"x", Precondition::Absent).await.is_err_and(|it| is_refused(&it)) {
            return;
        }
    }
    panic!("the platform refuses no write");
}

fn is_refused(err: &PlatformError) -> bool {
    matches!(err, PlatformError::Unavailable(..))
}

fn client(addresses: Vec<SocketAddr>) -> PlatformClient {
    PlatformClient::new(addresses, CALL_LIMIT, HttpClient::new())
}

fn any_address() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}
