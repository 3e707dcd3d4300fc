//! Requests reach only backend servers in the regions that their route and customer allow.

mod entry_process;

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crocustiller::placement::{
    AllowedZones, CellMap, NoAllowedServer, OwnerCandidate, RegionConstraint,
};
use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, encode_response, event_chunk, stream_head,
    zoned_servers::{is_stream, put_server, send, served, ROUTES, SERVICES},
    EntryProcess,
};
use serde_json::{json, Value};

/// The entry hosts are in zone depot, region south.
const ZONES: &str = "\n[zones]\nquay = north\nmill = north\nmoor = west\n";
/// Time until which a change of the charter or of a server is in force at a host.
const APPLY_TIME: Duration = Duration::from_millis(900);

fn only(regions: &[&str]) -> RegionConstraint {
    RegionConstraint::Only(regions.iter().map(|it| it.to_string()).collect())
}

/// Guards against a request whose refusal contradicts the servers that it may use, for random zones,
/// evacuations and constraints.
#[test]
fn refusal_means_no_allowed_server() {
    for seed in 0..2000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let zones: Vec<String> = (0..6).map(|it| format!("z{it}")).collect();
        let known = zones.iter().filter(|_| random.u8(..5) > 0).cloned();
        let region_by_zone: BTreeMap<String, String> =
            known.map(|it| (it, format!("r{}", fastrand::Rng::with_seed(seed).u8(..3)))).collect();
        let pick = |random: &mut fastrand::Rng| -> Vec<String> {
            zones.iter().filter(|_| random.u8(..3) == 0).cloned().collect()
        };
        let (evacuated, servers) = (pick(&mut random), pick(&mut random));
        let regions = match random.u8(..3) {
            0 => RegionConstraint::Any,
            1 => only(&["r0", "r1"]),
            _ => only(&["r2"]).intersection(&only(&["r0"])),
        };
        let is_known = random.u8(..8) > 0;
        let allowed =
            AllowedZones::new(&regions, &region_by_zone, is_known.then(|| evacuated.clone()));
        let refusal = allowed.refusal(&servers);
        let usable: Vec<&String> = servers.iter().filter(|it| allowed.allows(it)).collect();
        assert!(usable.is_empty() || refusal.is_none(), "seed {seed}: {refusal:?} {usable:?}");
        let is_plainly_missing = regions == RegionConstraint::Any && servers.is_empty() && is_known;
        assert_eq!(refusal.is_none(), !usable.is_empty() || is_plainly_missing, "seed {seed}");
        for zone in usable {
            assert!(!evacuated.contains(zone), "seed {seed}");
            assert!(regions.allows(region_by_zone.get(zone)), "seed {seed}");
        }
        if !is_known {
            assert_eq!(refusal, Some(NoAllowedServer::EvacuationsUnknown), "seed {seed}");
        }
    }
}

/// Guards against a constrained request that asks only owners without an allowed engine, as owners of its
/// own zone, or of zones without entry hosts, come first.
#[test]
fn owners_of_allowed_engines_are_asked() {
    for seed in 0..500 {
        let mut random = fastrand::Rng::with_seed(seed);
        let zone = |it: usize| format!("z{it}");
        let region_by_zone = (0..5).map(|it| (zone(it), format!("r{it}"))).collect();
        let engines: BTreeMap<String, String> = (0..random.usize(1..90))
            .map(|it| (format!("e{it}"), zone(random.usize(..5))))
            .collect();
        // The last zone has engines, and no entry host.
        let hosts: Vec<OwnerCandidate> = (0..random.usize(1..12))
            .map(|it| OwnerCandidate {
                host: format!("h{it}"),
                zone: zone(random.usize(..4)),
                processor_permille: 240,
            })
            .collect();
        let map = CellMap::new(&engines, &hosts);
        let regions = only(&[&format!("r{}", random.usize(..5)), "r4"]);
        let allowed = AllowedZones::new(&regions, &region_by_zone, Some(vec![zone(0)]));
        let asked = map.allowed_owners_to_ask(&zone(1), random.f64(), &allowed);
        let owns_allowed =
            |host: &String| map.engines_of(host).any(|it| allowed.allows(&engines[it]));
        assert!(asked.iter().all(owns_allowed), "seed {seed}");
        assert_eq!(asked.is_empty(), !hosts.iter().any(|it| owns_allowed(&it.host)), "seed {seed}");
        assert!(asked.len() <= 3, "seed {seed}: not more than others ask");
        let has_near = hosts.iter().any(|it| it.zone == zone(1) && owns_allowed(&it.host));
        let first = asked.first().and_then(|it| hosts.iter().find(|host| host.host == *it));
        assert_eq!(first.is_some_and(|it| it.zone == zone(1)), has_near, "seed {seed}");
    }
}

/// Returns the configuration whose routes and customer have these regions.
fn constrained(version: u64, route_regions: &[&str], customer_regions: &[&str]) -> Value {
    let mut changed = charter(version);
    for route in changed["routes"].as_array_mut().unwrap() {
        route["allowed-regions"] = json!(route_regions);
        route["goal-ms"] = json!(16_000);
    }
    changed["tenants"][0]["allowed-regions"] = json!(customer_regions);
    changed
}

fn start_host(store: &StoreStandin, id: &str) -> EntryProcess {
    let host = EntryProcess::start_with_bounds(store.address(), id, ZONES);
    host.wait_until_ready();
    host
}

/// Starts a server whose response to each request id fails the first time, at any server that shares
/// `seen`, in the way that the id names.
fn failing_server(seen: &Arc<Mutex<HashMap<String, u32>>>) -> ScriptedServer {
    let seen = seen.clone();
    let script = move |request: &RawRequest| {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let n_before = {
            let mut seen = seen.lock().unwrap();
            let count = seen.entry(id.clone()).or_default();
            *count += 1;
            *count - 1
        };
        match id.split('-').next() {
            Some("reset") if n_before == 0 => vec![Step::Reset],
            Some("refused") if n_before == 0 => {
                vec![Step::Send(encode_response(request, 503, "busy"))]
            }
            Some("silent") if n_before == 0 => vec![Step::Pause(Duration::from_secs(4))],
            Some("cut") if n_before == 0 && is_stream(request) => {
                let start = [stream_head(request), event_chunk(1)].concat();
                vec![Step::Send(start), Step::Pause(Duration::from_millis(50)), Step::Reset]
            }
            _ => served(request),
        }
    };
    ScriptedServer::start(script).unwrap()
}

/// Guards against any path to a server outside the regions: first and further attempts, resumed streams,
/// and successors of silent servers, while servers of the own zone and of an unknown one are idle.
#[test]
fn all_attempts_stay_in_regions() {
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", constrained(1, &["north", "west"], &["north"]));
    let seen = Arc::default();
    let allowed = [failing_server(&seen), failing_server(&seen)];
    let outside: Vec<ScriptedServer> =
        (0..3).map(|_| ScriptedServer::start(served).unwrap()).collect();
    for service in SERVICES {
        for (zone, server) in [("quay", &allowed[0]), ("mill", &allowed[1])] {
            put_server(&store, service, zone, server, 1);
        }
        // One in the region of the host, one that only the route allows, one in an unknown zone.
        for (zone, server) in ["depot", "moor", "nowhere"].into_iter().zip(&outside) {
            put_server(&store, service, zone, server, 1);
        }
    }
    let host = start_host(&store, "entry-1");
    for kind in ["sound", "refused", "cut", "reset", "silent"] {
        for route in ROUTES {
            let may_fail = route.1 == "/hold/1" && kind != "sound";
            // Until failures are forgotten that eject the only servers.
            let is_served = (0..if may_fail { 1 } else { 8 }).any(|attempt| {
                let id = format!("{kind}-{}-{attempt}", &route.1[1..5]);
                let is_served = send(&host, route, &id).status() == 200;
                thread::sleep(Duration::from_millis(if is_served { 0 } else { 500 }));
                is_served
            });
            assert!(is_served || may_fail, "{kind} {route:?} is not served");
        }
    }
    let n_outside: Vec<usize> = outside.iter().map(|it| it.requests().len()).collect();
    assert_eq!(n_outside, [0, 0, 0]);
    let n_allowed: Vec<usize> = allowed.iter().map(|it| it.requests().len()).collect();
    assert!(n_allowed.iter().all(|it| *it > 0), "{n_allowed:?}");
}

/// Guards against requests that wait although no server may ever take them, and against an answer that
/// doesn't say that they have not run or when to come again.
#[test]
fn request_without_allowed_server_is_refused() {
    let cases: [(&[&str], &[&str], &str); 3] = [
        (&["north"], &[], "no backend server in the allowed regions"),
        (&[], &["north"], "no backend server in the allowed regions"),
        (&["south"], &["north"], "no allowed region in common"),
    ];
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", constrained(1, &[], &[]));
    let server = ScriptedServer::start(served).unwrap();
    for service in SERVICES {
        put_server(&store, service, "depot", &server, 1);
    }
    let host = start_host(&store, "entry-1");
    for (number, (route_regions, customer_regions, message)) in cases.into_iter().enumerate() {
        store.put(
            "config",
            "main",
            constrained(number as u64 + 2, route_regions, customer_regions),
        );
        thread::sleep(APPLY_TIME);
        for route in ROUTES {
            let started = Instant::now();
            let text = send(&host, route, "refused").text();
            assert!(started.elapsed() < Duration::from_millis(400), "{:?}", started.elapsed());
            assert!(text.starts_with("HTTP/1.1 503") && text.contains(message), "{text}");
            assert!(
                text.contains("X-Verdict: not-run") && text.contains("Retry-After: "),
                "{text}"
            );
        }
    }
    assert_eq!(server.requests().len(), 0);
}

/// Guards against a request that waits under one charter and is sent, after another one, to a server that
/// either of them forbids.
#[test]
fn charter_change_binds_waiting_requests() {
    // The engine is full for longer than a refusal may take, or for less than the request may wait.
    let cases = [(["west"].as_slice(), 503, 1700), (&["north", "west"], 200, 800)];
    for (changed, expected, busy_ms) in cases {
        let store = StoreStandin::start().unwrap();
        store.put("config", "main", constrained(1, &["north"], &[]));
        let slow = move |request: &RawRequest| {
            [vec![Step::Pause(Duration::from_millis(busy_ms))], served(request)].concat()
        };
        let north = ScriptedServer::start(slow).unwrap();
        let west = ScriptedServer::start(served).unwrap();
        put_server(&store, "pool", "quay", &north, 1);
        put_server(&store, "pool", "moor", &west, 1);
        let host = start_host(&store, "entry-1");
        let draft = ROUTES[2];
        thread::scope(|scope| {
            // Those that fill the engine, whose owner has learned by now what runs there.
            thread::sleep(Duration::from_millis(500));
            for idx in 0..2 {
                let host = &host;
                scope.spawn(move || send(host, draft, &format!("running-{idx}")));
            }
            thread::sleep(Duration::from_millis(200));
            let waiting = scope.spawn(|| {
                let started = Instant::now();
                (send(&host, draft, "waiting").status(), started.elapsed())
            });
            thread::sleep(Duration::from_millis(100));
            assert_eq!(north.requests().len(), 2, "the third one waits");
            store.put("config", "main", constrained(2, changed, &[]));
            let (status, took) = waiting.join().unwrap();
            assert_eq!(status, expected, "{changed:?}");
            assert!(expected == 200 || took < APPLY_TIME, "{changed:?}: waited for {took:?}");
        });
        let is_waiting = |it: &RawRequest| it.header("x-request-id") == Some("waiting");
        assert!(!west.requests().iter().any(is_waiting), "{changed:?}: forbidden on arrival");
        assert_eq!(send(&host, draft, "later").status(), 200);
        assert!(expected == 200 || !west.requests().is_empty(), "the new charter is in force");
    }
}

/// Guards against a host that uses a forbidden engine by itself when the owner of the allowed one doesn't
/// answer.
#[test]
fn missing_owner_keeps_regions() {
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", constrained(1, &["north"], &[]));
    let [near, north] = [(); 2].map(|()| ScriptedServer::start(served).unwrap());
    put_server(&store, "pool", "depot", &near, 1);
    put_server(&store, "pool", "quay", &north, 1);
    // The one with the smallest id owns all engines, as all get the same processor time.
    let hosts = ["entry-1", "entry-2"].map(|it| start_host(&store, it));
    thread::sleep(Duration::from_millis(800));
    hosts[0].suspend();
    let suspended = Instant::now();
    let mut n_served = 0;
    while suspended.elapsed() < Duration::from_millis(1500) {
        n_served += u32::from(send(&hosts[1], ROUTES[2], "no-owner").status() == 200);
    }
    hosts[0].resume();
    let log = std::fs::read_to_string(hosts[1].log_path()).unwrap();
    assert!(log.contains("reserved without one"), "the owner was missing");
    assert!(n_served > 3, "{n_served} served");
    assert_eq!(near.requests().len(), 0);
}
