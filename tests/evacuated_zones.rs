//! Operators evacuate availability zones: their backend servers get no new requests.

mod entry_process;

use std::{
    collections::{BTreeMap, BTreeSet},
    thread,
    time::{Duration, Instant},
};

use crocustiller::{
    fleet::{EvacuatedZones, KindUpdate},
    platform::store::{Change, Metadata, StoredObject},
};
use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreFault, StoreStandin};
use entry_process::{
    charter, event_chunk, stream_head,
    zoned_servers::{put_server, send, served, ROUTES, SERVICES},
    CallerResponse, EntryProcess,
};
use serde_json::{json, Value};

const KIND: &str = "evacuations";
/// The hosts are in zone depot, which has no servers, so that none is preferred for being near.
const BOUNDS: &str = "evacuation_ms = 5000\n\n[zones]\nmill = west\nmoor = west\nquay = north\n";
/// Time after which an evacuation must be in force.
const LIMIT: Duration = Duration::from_millis(5000);
/// Time for which a zone stays evacuated whose entry the store has lost.
const LOST_ENTRY_MEMORY: Duration = Duration::from_secs(60);

/// The operator's view and the store's, which may come back from an older copy.
#[derive(Default)]
struct Store {
    entries: BTreeMap<String, u64>,
    revision: u64,
    generation: u64,
    copies: Vec<BTreeMap<String, u64>>,
    /// Changes of this generation that the process has not got.
    pending: Vec<Change>,
}

impl Store {
    fn change(&mut self, zone: &str, deleted: bool) {
        self.copies.push(self.entries.clone());
        self.revision += 1;
        match deleted {
            true if self.entries.remove(zone).is_none() => return,
            true => {}
            false => drop(self.entries.insert(zone.to_owned(), self.revision)),
        }
        self.pending.push(Change { object: object(zone, self.revision), deleted });
    }

    fn restore(&mut self, random: &mut fastrand::Rng) {
        let Some(idx) = (!self.copies.is_empty()).then(|| random.usize(..self.copies.len())) else {
            return;
        };
        self.entries = self.copies[idx].clone();
        self.copies.truncate(idx);
        self.generation += 1;
        self.pending.clear();
    }

    fn listed(&mut self) -> KindUpdate {
        self.pending.clear();
        let objects = self.entries.iter().map(|it| object(it.0, *it.1)).collect();
        KindUpdate::Listed { objects, restored_until: 0, max_age: None }
    }
}

fn object(zone: &str, revision: u64) -> StoredObject {
    StoredObject { metadata: Metadata { name: zone.to_owned(), revision }, spec: Value::Null }
}

/// Guards against a zone that is used while the operator has it evacuated, and against one that stays
/// evacuated, for random evacuations, withdrawals, gaps and copies of the store.
#[test]
fn known_evacuations_are_the_operators() {
    for seed in 0..2000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut store = Store { generation: 1, ..Store::default() };
        let mut known = EvacuatedZones::default();
        let mut now = Instant::now();
        // What the operator has evacuated, and what of it the store has lost; the first and the latest
        // times at which the store lost entries that the process knew.
        let [mut evacuated, mut missed] = [(); 2].map(|()| BTreeSet::<String>::new());
        let [mut first_lost, mut last_lost] = [(); 2].map(|()| BTreeMap::<String, Instant>::new());
        assert!(!known.is_known());
        known.apply(store.listed(), store.generation, now);
        assert!(known.is_known());
        for _ in 0..60 {
            now += Duration::from_millis(random.u64(0..6000));
            let zone = format!("z{}", random.u8(..3));
            match random.u8(..6) {
                0 | 1 => {
                    store.change(&zone, false);
                    evacuated.insert(zone);
                }
                2 => {
                    store.change(&zone, true);
                    evacuated.remove(&zone);
                    missed.remove(&zone);
                }
                3 if random.u8(..3) == 0 => {
                    store.restore(&mut random);
                    for gone in known.names().iter().filter(|it| !store.entries.contains_key(*it)) {
                        missed.extend(evacuated.get(gone).cloned());
                        first_lost.entry(gone.clone()).or_insert(now);
                        last_lost.insert(gone.clone(), now);
                    }
                    known.apply(store.listed(), store.generation, now);
                }
                4 => drop(known.apply(store.listed(), store.generation, now)),
                _ => {
                    let changes = std::mem::take(&mut store.pending);
                    let update = KindUpdate::Changed { changes, max_age: Duration::ZERO };
                    known.apply(update, store.generation, now);
                }
            }
            known.expire(now);
            let is_recent = |lost: &BTreeMap<String, Instant>, zone: &String| {
                lost.get(zone).is_some_and(|it| now < *it + LOST_ENTRY_MEMORY)
            };
            let names = known.names();
            for zone in missed.iter().filter(|it| is_recent(&first_lost, it)) {
                assert!(names.contains(zone), "seed {seed}: {zone} was not withdrawn");
            }
            first_lost.retain(|it, _| names.contains(it));
            if !store.pending.is_empty() {
                continue;
            }
            for zone in store.entries.keys() {
                assert!(names.contains(zone), "seed {seed}: {zone} is in the store");
            }
            for zone in names.iter().filter(|it| !store.entries.contains_key(*it)) {
                assert!(is_recent(&last_lost, zone), "seed {seed}: {zone} stays evacuated");
            }
        }
    }
}

/// Serves a request whose id is "long" for a while.
fn served_slowly(request: &RawRequest) -> Vec<Step> {
    match request.header("x-request-id") {
        Some("long") => {
            let start = [stream_head(request), event_chunk(1)].concat();
            let pause = Step::Pause(Duration::from_millis(1200));
            let end = [event_chunk(2), b"0\r\n\r\n".to_vec()].concat();
            vec![Step::Send(start), pause, Step::Send(end)]
        }
        _ => served(request),
    }
}

/// A store with an engine and a plain server in each of some zones.
struct Site {
    store: StoreStandin,
    servers: Vec<(&'static str, ScriptedServer)>,
}

impl Site {
    fn start(zones: &[&'static str]) -> Site {
        let store = StoreStandin::start().unwrap();
        store.put("config", "main", charter(1));
        let start = |zone: &&'static str| (*zone, ScriptedServer::start(served_slowly).unwrap());
        let servers: Vec<(&str, ScriptedServer)> = zones.iter().map(start).collect();
        for (zone, server) in &servers {
            SERVICES.iter().for_each(|it| put_server(&store, it, zone, server, 16));
        }
        Site { store, servers }
    }

    fn start_host(&self, id: &str) -> EntryProcess {
        let host = EntryProcess::start_with_bounds(self.store.address(), id, BOUNDS);
        host.wait_until_ready();
        host
    }

    fn n_requests(&self, zone: &str) -> usize {
        self.servers.iter().filter(|it| it.0 == zone).map(|it| it.1.requests().len()).sum()
    }

    /// Sends requests until a zone gets none of twelve of each kind.
    fn wait_until_unused(&self, host: &EntryProcess, zone: &str) {
        let since = Instant::now();
        loop {
            let n_before = self.n_requests(zone);
            (0..12).for_each(|_| drop(send_both(host)));
            if self.n_requests(zone) == n_before {
                return;
            }
            assert!(since.elapsed() < LIMIT, "{zone} still gets requests");
        }
    }

    fn wait_until_used(&self, host: &EntryProcess, zone: &str) {
        let (since, n_before) = (Instant::now(), self.n_requests(zone));
        while self.n_requests(zone) == n_before {
            assert!(since.elapsed() < LIMIT, "{zone} gets no requests");
            send_both(host);
        }
    }
}

fn send_stream(host: &EntryProcess, id: &str) -> CallerResponse {
    send(host, ROUTES[2], id)
}

fn send_both(host: &EntryProcess) -> [CallerResponse; 2] {
    [send(host, ROUTES[0], "short"), send_stream(host, "short")]
}

/// Guards against requests to an evacuated zone at a running host, running ones that are cut, and a zone
/// that isn't used after its evacuation. What the entry contains makes no difference.
#[test]
fn evacuation_reaches_running_host() {
    let site = Site::start(&["mill", "quay"]);
    let host = site.start_host("entry-1");
    let contents: [&[u8]; 5] = [b"{}", b"null", b"[1, 2]", b"NaN", b"\"\xff\xc0\""];
    for content in contents {
        site.wait_until_used(&host, "mill");
        thread::scope(|scope| {
            let running: Vec<_> =
                (0..6).map(|_| scope.spawn(|| send_stream(&host, "long"))).collect();
            thread::sleep(Duration::from_millis(200));
            site.store.put_text(KIND, "mill", content);
            site.wait_until_unused(&host, "mill");
            running.into_iter().for_each(|it| assert_eq!(it.join().unwrap().status(), 200));
        });
        let n_before = site.n_requests("mill");
        let responses = (0..20).flat_map(|_| send_both(&host));
        assert!(responses.into_iter().all(|it| it.status() == 200));
        assert_eq!(site.n_requests("mill"), n_before);
        assert_eq!(host.readiness_status(), 200, "entry hosts go on");
        site.store.remove(KIND, "mill");
    }
    site.wait_until_used(&host, "mill");
}

/// Guards against requests that go on waiting for full engines of a zone that is evacuated: they wait for
/// another zone, or are refused at once if there is none. The other zone is known, and full, before the
/// evacuation, as a host may hear of an evacuation before it hears of a new server.
#[test]
fn waiting_requests_are_decided_again() {
    for zones in [vec!["mill", "quay"], vec!["mill"]] {
        let has_other = zones.len() > 1;
        let site = Site::start(&zones);
        let mut patient = charter(1);
        patient["routes"][2]["goal-ms"] = json!(16_000);
        patient["version"] = json!(2);
        site.store.put("config", "main", patient);
        // One request is served and another one waits at each engine.
        for (zone, server) in &site.servers {
            put_server(&site.store, "pool", zone, server, 1);
        }
        let host = site.start_host("entry-1");
        thread::sleep(Duration::from_millis(500));
        thread::scope(|scope| {
            let send_long = |_| scope.spawn(|| send_stream(&host, "long"));
            let running: Vec<_> = (0..2 * zones.len()).map(send_long).collect();
            thread::sleep(Duration::from_millis(200));
            let waiting = scope.spawn(|| send_stream(&host, "waiting"));
            thread::sleep(Duration::from_millis(100));
            assert_eq!(site.n_requests("mill"), 2, "the last one waits");
            site.store.put(KIND, "mill", json!({}));
            let evacuated = Instant::now();
            let response = waiting.join().unwrap();
            assert_eq!(response.status(), if has_other { 200 } else { 503 }, "{}", response.text());
            let took = evacuated.elapsed();
            assert!(
                has_other || took < Duration::from_millis(800),
                "before a slot is free: {took:?}"
            );
            running.into_iter().for_each(|it| assert_eq!(it.join().unwrap().status(), 200));
        });
        assert_eq!(site.n_requests("mill"), 2);
    }
}

/// Guards against requests that wait, or are refused without a time to come again, while all zones are
/// evacuated.
#[test]
fn all_zones_evacuated_refuses_at_once() {
    let site = Site::start(&["mill", "quay"]);
    let host = site.start_host("entry-1");
    ["mill", "quay"].iter().for_each(|it| site.store.put(KIND, it, json!({})));
    ["mill", "quay"].iter().for_each(|it| site.wait_until_unused(&host, it));
    for response in send_both(&host) {
        let text = response.text();
        assert!(text.starts_with("HTTP/1.1 503") && text.contains("are evacuated"), "{text}");
        assert!(text.contains("X-Verdict: not-run") && text.contains("Retry-After: 5"), "{text}");
    }
    site.store.remove(KIND, "mill");
    site.wait_until_used(&host, "mill");
}

/// Guards against a host that serves before it knows the evacuations, and against one that loses them when
/// it can't reach the store, or when the store comes back from a copy without them.
#[test]
fn evacuation_outlives_faults() {
    let site = Site::start(&["mill", "moor", "quay"]);
    site.store.put(KIND, "mill", json!({}));
    let host = site.start_host("entry-1");
    let endpoint = site.store.open_endpoint().unwrap();
    let cut = EntryProcess::start_with_bounds(endpoint.address(), "entry-2", BOUNDS);
    cut.wait_until_ready();
    let check_unused = |what: &str| {
        let n_before = site.n_requests("mill");
        for host in [&host, &cut] {
            (0..12).for_each(|_| drop(send_both(host)));
        }
        assert_eq!(site.n_requests("mill"), n_before, "{what}");
    };
    check_unused("since their start");
    // Time for the beacons of both.
    thread::sleep(Duration::from_millis(1500));
    endpoint.set_fault(StoreFault::Reset);
    site.store.put(KIND, "moor", json!({}));
    site.wait_until_unused(&cut, "moor");
    check_unused("through the other host");
    site.store.set_fault(StoreFault::Reset);
    thread::sleep(Duration::from_millis(1500));
    check_unused("while the store is down");
    site.store.set_fault(StoreFault::None);
    endpoint.set_fault(StoreFault::None);
    thread::sleep(Duration::from_millis(1500));
    // The copy has neither entry; it is one of before the registration of the hosts, too.
    site.store.restore(7);
    assert!(site.store.objects(KIND).is_empty());
    thread::sleep(Duration::from_millis(2500));
    check_unused("after the return of an older copy");
    let late = site.start_host("entry-3");
    let n_before = site.n_requests("mill");
    (0..12).for_each(|_| drop(send_both(&late)));
    assert_eq!(site.n_requests("mill"), n_before, "by a host that starts with the older copy");
    site.store.put(KIND, "mill", json!({}));
    site.store.put(KIND, "moor", json!({}));
    thread::sleep(Duration::from_millis(1500));
    check_unused("written again");
    site.store.remove(KIND, "mill");
    [&host, &cut, &late].iter().for_each(|it| site.wait_until_used(it, "mill"));
    [&host, &cut, &late].iter().for_each(|it| site.wait_until_unused(it, "moor"));
}

/// Guards against a host that trusts an owner which doesn't know of an evacuation.
#[test]
fn grant_of_uninformed_owner_is_checked() {
    let site = Site::start(&["mill", "quay"]);
    // It owns all engines, as its id is the smallest, and doesn't watch evacuations.
    let owner = EntryProcess::start_with_bounds(site.store.address(), "entry-1", "");
    owner.wait_until_ready();
    let host = site.start_host("entry-2");
    thread::sleep(Duration::from_millis(1500));
    site.store.put(KIND, "mill", json!({}));
    site.wait_until_unused(&host, "mill");
    (0..12).for_each(|_| assert_eq!(send_stream(&host, "short").status(), 200));
    let (n_before, n_of_owner) = (site.n_requests("mill"), 3);
    (0..n_of_owner).for_each(|_| drop(send_stream(&owner, "short")));
    assert_eq!(site.n_requests("mill"), n_before + n_of_owner, "the owner grants these engines");
}

/// Guards against calls of the store for evacuations where the settings have no bound for them, or more
/// than one list where they have.
#[test]
fn no_bound_makes_no_calls() {
    let site = Site::start(&["depot"]);
    let [without, with] = [(); 2].map(|()| site.store.open_endpoint().unwrap());
    let hosts = [
        EntryProcess::start_with_bounds(without.address(), "entry-1", ""),
        EntryProcess::start_with_bounds(with.address(), "entry-2", BOUNDS),
    ];
    hosts.iter().for_each(EntryProcess::wait_until_ready);
    site.store.put(KIND, "depot", json!({}));
    thread::sleep(Duration::from_millis(1500));
    assert_eq!((without.n_lists(KIND), with.n_lists(KIND)), (0, 1));
    assert_eq!(send_both(&hosts[0])[0].status(), 200);
}
