//! Processes that follow the store through an entry host.

mod deployed;

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crocustiller::{
    fleet::{KindCache, StoreSource, StoreSources},
    platform::store::{Change, Changes, Listing, Store, StoreError, StoredObject},
};
use crocustiller_standins::raw_http::{ScriptedServer, StoreFault, StoreStandin};
use deployed::{answers_whole, charter, request, server_entry, EntryProcess};
use serde_json::json;

/// Time from a change until a host that the store turns away goes by it.
const NEWS_LIMIT: Duration = Duration::from_secs(4);

fn object(name: &str, revision: u64) -> StoredObject {
    let metadata = json!({ "name": name, "revision": revision });
    serde_json::from_value(json!({ "metadata": metadata, "spec": {} })).unwrap()
}

fn sources() -> (StoreSources, [SocketAddr; 2]) {
    let address = |it: u8| SocketAddr::from(([127, 0, 0, it], 7000));
    (StoreSources::new(Store::new(address(1))), [address(2), address(3)])
}

#[test]
fn source_rules() {
    let (sources, [first, second]) = sources();
    let now = Instant::now();
    assert_eq!(sources.choose(now), StoreSource::Store, "nobody else is known");
    sources.update(true, vec![first, second]);
    assert_eq!(sources.choose(now), StoreSource::Store);
    sources.mark_unavailable(StoreSource::Store, now);
    let later = now + Duration::from_secs(60);
    assert_eq!(sources.choose(later), StoreSource::Relay(first), "the store did not answer again");
    sources.mark_available(StoreSource::Store);
    assert_eq!(sources.choose(later), StoreSource::Store);
    sources.update(false, vec![first, second]);
    assert_eq!(sources.choose(now), StoreSource::Relay(first));
    sources.mark_unavailable(StoreSource::Relay(first), now);
    assert_eq!(sources.choose(now), StoreSource::Relay(second));
    sources.mark_unavailable(StoreSource::Relay(second), now);
    assert_eq!(sources.choose(now), StoreSource::Store, "the last resort");
    assert_eq!(sources.choose(later), StoreSource::Relay(first));
}

#[test]
fn cached_kinds() {
    let cache = KindCache::default();
    let names = |listing: Listing| -> Vec<String> {
        listing.objects.into_iter().map(|it| it.metadata.name).collect()
    };
    assert!(cache.listing("servers").is_err(), "nothing is known yet");
    cache.replace("servers", &Listing { objects: vec![object("a", 3)], at: 5 });
    let removal = Change { object: object("a", 3), deleted: true };
    let addition = Change { object: object("b", 6), deleted: false };
    cache.apply("servers", &Changes { events: vec![addition, removal], at: 7 });
    assert_eq!(names(cache.listing("servers").unwrap()), ["b"]);
    let changes = |at: u64| {
        futures_lite::future::block_on(cache.changes("servers", at, Duration::from_millis(5)))
    };
    assert_eq!(changes(5).unwrap().events.len(), 2);
    assert_eq!(changes(5).unwrap().at, 7);
    assert!(matches!(changes(4), Err(StoreError::HistoryLost)));
    // A follower that is ahead is never led back.
    assert_eq!(changes(9).unwrap().at, 9);
    cache.mark_stale("servers");
    assert!(changes(5).is_err(), "others must not go by what may be old");
}

/// After an outage for all, a host that the store still turns away goes by another one at once, in
/// every kind that it follows.
///
/// Seen in hunt-b648-19 (Habimana): three kinds waited for the store while the fourth was followed
/// through another host, and a route was refused 3.5 s after it was added.
#[test]
fn turned_away_after_an_outage() {
    let ledger = ScriptedServer::start(answers_whole("x")).unwrap();
    let store = StoreStandin::start().unwrap();
    let door = store.open_endpoint().unwrap();
    store.put("config", "main", charter(1));
    store.put("servers", "ledger-0", server_entry("ledger", ledger.address(), "ready"));
    let hosts =
        [EntryProcess::start(&store, "entry-1"), EntryProcess::start_at(door.address(), "b")];
    let status = |it: &EntryProcess| it.exchange(&request("GET", "/stock/1", "probe", "")).status();
    hosts.iter().for_each(EntryProcess::wait_until_ready);
    thread::sleep(Duration::from_millis(600));
    for round in 0..3 {
        door.set_fault(StoreFault::Reset);
        store.set_fault(StoreFault::Reset);
        thread::sleep(Duration::from_millis(700));
        let mut changed = charter(10 + round);
        let expected = if round % 2 == 0 { 401 } else { 200 };
        if expected == 401 {
            changed["tenants"][0]["api-keys"] = json!([]);
        }
        store.put("config", "main", changed);
        store.set_fault(StoreFault::None);
        let limit = Duration::from_millis(2500);
        let since = Instant::now();
        while status(&hosts[1]) != expected {
            assert!(since.elapsed() < limit, "round {round}: not in force after {limit:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// A host that is back at the store lists anew, as the history may be gone.
///
/// Seen in a hunted scale-2 (SENARC): a watch that went on after a loss of history heard nothing for
/// 5 s, and an added route was refused.
#[test]
fn return_to_the_store() {
    let store = StoreStandin::start().unwrap();
    let door = store.open_endpoint().unwrap();
    store.put("config", "main", charter(1));
    let hosts =
        [EntryProcess::start(&store, "entry-1"), EntryProcess::start_at(door.address(), "b")];
    hosts.iter().for_each(EntryProcess::wait_until_ready);
    thread::sleep(Duration::from_millis(600));
    door.set_fault(StoreFault::Reset);
    thread::sleep(Duration::from_millis(1500));
    let before = door.n_lists("config");
    door.set_fault(StoreFault::None);
    let since = Instant::now();
    while door.n_lists("config") == before {
        assert!(since.elapsed() < Duration::from_secs(2), "no list of the store");
        thread::sleep(Duration::from_millis(20));
    }
}

/// A key is taken away while the store turns one of two hosts away: the other one tells it.
#[test]
fn turned_away_host() {
    let faults = [StoreFault::Status(503), StoreFault::Reset, StoreFault::Silent];
    for fault in faults {
        let ledger = ScriptedServer::start(answers_whole("x")).unwrap();
        let store = StoreStandin::start().unwrap();
        let door = store.open_endpoint().unwrap();
        store.put("config", "main", charter(1));
        store.put("servers", "ledger-0", server_entry("ledger", ledger.address(), "ready"));
        let hosts =
            [EntryProcess::start(&store, "entry-1"), EntryProcess::start_at(door.address(), "b")];
        let status =
            |it: &EntryProcess| it.exchange(&request("GET", "/stock/1", "probe", "")).status();
        for host in &hosts {
            host.wait_until_ready();
            assert_eq!(status(host), 200);
        }
        // Time for the two to hear of each other.
        thread::sleep(Duration::from_millis(600));
        door.set_fault(fault);
        let mut revoked = charter(4);
        revoked["tenants"][0]["api-keys"] = json!([]);
        store.put("config", "main", revoked);
        let since = Instant::now();
        while status(&hosts[1]) != 401 {
            assert!(since.elapsed() < NEWS_LIMIT, "{fault:?}: the key is still served");
            thread::sleep(Duration::from_millis(20));
        }
        // Back at the store, it goes on by itself.
        door.set_fault(StoreFault::None);
        store.put("config", "main", charter(5));
        let since = Instant::now();
        while status(&hosts[1]) != 200 {
            assert!(since.elapsed() < NEWS_LIMIT, "{fault:?}: the key is not served again");
            thread::sleep(Duration::from_millis(20));
        }
    }
}
