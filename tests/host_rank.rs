//! Rendezvous ranks, the choice of watchers and neighbours, and the summary of charter reports.

use std::{collections::BTreeMap, sync::Arc};

use crocustiller::{
    charter::summarise,
    membership::{
        rank, CharterReport, HostRole, HostState, MemberRecord, Neighbours, WeightsStatus,
    },
    objects::choose_watchers,
};

/// Number of seeded runs.
const N_SEEDS: u64 = 1000;

#[test]
fn rank_ignores_order() {
    for seed in 0..N_SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let n_hosts = random.usize(1..40);
        let mut hosts: Vec<String> = (0..n_hosts).map(|it| format!("host-{it}")).collect();
        let decision = format!("decision-{seed}");
        let ranked = rank(&decision, &hosts);
        random.shuffle(&mut hosts);
        assert_eq!(rank(&decision, &hosts), ranked, "seed {seed}");
        let removed = hosts.swap_remove(random.usize(0..n_hosts));
        let expected: Vec<String> = ranked.into_iter().filter(|it| *it != removed).collect();
        assert_eq!(
            rank(&decision, &hosts),
            expected,
            "seed {seed}: removing a host keeps the order of the others"
        );
    }
}

#[test]
fn rank_spreads_decisions() {
    let hosts: Vec<String> = (0..8).map(|it| format!("host-{it}")).collect();
    let mut first_counts: BTreeMap<String, u32> = BTreeMap::new();
    for idx in 0..8000 {
        *first_counts.entry(rank(&format!("d{idx}"), &hosts)[0].clone()).or_default() += 1;
    }
    for (host, n_first) in first_counts {
        assert!((850..1150).contains(&n_first), "{host} is first {n_first} times of 8000");
    }
}

#[test]
fn watchers_are_live_entry_hosts() {
    use HostState::{Gone, Leaving, Live, Suspect};
    check_watchers(&[(true, Live); 9], 3, true);
    check_watchers(&[(true, Live), (true, Live), (false, Live), (false, Live)], 3, false);
    check_watchers(&[(true, Live), (true, Suspect), (true, Leaving), (true, Gone)], 1, true);
    check_watchers(&[(false, Live); 20], 3, false);
    check_watchers(&[], 0, true);
}

#[test]
fn watcher_count_ignores_fleet_size() {
    for n_slots in [0, 10, 100, 1000] {
        let mut hosts = vec![(true, HostState::Live); 9];
        hosts.extend(vec![(false, HostState::Live); n_slots]);
        check_watchers(&hosts, 3, true);
    }
}

#[test]
fn neighbours_are_few_and_live() {
    for seed in 0..N_SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let n_hosts = random.usize(1..120);
        let states = [HostState::Live, HostState::Live, HostState::Gone, HostState::Suspect];
        let records: Vec<Arc<MemberRecord>> = (0..n_hosts)
            .map(|idx| record(idx, idx % 7 == 0, states[random.usize(0..4)], idx % 3))
            .collect();
        let mut neighbours = Neighbours::default();
        for _ in 0..5 {
            neighbours.renew(&records[0], &records, &mut random);
            assert!(neighbours.n_hosts() <= 12, "seed {seed}");
            let chosen = neighbours.choose(&records[0], &records, random.bool(), &mut random);
            let Some(address) = chosen else { continue };
            let peer = records.iter().find(|it| it.peer_address == address).unwrap();
            assert_eq!(peer.state, HostState::Live, "seed {seed}");
            assert_ne!(peer.host, records[0].host, "seed {seed}");
        }
    }
}

#[test]
fn cross_region_gossip_is_limited() {
    let mut random = fastrand::Rng::with_seed(7);
    let records: Vec<Arc<MemberRecord>> =
        (0..960).map(|idx| record(idx, false, HostState::Live, idx % 2)).collect();
    let mut neighbours = Neighbours::default();
    neighbours.renew(&records[0], &records, &mut random);
    let is_cross_region =
        |address| records.iter().any(|it| it.peer_address == address && it.region != "0");
    let n_cross_region = (0..10_000)
        .filter_map(|_| neighbours.choose(&records[0], &records, true, &mut random))
        .filter(|it| is_cross_region(*it))
        .count();
    // Expects 10,000 * 64 / 480: each of the 480 slots of a region starts one exchange per second,
    // of which 64 in total may go to another region.
    assert!((1_100..1_600).contains(&n_cross_region), "{n_cross_region} of 10000 exchanges");
}

#[test]
fn charter_status_lists_lagging_hosts() {
    let hosts: Vec<String> = ["a", "b", "c"].map(str::to_owned).to_vec();
    check_charter_status(&hosts, &[("a", 5), ("b", 5), ("c", 5)], 5, &[]);
    check_charter_status(&hosts, &[("a", 5), ("b", 4), ("b", 5)], 5, &["c"]);
    check_charter_status(&hosts, &[("a", 6), ("b", 5), ("x", 9)], 6, &["b", "c"]);
    check_charter_status(&hosts, &[], 0, &[]);
}

fn check_charter_status(hosts: &[String], reports: &[(&str, u64)], number: u64, behind: &[&str]) {
    let report = |it: &(&str, u64)| CharterReport { host: it.0.to_owned(), charter_number: it.1 };
    let status = summarise(hosts, reports.iter().map(report).collect());
    let names: Vec<&str> = status.behind.iter().map(|it| it.host.as_str()).collect();
    assert_eq!((status.number, names.as_slice()), (number, behind), "{reports:?}");
    assert_eq!(status.n_in_force, hosts.len() - behind.len());
}

fn check_watchers(hosts: &[(bool, HostState)], n_watchers: usize, are_entry_hosts: bool) {
    let records: Vec<Arc<MemberRecord>> =
        hosts.iter().enumerate().map(|(idx, it)| record(idx, it.0, it.1, 0)).collect();
    let watchers = choose_watchers("charter", &records);
    assert_eq!(watchers.len(), n_watchers, "{hosts:?}");
    let is_entry =
        |host: &String| records.iter().any(|it| it.host == *host && it.role == HostRole::Entry);
    assert_eq!(watchers.iter().all(is_entry), are_entry_hosts, "{hosts:?}");
}

fn record(idx: usize, is_entry: bool, state: HostState, region: usize) -> Arc<MemberRecord> {
    let address = ([127, 0, 0, 1], 1000 + idx as u16).into();
    let role = if is_entry { HostRole::Entry } else { HostRole::Engine("chat".to_owned()) };
    Arc::new(MemberRecord {
        host: format!("host-{idx}"),
        role,
        region: region.to_string(),
        zone: "z".to_owned(),
        peer_address: address,
        request_address: address,
        operator_address: address,
        incarnation: 1,
        sequence: 0,
        state,
        weights: WeightsStatus::default(),
    })
}
