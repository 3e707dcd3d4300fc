//! Processes whose store comes back from an older copy: what was written since is gone, and its
//! revisions are given out again.

mod entry_process;

use std::{
    cell::RefCell,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use crocustiller::{
    fleet::{
        registration_delay, registration_retry_delay, KindCache, KindUpdate, KindWatch, ListPacing,
        StoreRetry, StoreSources,
    },
    platform::{
        store::{Change, Changes, Listing, Store, StoreError, StoredObject},
        StorePoint,
    },
    runtime,
};
use crocustiller_standins::raw_http::{CallCounts, ScriptedServer, StoreFault, StoreStandin};
use entry_process::{charter, complete_response, request, server_entry, Deployment, EntryProcess};
use serde_json::{json, Value};

/// Time after the return within which a change must be in force.
const RETURN_LIMIT: Duration = Duration::from_secs(1);
/// Time over which calls are counted.
const COUNT_TIME: Duration = Duration::from_secs(3);
/// Most lists that an entry host may send in `COUNT_TIME`: two a second for each of four kinds.
const MAX_LISTS: u64 = 24;
/// Most writes a second of all hosts together: a quarter of what the store allows.
const MAX_WRITES_PER_S: usize = 100;

fn status(deployment: &Deployment) -> u16 {
    deployment.entry.exchange(&request("GET", "/stock/1", "probe", "")).status()
}

/// Waits until a request gets the status `expected`, for at most `RETURN_LIMIT`.
fn check_status(deployment: &Deployment, expected: u16, case: &str) {
    let since = Instant::now();
    while status(deployment) != expected {
        assert!(since.elapsed() < RETURN_LIMIT, "{case}: no status {expected}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn charter_without_keys(version: u64) -> Value {
    let mut charter = charter(version);
    charter["tenants"][0]["api-keys"] = json!([]);
    charter
}

/// Starts an entry host that has applied five charters, the last with number 6.
fn start_with_charters() -> (Deployment, ScriptedServer) {
    let ledger = ScriptedServer::start(complete_response("x")).unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    for version in 2..=6 {
        deployment.store.put("config", "main", charter(version));
        thread::sleep(Duration::from_millis(300));
    }
    (deployment, ledger)
}

/// Returns the number of lists that the store gets in `COUNT_TIME`.
fn count_lists(store: &StoreStandin) -> u64 {
    let before = store.counts().lists;
    thread::sleep(COUNT_TIME);
    store.counts().lists - before
}

/// The stand-in behaves as the platform's pages say.
#[test]
fn restored_standin_reuses_revisions() {
    let store = StoreStandin::start().unwrap();
    for name in ["a", "b", "c"] {
        store.put("servers", name, json!({}));
    }
    let client = Store::new(store.address());
    let names = |store: &StoreStandin| -> Vec<String> {
        let name = |it: &Value| it["metadata"]["name"].as_str().unwrap().to_owned();
        store.objects("servers").iter().map(name).collect()
    };
    let watch = |revision: u64| {
        let at = StorePoint { generation: 1, revision };
        runtime::run_local(client.watch("servers", at, Duration::ZERO))
    };
    assert_eq!(watch(1).unwrap().events.len(), 3);
    store.restore(2);
    assert_eq!(names(&store), ["a"]);
    assert!(matches!(watch(4), Err(StoreError::HistoryLost)), "this revision is gone");
    assert!(watch(2).unwrap().events.is_empty());
    store.put("servers", "d", json!({}));
    store.put("servers", "e", json!({}));
    assert_eq!(names(&store), ["a", "d", "e"]);
    let changes = watch(3).unwrap();
    assert_eq!(changes.events.len(), 1, "revision 3 was given out again");
    assert_eq!(changes.at, StorePoint { generation: 2, revision: 4 });
    let expected = CallCounts { watches: 4, ..CallCounts::default() };
    assert_eq!(store.counts(), expected);
}

/// Guards against lists without a pause after the store came back from an older copy.
#[test]
fn lists_after_return_are_bounded() {
    let (deployment, _ledger) = start_with_charters();
    deployment.store.restore(4);
    let n_lists = count_lists(&deployment.store);
    assert!(n_lists <= MAX_LISTS, "{n_lists} lists in {COUNT_TIME:?}");
}

/// A burst, then one list a second, whatever the times of the attempts.
#[test]
fn lists_are_paced() {
    let start = Instant::now();
    for step_ms in [1, 70, 400, 999] {
        let mut pacing = ListPacing::default();
        let mut now = start;
        let mut sent = Vec::new();
        while now < start + Duration::from_secs(20) {
            if pacing.delay(now).is_zero() {
                pacing.record(now);
                sent.push(now);
            }
            now += Duration::from_millis(step_ms);
        }
        assert_eq!(sent[0], start);
        assert!(sent[2] <= start + Duration::from_millis(2 * step_ms), "the burst waits");
        assert!((15..=23).contains(&sent.len()), "{} lists in 20 s", sent.len());
    }
}

/// Guards against lists without a pause, whatever the reason to list again.
#[test]
fn lists_without_history_are_bounded() {
    let (deployment, _ledger) = start_with_charters();
    deployment.store.set_fault(StoreFault::NoHistory);
    let n_lists = count_lists(&deployment.store);
    assert!(n_lists <= MAX_LISTS, "{n_lists} lists in {COUNT_TIME:?}");
}

/// Guards against charters, and engines that leave, that are applied late after the store came back.
#[test]
fn changes_after_return_are_applied() {
    let (deployment, ledger) = start_with_charters();
    let store = &deployment.store;
    store.restore(4);
    thread::sleep(RETURN_LIMIT);
    store.put("config", "main", charter_without_keys(7));
    check_status(&deployment, 401, "charter with a greater number, lower revision");
    store.put("config", "main", charter(8));
    check_status(&deployment, 200, "charter");
    let draining = server_entry("ledger", ledger.address(), "draining");
    store.put("servers", "ledger-0", draining);
    check_status(&deployment, 503, "engine that leaves");
}

/// Guards against a host that starts with the charter of an older copy, with a key that was revoked.
#[test]
fn starting_host_learns_newest_charter() {
    let (deployment, _ledger) = start_with_charters();
    let store = &deployment.store;
    store.put("config", "main", charter_without_keys(7));
    check_status(&deployment, 401, "revoked key");
    store.restore(1);
    // Time to notice the return.
    thread::sleep(RETURN_LIMIT);
    let started = EntryProcess::start(store, "b");
    started.wait_until_ready();
    let since = Instant::now();
    while since.elapsed() < RETURN_LIMIT {
        let response = started.exchange(&request("GET", "/stock/1", "probe", ""));
        assert_eq!(response.status(), 401, "{:?} after it was ready", since.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against charters and versions that followers of a host take from an older copy.
#[test]
fn relayed_documents_never_go_back() {
    let cache = KindCache::default();
    let point = |generation, revision| StorePoint { generation, revision };
    let object = |name: &str, version: u64| -> StoredObject {
        let metadata = json!({ "name": name, "revision": 1 });
        let spec = json!({ "model": name, "version": version });
        serde_json::from_value(json!({ "metadata": metadata, "spec": spec })).unwrap()
    };
    let versions = || -> Vec<(String, u64)> {
        let objects = cache.listing("versions").unwrap().objects.into_iter();
        objects.map(|it| (it.metadata.name, it.spec["version"].as_u64().unwrap())).collect()
    };
    let named = |a: u64, b: u64| vec![("a".to_owned(), a), ("b".to_owned(), b)];
    let objects = vec![object("a", 3), object("b", 5)];
    cache.replace("versions", &Listing { objects, at: point(1, 9) });
    cache.replace("versions", &Listing { objects: vec![object("a", 2)], at: point(2, 5) });
    assert_eq!(versions(), named(3, 5));
    let change = |version| Changes {
        events: vec![Change { object: object("a", version), deleted: false }],
        at: point(2, 6),
        max_age: Duration::ZERO,
    };
    cache.apply("versions", &change(2));
    assert_eq!(versions(), named(3, 5));
    cache.apply("versions", &change(4));
    assert_eq!(versions(), named(4, 5));
    // The next list of the same generation still lacks what the store has lost.
    cache.replace("versions", &Listing { objects: vec![object("a", 4)], at: point(2, 7) });
    assert_eq!(versions(), named(4, 5));
    // A document that this generation had can be removed.
    let listing = Listing { objects: Vec::new(), at: point(2, 8) };
    cache.replace("versions", &listing);
    assert_eq!(versions(), named(4, 5)[1..]);
}

/// Guards against hosts that nobody finds, as the store has lost their registrations.
#[test]
fn lost_registration_is_written_again() {
    let (deployment, _ledger) = start_with_charters();
    let store = &deployment.store;
    let before = store.objects("entry-hosts");
    assert_eq!(before.len(), 1);
    // The copy is older than the registration; what others wrote is written again.
    store.restore(7);
    assert!(store.objects("entry-hosts").is_empty());
    store.put("config", "main", charter(6));
    let n_writes = store.counts().writes;
    let since = Instant::now();
    while store.objects("entry-hosts").is_empty() {
        assert!(since.elapsed() < COUNT_TIME, "not registered again");
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(store.objects("entry-hosts")[0]["spec"], before[0]["spec"]);
    thread::sleep(COUNT_TIME);
    assert_eq!(store.counts().writes - n_writes, 1);
}

/// Load pattern: all hosts of a deployment have lost their registrations at once, or can't write them.
#[test]
fn registrations_are_spread() {
    let most_per_s = |mut times: Vec<Duration>| {
        times.sort();
        let in_window = |from: &Duration| {
            times.iter().filter(|it| (*from..*from + Duration::from_secs(1)).contains(it)).count()
        };
        times.iter().map(in_window).max().unwrap()
    };
    for n_hosts in [7, 149, 360] {
        let mut rng = fastrand::Rng::with_seed(28);
        let delays = (0..n_hosts).map(|_| registration_delay(n_hosts, rng.f64())).collect();
        assert!(most_per_s(delays) <= n_hosts.min(MAX_WRITES_PER_S), "{n_hosts} hosts at once");
        let mut retries = Vec::new();
        for _ in 0..n_hosts {
            let mut time = Duration::ZERO;
            for n_failures in 1..=20 {
                time += registration_retry_delay(n_hosts, n_failures, rng.f64());
                retries.push(time);
            }
        }
        let late: Vec<Duration> =
            retries.into_iter().filter(|it| *it > Duration::from_secs(20)).collect();
        assert!(most_per_s(late) <= n_hosts.min(MAX_WRITES_PER_S), "{n_hosts} hosts retry");
    }
}

/// Guards against requests to engines that said they leave in the span that the store lost.
#[test]
fn leaving_engine_stays_leaving() {
    let (deployment, ledger) = start_with_charters();
    let draining = server_entry("ledger", ledger.address(), "draining");
    deployment.store.put("servers", "ledger-0", draining);
    check_status(&deployment, 503, "engine that leaves");
    deployment.store.restore(1);
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(2) {
        assert_eq!(status(&deployment), 503, "after {:?}", since.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
    // Another start of it under the same id may be used.
    let mut entry = server_entry("ledger", ledger.address(), "ready");
    entry["born"] = json!(2000);
    deployment.store.put("servers", "ledger-0", entry);
    check_status(&deployment, 200, "another start");
}

/// A watch goes on from a revision of before the return, which has been given out again; the store
/// can't tell that the changes before it are other ones.
#[test]
fn reused_revisions_hide_no_change() {
    let store = StoreStandin::start().unwrap();
    let seen: Rc<RefCell<Vec<String>>> = Rc::default();
    runtime::run_local(async {
        let sources = StoreSources::new(Store::new(store.address()));
        let retry = StoreRetry::new(Duration::from_millis(400));
        let watch = KindWatch::new(sources, "servers", retry);
        let names = seen.clone();
        // The store goes away and comes back within the delay after a change.
        let watch = watch.with_batch_delay(Duration::from_millis(300));
        let task = runtime::spawn_local(watch.run(move |update| {
            let objects = match update {
                KindUpdate::Listed { objects, .. } => objects,
                KindUpdate::Changed { changes, .. } => {
                    changes.into_iter().map(|it| it.object).collect()
                }
            };
            names.borrow_mut().extend(objects.into_iter().map(|it| it.metadata.name));
        }));
        runtime::sleep(Duration::from_millis(100)).await;
        store.put("servers", "before-1", json!({}));
        runtime::sleep(Duration::from_millis(100)).await;
        store.put("servers", "before-2", json!({}));
        store.restore(2);
        store.put("servers", "after-1", json!({}));
        store.put("servers", "after-2", json!({}));
        runtime::sleep(Duration::from_millis(300) + RETURN_LIMIT).await;
        store.put("servers", "after-3", json!({}));
        runtime::sleep(RETURN_LIMIT).await;
        task.cancel().await;
    });
    for name in ["after-1", "after-2", "after-3"] {
        assert!(seen.borrow().iter().any(|it| it == name), "{name} is missing in {seen:?}");
    }
}
