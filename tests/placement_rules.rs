//! Choice of the engine or backend server for a request, each rule under its load pattern.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crocustiller::placement::{
    assign_engines, choose_engine, choose_plain_backend, BackendHealth, Candidate, Load, LoadTable,
    UnassignedEngine, WindowedRetryBudget,
};

const SLOTS: u32 = 16;

fn candidate(n_requests: u32, unread_tokens: u32, is_own: bool) -> Candidate {
    Candidate {
        slots: SLOTS,
        is_own,
        is_near: true,
        load: Load { n_requests, unread_tokens },
        failure_rate: 0.0,
    }
}

#[test]
fn own_engines_are_preferred() {
    let candidates = [candidate(3, 0, false), candidate(9, 1200, true), candidate(12, 0, true)];
    assert_eq!(choose_engine(&candidates, 800, false, 0.0), Some(2));
}

/// Load pattern: steady overload. Prompts that an engine has not read yet delay the next event of
/// all its streams, so their tokens are bounded.
#[test]
fn unread_prompts_are_bounded() {
    let candidates = [candidate(8, 2000, true), candidate(16, 2400, false)];
    assert_eq!(choose_engine(&candidates, 1290, false, 0.5), None);
    // A prompt that exceeds the bound is sent to an engine without other unread prompts.
    assert_eq!(choose_engine(&[candidate(8, 0, true)], 3880, false, 0.5), Some(0));
}

#[test]
fn full_engines_are_skipped() {
    let full = candidate(SLOTS + 1, 0, true);
    assert_eq!(choose_engine(&[full], 600, false, 0.5), None);
    let nearly_full_foreign = candidate(SLOTS, 0, false);
    assert_eq!(choose_engine(&[nearly_full_foreign], 600, false, 0.5), None);
}

/// Load pattern: a new version. Streams that are cut when an engine switches may continue at any
/// engine with a free slot.
#[test]
fn resumed_stream_uses_any_slot() {
    let candidates = [candidate(SLOTS - 1, 2400, false)];
    assert_eq!(choose_engine(&candidates, 1290, false, 0.5), None);
    assert_eq!(choose_engine(&candidates, 1290, true, 0.5), Some(0));
}

#[test]
fn near_backend_preferred_unless_failing() {
    let far = Candidate { is_near: false, ..candidate(0, 0, false) };
    let near = candidate(4, 0, false);
    assert_eq!(choose_plain_backend(&[far.clone(), near.clone()]), Some(1));
    let failing = Candidate { failure_rate: 0.4, ..near.clone() };
    assert_eq!(choose_plain_backend(&[far.clone(), failing]), Some(0));
    let full = Candidate { load: Load { n_requests: SLOTS, unread_tokens: 0 }, ..near };
    assert_eq!(choose_plain_backend(&[far, full]), Some(0));
}

/// The retries of all hosts together stay within ratio x requests + slack in a window.
#[test]
fn retry_budget_across_hosts() {
    const N_HOSTS: usize = 7;
    const WINDOW: Duration = Duration::from_secs(10);
    let start = Instant::now();
    let mut budgets = vec![WindowedRetryBudget::new(0.2, 102, WINDOW); N_HOSTS];
    let mut retries = Vec::new();
    let mut n_requests = 0;
    for step in 0..9000u64 {
        let now = start + Duration::from_millis(step);
        let budget = &mut budgets[step as usize % N_HOSTS];
        budget.count_request(now);
        n_requests += 1;
        // Every request fails and is to be retried.
        if budget.try_spend_retry(N_HOSTS, now) {
            retries.push(now);
        }
    }
    assert!(retries.len() as f64 <= 0.2 * f64::from(n_requests) + 102.0, "{}", retries.len());
    assert!(retries.len() > 102);
}

#[test]
fn failing_backend_ejected_then_restored() {
    let start = Instant::now();
    let mut health = BackendHealth::default();
    assert!(!health.record_failure("a", start));
    assert!(health.record_failure("a", start));
    assert!(!health.is_usable("a", 0, start));
    let later = start + Duration::from_millis(600);
    assert!(health.is_usable("a", 0, later), "one request on probation");
    assert!(!health.is_usable("a", 1, later));
    assert!(health.record_failure("a", later), "a failure on probation ejects it again");
    assert!(!health.is_usable("a", 0, later + Duration::from_millis(600)));
    health.record_success("a");
    assert!(health.is_usable("a", 9, later));
}

#[test]
fn owners_are_near_and_even() {
    let hosts: BTreeMap<String, String> = [("a", "x"), ("b", "x"), ("c", "y")]
        .into_iter()
        .map(|(host, zone)| (host.to_owned(), zone.to_owned()))
        .collect();
    let engine = |number: u64, zone: &str| UnassignedEngine {
        started_ms: number,
        id: format!("i-{number}"),
        zone: zone.to_owned(),
    };
    let mut engines: Vec<UnassignedEngine> = (0..6).map(|it| engine(it, "x")).collect();
    engines.push(engine(6, "y"));
    engines.push(engine(7, "z"));
    let owners = assign_engines(engines.clone(), &hosts);
    let count = |host: &str| owners.values().filter(|it| *it == host).count();
    assert_eq!((count("a"), count("b")), (3, 3));
    assert_eq!(owners["i-6"], "c");
    assert!(
        owners.contains_key("i-7"),
        "an engine in a zone without entry hosts has an owner elsewhere"
    );
    // A new engine does not change the owners of the others.
    engines.push(engine(9, "x"));
    let after = assign_engines(engines, &hosts);
    assert!(owners.iter().all(|it| after[it.0] == *it.1));
}

#[test]
fn load_returns_to_zero() {
    let engine: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let mut loads = LoadTable::default();
    loads.begin(engine, 800);
    loads.begin(engine, 600);
    loads.remove_unread_tokens(engine, 800);
    assert_eq!(loads.get(&engine), Load { n_requests: 2, unread_tokens: 600 });
    loads.end(engine);
    loads.remove_unread_tokens(engine, 600);
    loads.end(engine);
    assert_eq!(loads.iter().count(), 0);
}
