//! Choice of the engine or backend server for a request, each rule under its load pattern.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crocustiller::placement::{
    choose_engine, choose_plain_backend, BackendHealth, Candidate, CellMap, Load, OwnerCandidate,
    PlainCandidate, RequestCounts, WindowedRetryBudget,
};

const SLOTS: u32 = 16;
/// Latency objective of calls to plain services.
const OBJECTIVE: Duration = Duration::from_millis(120);

fn candidate(n_requests: u32, unread_tokens: u32) -> Candidate {
    Candidate { slots: SLOTS, load: Load { n_requests, unread_tokens } }
}

fn choose(candidates: &[Candidate], prompt_tokens: u32, is_resumed: bool) -> Option<usize> {
    choose_engine(candidates, prompt_tokens, is_resumed, |_| true)
}

#[test]
fn fewest_unread_tokens_preferred() {
    let candidates = [candidate(3, 900), candidate(9, 1200), candidate(12, 0)];
    assert_eq!(choose(&candidates, 800, false), Some(2));
    assert_eq!(choose_engine(&candidates, 800, false, |it| it != 2), Some(0));
}

/// Load pattern: steady overload. Prompts that an engine has not read yet delay the next event of
/// all its streams, so their tokens are bounded.
#[test]
fn unread_prompts_are_bounded() {
    let candidates = [candidate(8, 2000), candidate(16, 2400)];
    assert_eq!(choose(&candidates, 1290, false), None);
    // A prompt that exceeds the bound is sent to an engine without other unread prompts.
    assert_eq!(choose(&[candidate(8, 0)], 3880, false), Some(0));
}

#[test]
fn full_engines_are_skipped() {
    assert_eq!(choose(&[candidate(SLOTS + 1, 0)], 600, false), None);
    assert_eq!(choose(&[candidate(SLOTS, 0)], 600, false), Some(0), "one request may queue");
    let closed = Candidate { slots: 0, load: Load::default() };
    assert_eq!(choose(&[closed], 600, false), None);
}

/// Load pattern: a new version. Streams that are cut when an engine switches may continue at any
/// engine with a free slot.
#[test]
fn resumed_stream_uses_any_slot() {
    let candidates = [candidate(SLOTS - 1, 2400)];
    assert_eq!(choose(&candidates, 1290, false), None);
    assert_eq!(choose(&candidates, 1290, true), Some(0));
}

fn idle_near_backend() -> PlainCandidate {
    PlainCandidate {
        slots: SLOTS,
        is_near: true,
        n_requests: 0,
        failure_rate: 0.0,
        expected_latency: Duration::from_millis(20),
    }
}

/// Guards against leaving the zone for less than a clear gain, and against a slow server of it.
#[test]
fn slow_backends_are_left() {
    let near = idle_near_backend();
    let far = PlainCandidate { is_near: false, ..near.clone() };
    let slower =
        |ms| PlainCandidate { expected_latency: Duration::from_millis(ms), ..near.clone() };
    let n_far = |near: PlainCandidate| {
        let candidates = [far.clone(), near];
        let choose = |it| choose_plain_backend(&candidates, OBJECTIVE, f64::from(it) / 100.0);
        (0..100).filter(|it| choose(*it) == Some(0)).count()
    };
    assert_eq!([20, 50, 80, 110, 200].map(|ms| n_far(slower(ms))), [0, 0, 50, 100, 100]);
    let busy = PlainCandidate { n_requests: 4, ..near.clone() };
    assert_eq!(choose_plain_backend(&[slower(60), busy.clone()], OBJECTIVE, 0.5), Some(1));
    assert_eq!(choose_plain_backend(&[slower(30), busy], OBJECTIVE, 0.5), Some(0), "alike");
}

#[test]
fn near_backend_preferred_unless_failing() {
    let near = PlainCandidate { n_requests: 4, ..idle_near_backend() };
    let far = PlainCandidate { is_near: false, n_requests: 0, ..near.clone() };
    assert_eq!(choose_plain_backend(&[far.clone(), near.clone()], OBJECTIVE, 0.5), Some(1));
    let failing = PlainCandidate { failure_rate: 0.4, ..near.clone() };
    assert_eq!(choose_plain_backend(&[far.clone(), failing], OBJECTIVE, 0.5), Some(0));
    let full = PlainCandidate { n_requests: SLOTS, ..near.clone() };
    assert_eq!(choose_plain_backend(&[far.clone(), full], OBJECTIVE, 0.5), Some(0));
}

/// Load pattern: many entry hosts that send few requests each. Those that know of no difference
/// between backend servers must not all choose the first one.
#[test]
fn equal_backends_share_requests() {
    let candidates = vec![idle_near_backend(); 3];
    let chosen: Vec<usize> = (0..30)
        .filter_map(|it| choose_plain_backend(&candidates, OBJECTIVE, f64::from(it) / 30.0))
        .collect();
    let count = |idx: usize| chosen.iter().filter(|it| **it == idx).count();
    assert_eq!((count(0), count(1), count(2)), (10, 10, 10));
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

/// Load pattern: a new version. All requests at an engine end at once when it switches; it serves
/// again half a second later and must not stay ejected for seconds.
#[test]
fn simultaneous_failures_eject_once() {
    let start = Instant::now();
    let mut health = BackendHealth::default();
    for _ in 0..14 {
        health.record_failure("a", start);
    }
    assert_eq!(health.ejected(start).count(), 1);
    assert!(health.is_usable("a", 0, start + Duration::from_millis(600)));
    assert_eq!(health.ejected(start + Duration::from_millis(600)).count(), 0);
}

/// Failed backend servers that never return must not stay in memory.
#[test]
fn removed_backends_forgotten() {
    let start = Instant::now();
    let mut health = BackendHealth::default();
    for id in ["registered", "removed"] {
        health.record_failure(id, start);
        health.record_failure(id, start);
    }
    let is_registered = |id: &str| id == "registered";
    health.forget_removed(is_registered, start + Duration::from_secs(10));
    assert!(!health.is_usable("removed", 1, start + Duration::from_secs(10)), "may register again");
    health.record_failure("removed", start + Duration::from_secs(20));
    health.forget_removed(is_registered, start + Duration::from_secs(79));
    assert!(health.failure_rate("removed") > 0.0);
    health.forget_removed(is_registered, start + Duration::from_secs(81));
    assert_eq!(health.failure_rate("removed"), 0.0);
    assert!(health.failure_rate("registered") > 0.0);
}

/// Entry hosts of which the last three of each zone have twice the processor time.
fn entry_hosts(n_zones: u32, n_hosts: u32) -> Vec<OwnerCandidate> {
    let host = |it: u32| OwnerCandidate {
        host: format!("host-{it}"),
        zone: format!("zone-{}", it % n_zones),
        processor_permille: if it + 3 * n_zones >= n_hosts { 500 } else { 240 },
    };
    (0..n_hosts).map(host).collect()
}

fn zone_of<'a>(hosts: &'a [OwnerCandidate], host: &str) -> &'a str {
    &hosts.iter().find(|it| it.host == host).unwrap().zone
}

fn engines(n_zones: u32, n_engines: u32) -> BTreeMap<String, String> {
    let engine = |it: u32| (format!("i-{it}"), format!("zone-{}", it % n_zones));
    (0..n_engines).map(engine).collect()
}

#[test]
fn cells_are_near_and_bounded() {
    let hosts = entry_hosts(5, 149);
    let engines = engines(5, 265);
    let cells = CellMap::new(&engines, &hosts);
    for (engine, zone) in &engines {
        assert_eq!(zone_of(&hosts, cells.owner(engine).unwrap()), zone);
    }
    let sizes: Vec<usize> =
        hosts.iter().map(|it| cells.engines_of(&it.host).count()).filter(|it| *it > 0).collect();
    assert_eq!(sizes.len(), 20, "four cells in each zone");
    assert!(sizes.iter().all(|it| *it <= 32), "{sizes:?}");
    let owns = |it: &&OwnerCandidate| cells.engines_of(&it.host).next().is_some();
    let large = hosts.iter().filter(|it| it.processor_permille == 500);
    assert_eq!(large.filter(owns).count(), 15, "hosts with more processor time come first");
    // Without entry hosts in a zone its engines belong to others.
    let elsewhere: Vec<OwnerCandidate> =
        hosts.into_iter().filter(|it| it.zone != "zone-0").collect();
    let cells = CellMap::new(&engines, &elsewhere);
    assert!(engines.keys().all(|it| cells.owner(it).is_some()));
}

/// A change of engines or owners must move few engines, as an owner has to learn what runs at an
/// engine that it takes over.
#[test]
fn changes_move_few_engines() {
    let engines_before = engines(5, 265);
    let hosts = entry_hosts(5, 149);
    let before = CellMap::new(&engines_before, &hosts);
    let n_moved = |after: &CellMap| {
        engines_before.keys().filter(|it| before.owner(it) != after.owner(it)).count()
    };
    let mut one_engine_less = engines_before.clone();
    one_engine_less.remove("i-17");
    assert_eq!(n_moved(&CellMap::new(&one_engine_less, &hosts)), 1, "the removed one");
    let mut one_owner_less = hosts.clone();
    let owner = before.owner("i-17").unwrap().clone();
    let n_owned = before.engines_of(&owner).count();
    one_owner_less.retain(|it| it.host != owner);
    let after = CellMap::new(&engines_before, &one_owner_less);
    let is_new_owner = |it: &&OwnerCandidate| before.engines_of(&it.host).next().is_none();
    let new_owners = one_owner_less.iter().filter(is_new_owner);
    let taken_over: usize = new_owners.map(|it| after.engines_of(&it.host).count()).sum();
    assert!(n_moved(&after) <= n_owned + taken_over, "only to and from the replaced owner");
    assert!(taken_over <= 32);
}

#[test]
fn requests_ask_near_owners_first() {
    let hosts = entry_hosts(3, 30);
    let cells = CellMap::new(&engines(3, 96), &hosts);
    for step in 0..10 {
        let owners = cells.owners_to_ask(&"zone-1".to_owned(), f64::from(step) / 10.0);
        let zones: Vec<&str> = owners.iter().map(|it| zone_of(&hosts, it)).collect();
        assert_eq!(zones[..2], ["zone-1", "zone-1"]);
        assert_ne!(owners[0], owners[1]);
        assert_ne!(zones[2], "zone-1");
    }
}

/// All hosts ask the same owner first for requests with a suspected part, and another one if that owner
/// is gone.
#[test]
fn one_owner_tries_a_part() {
    let hosts = entry_hosts(3, 30);
    let cells = CellMap::new(&engines(3, 96), &hosts);
    let first_asked = |cells: &CellMap, part| cells.owners_for_part(part)[0].clone();
    let distinct: BTreeSet<_> = (0..50).map(|it| first_asked(&cells, it)).collect();
    assert!(distinct.len() > 1, "not one owner for all parts");
    let gone = first_asked(&cells, 7);
    let next = cells.owners_for_part(7)[1].clone();
    let others: Vec<_> = hosts.into_iter().rev().filter(|it| it.host != gone).collect();
    assert_eq!(first_asked(&CellMap::new(&engines(3, 96), &others), 7), next);
}

#[test]
fn request_counts_return_to_zero() {
    let backend: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let mut counts = RequestCounts::default();
    counts.begin(backend);
    counts.begin(backend);
    assert_eq!((counts.get(&backend), counts.total()), (2, 2));
    counts.end(backend);
    counts.end(backend);
    assert_eq!((counts.get(&backend), counts.total()), (0, 0));
}
