//! Requests to cold backend servers: their rate summed over all hosts, and what is known of their state.

mod cold_pool;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use cold_pool::{address, cold_servers, cold_servers_with, ms, server, COLD_MS, SLOTS};
use crocustiller::{
    placement::{
        Admission, AdmissionCell, CellEngine, ColdServers, ColdState, Demand, EntryShare,
        RateLimit, ReservationId,
    },
    routing::BackendServer,
};

fn renew(cold: &mut ColdServers, server: &BackendServer, now: Instant) {
    cold.update_servers([server].into_iter(), &BTreeSet::from([server.id.clone()]), now);
}

fn list(cold: &mut ColdServers, servers: &[BackendServer], now: Instant) {
    cold.update_servers(servers.iter(), &BTreeSet::new(), now);
}

fn cell_engine(cold: &ColdServers, is_on_probation: bool, now: Instant) -> CellEngine {
    let rate_limit = cold.owner_limit("i-0", now);
    CellEngine {
        id: "i-0".to_owned(),
        slots: SLOTS,
        is_on_probation,
        rate_limit,
        request_limit: None,
    }
}

fn demand(wait: Duration) -> Demand {
    Demand { service: "pool".to_owned(), prompt_tokens: 10, wait, ..Demand::default() }
}

/// Late news: an entry that may have been written before an event doesn't make the server warm, and no
/// event leaves it limited for longer than a cold start takes.
#[test]
fn late_entries() {
    let now = Instant::now();
    let warm = server("i-0", "pool", 1, Duration::ZERO);
    let mut cold = cold_servers();
    list(&mut cold, std::slice::from_ref(&warm), now);
    assert_eq!(cold.state("i-0", now), ColdState::Warm, "its first listing says its state");
    assert!(cold.owner_limit("i-0", now).is_some_and(|it| !it.is_binding));
    cold.note_zone_returned(&"z1".to_owned(), now + ms(9000));
    list(&mut cold, std::slice::from_ref(&warm), now + ms(10_500));
    renew(&mut cold, &warm, now + ms(9900));
    assert_eq!(cold.state("i-0", now + ms(11_999)), ColdState::Unknown);
    assert_eq!(cold.state("i-0", now + ms(12_000)), ColdState::Warm);
    cold.note_suspended(now + ms(20_000));
    assert_eq!(cold.state("i-0", now + ms(20_000)), ColdState::Unknown);
    renew(&mut cold, &warm, now + ms(21_000));
    assert_eq!(cold.state("i-0", now + ms(21_000)), ColdState::Warm);
    let cold_again = server("i-0", "pool", 1, ms(500));
    renew(&mut cold, &cold_again, now + ms(22_000));
    // The update of another server brings its entry again.
    list(&mut cold, &[cold_again, server("i-1", "pool", 1, Duration::ZERO)], now + ms(22_400));
    assert_eq!(cold.state("i-0", now + ms(22_500)), ColdState::Warm);
    assert_eq!(cold.state("i-0", now + ms(22_499)), ColdState::Cold);
    renew(&mut cold, &server("i-0", "pool", 2, Duration::ZERO), now + ms(23_000));
    assert_eq!(cold.state("i-0", now + ms(25_999)), ColdState::Unknown, "another start");
    let changes = cold.take_changes(now + ms(25_000));
    assert_eq!(changes.limited, ["i-0"]);
    assert_eq!(cold.take_changes(now + ms(26_000)).warm, ["i-0"]);
}

/// A new owner that has listed all servers just now goes by that list; one that listed them long ago does
/// not. Otherwise a whole site would start at a fraction of its rate, or full rate go to a cold server.
#[test]
fn new_owners() {
    let now = Instant::now();
    let mut cold = cold_servers();
    list(&mut cold, &[server("i-0", "pool", 1, Duration::ZERO)], now);
    cold.note_owned(&["i-0".to_owned()], now + ms(2000));
    assert_eq!(cold.state("i-0", now + ms(2000)), ColdState::Warm);
    cold.note_owned(&["i-0".to_owned()], now + ms(9000));
    assert_eq!(cold.state("i-0", now + ms(9000)), ColdState::Unknown);
}

/// All free slots of a server that got warm must not be filled at once: its rate rises over two seconds.
#[test]
fn rising_rate() {
    let now = Instant::now();
    let mut cold = cold_servers();
    list(&mut cold, &[server("i-0", "pool", 1, ms(1000))], now);
    let interval =
        |at| cold.owner_limit("i-0", now + ms(at)).map(|it| (it.interval, it.is_binding));
    assert_eq!(interval(1000), interval(0));
    assert!(interval(2000) > interval(2500) && interval(1000) > interval(2000));
    assert!(interval(2999).is_some_and(|it| it.1) && interval(3000).is_some_and(|it| !it.1));
}

/// A request that waits for a cold engine starts by itself when its turn comes, and a grant that was not
/// used is given back. Otherwise engines would stay idle while requests wait.
#[test]
fn turns_at_cold_engine() {
    let now = Instant::now();
    let mut cold = cold_servers();
    list(&mut cold, &[server("i-0", "pool", 1, ms(COLD_MS))], now);
    let engines = |_: &Demand| vec![cell_engine(&cold, false, now)];
    let mut cell = AdmissionCell::default();
    let id = |number| ReservationId { holder: address(1), number };
    let mut ask = |number, wait| cell.request(id(number), demand(wait), &engines, now);
    assert!(matches!(ask(1, ms(0)), Some(Admission::Granted { .. })));
    assert!(matches!(ask(2, ms(0)), Some(Admission::Granted { .. })));
    assert_eq!(ask(3, ms(0)), Some(Admission::Full));
    assert_eq!(ask(4, ms(500)), None);
    let due = cell.next_deadline().expect("a request waits");
    assert!(due > now && due < now + ms(200), "{:?}", due - now);
    assert_eq!(cell.decide_waiting(&engines, due - ms(1)), []);
    assert_eq!(cell.decide_waiting(&engines, due).len(), 1);
    assert_eq!(cell.request(id(5), demand(ms(0)), &engines, due), Some(Admission::Full));
    assert!(cell.cancel(&id(4)).is_some() && cell.cancel(&id(4)).is_none());
    assert!(cell.request(id(5), demand(ms(0)), &engines, due) != Some(Admission::Full));
    assert_eq!(cell.n_held_back(), 3);
}

/// Requests that an engine got just before its entry says that it is cold count, as it may have been cold
/// since then.
#[test]
fn cold_under_load() {
    let now = Instant::now();
    let mut cold = cold_servers();
    list(&mut cold, &[server("i-0", "pool", 1, Duration::ZERO)], now);
    let mut cell = AdmissionCell::default();
    let mut ask = |cold: &ColdServers, number, now| {
        let id = ReservationId { holder: address(1), number };
        let engine = cell_engine(cold, false, now);
        cell.request(id, demand(ms(0)), &|_: &Demand| vec![engine.clone()], now)
    };
    for number in 1..=10 {
        assert!(matches!(ask(&cold, number, now), Some(Admission::Granted { .. })));
    }
    renew(&mut cold, &server("i-0", "pool", 1, ms(COLD_MS)), now + ms(500));
    assert_eq!(ask(&cold, 11, now + ms(850)), Some(Admission::Full));
    assert!(matches!(ask(&cold, 12, now + ms(950)), Some(Admission::Granted { .. })));
}

/// Hosts without an owner prefer warm engines, and all hosts together keep to a share at cold ones; those
/// of a plain service keep to what it bears. Each would else send one request in the same moment.
#[test]
fn shares_of_hosts() {
    let now = Instant::now();
    let entries = |service| {
        [server("i-0", service, 1, ms(COLD_MS)), server("i-1", service, 1, Duration::ZERO)]
    };
    for (service, n_max) in [("pool", 3), ("plain", 17)] {
        let entries = entries(service);
        let mut n_begun = 0;
        for own in 1..=38 {
            let share =
                || EntryShare { own: address(own), others: (1..=38).map(address).collect() };
            let mut cold = cold_servers();
            list(&mut cold, &entries, now);
            let mut both: Vec<&BackendServer> = entries.iter().collect();
            cold.retain_unowned(&mut both, share, now);
            assert_eq!(both, [&entries[1]], "the warm one");
            for at in [0, 300, 900] {
                let mut servers = vec![&entries[0]];
                cold.retain_within_share(&mut servers, share, now + ms(at));
                n_begun += servers.len();
                for server in &servers {
                    cold.record_own(&server.id, share, now + ms(at));
                }
            }
        }
        assert_eq!(n_begun, n_max);
    }
}

/// Guards against a plain service that no host may send to while all its servers are cold, as they bear less
/// than a request per second.
#[test]
fn less_than_one_per_second() {
    let now = Instant::now();
    let entry = server("i-0", "plain", 1, ms(COLD_MS));
    let mut n_begun = 0;
    for own in 1..=38 {
        let share = || EntryShare { own: address(own), others: (1..=38).map(address).collect() };
        let mut cold = cold_servers_with(0.5);
        list(&mut cold, std::slice::from_ref(&entry), now);
        for at in [0, 1900] {
            let mut servers = vec![&entry];
            cold.retain_within_share(&mut servers, share, now + ms(at));
            n_begun += servers.len();
            for server in servers {
                assert!(cold.record_own(&server.id, share, now + ms(at)));
            }
        }
    }
    assert_eq!(n_begun, 1, "one host, one request in 2 s");
}

/// Guards against the end of all entry hosts by a rate so low that its interval overflows.
#[test]
fn tiny_rates() {
    for n_requests in [1e-20, 1e-300, f64::MIN_POSITIVE, 0.0] {
        let limit = RateLimit::per_second(n_requests);
        assert_eq!((limit.interval, limit.burst), (ms(86_400_000), 1), "{n_requests}");
    }
    let mut cold = cold_servers_with(1e-20);
    let now = Instant::now();
    list(&mut cold, &[server("i-0", "pool", 1, ms(COLD_MS))], now);
    assert!(cold.owner_limit("i-0", now).is_some_and(|it| it.is_binding));
}

/// Guards against charging a cold server for a reservation that is given up before anything is sent, such
/// as one for a hedged call beyond the allowance.
#[test]
fn unsent_requests_are_given_back() {
    let now = Instant::now();
    let entry = server("i-0", "plain", 1, ms(COLD_MS));
    let share = || EntryShare { own: address(1), others: vec![address(1)] };
    let mut cold = cold_servers();
    list(&mut cold, std::slice::from_ref(&entry), now);
    let is_due = |cold: &mut ColdServers| {
        let mut servers = vec![&entry];
        cold.retain_within_share(&mut servers, share, now);
        !servers.is_empty()
    };
    assert!(!cold.record_own("i-1", share, now), "an unknown server isn't limited");
    let mut n_sent = 0;
    while is_due(&mut cold) {
        assert!(cold.record_own("i-0", share, now));
        n_sent += 1;
    }
    assert!(n_sent > 0);
    cold.give_back_own("i-0");
    assert!(is_due(&mut cold));
}

/// In calm operation a pool whose charter names a cold start admits the same requests as any other.
#[test]
fn warm_pool_keeps_capacity() {
    let start = Instant::now();
    let mut cold = cold_servers();
    list(&mut cold, &[server("i-0", "pool", 1, Duration::ZERO)], start);
    let mut cells = [AdmissionCell::default(), AdmissionCell::default()];
    let mut random = fastrand::Rng::with_seed(1);
    for number in 0..20_000 {
        let now = start + ms(number * 2);
        if number % 500 == 0 {
            renew(&mut cold, &server("i-0", "pool", 1, Duration::ZERO), now);
        }
        let released = number.saturating_sub(random.u64(0..40));
        for cell in &mut cells {
            cell.release(&ReservationId { holder: address(1), number: released }, now);
        }
        let id = ReservationId { holder: address(1), number };
        let limited = |_: &Demand| vec![cell_engine(&cold, false, now)];
        let unlimited =
            |_: &Demand| vec![CellEngine { rate_limit: None, ..cell_engine(&cold, false, now) }];
        let with = cells[0].request(id, demand(ms(0)), &limited, now);
        assert_eq!(with, cells[1].request(id, demand(ms(0)), &unlimited, now));
    }
}
