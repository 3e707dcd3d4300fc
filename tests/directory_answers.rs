//! The directory names the entry hosts that suit a caller, and none that is gone.

mod entry_process;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crocustiller::{
    fleet::{Beacon, CallerLocation, DocumentNumbers, EntryState, PeerTable},
    platform::{
        store::{Metadata, StoredObject},
        wire_config,
    },
    routing::RoutingCharter,
};
use crocustiller_standins::raw_http::StoreStandin;
use entry_process::{charter, EntryProcess, HOST};
use serde_json::{json, Value};

/// Returns the beacon of a host in the zone `zone` of the region `r-zone`, at an address with this port.
fn beacon(host: &str, zone: &str, port: u16, started_ms: u64) -> Beacon {
    Beacon {
        host: host.to_owned(),
        started_ms,
        number: 1,
        interval_ms: 100,
        state: EntryState::Ready,
        callers: SocketAddr::from(([10, 0, 0, 1], port)),
        peers: SocketAddr::from(([10, 0, 0, 2], port)),
        processor_permille: 250,
        follows_store: true,
        documents: DocumentNumbers::default(),
        region: format!("r-{}", &zone[..1]),
        zone: zone.to_owned(),
        quarantined: Vec::new(),
        suspected: Vec::new(),
    }
}

/// Returns the configuration whose routes have these lists of regions.
fn with_regions(regions: &[&[&str]]) -> Value {
    let mut changed = charter(1);
    let route = changed["routes"][0].clone();
    changed["routes"] = regions
        .iter()
        .enumerate()
        .map(|(idx, it)| {
            let mut route = route.clone();
            route["path-prefix"] = json!(format!("/{idx}/"));
            route["allowed-regions"] = json!(it);
            route
        })
        .collect();
    changed
}

fn decoded(config: Value) -> RoutingCharter {
    let metadata = Metadata { name: "main".to_owned(), revision: 1 };
    wire_config::decode_config(&StoredObject { metadata, spec: config }).unwrap().unwrap()
}

/// Guards against callers of constrained routes who are sent to entry hosts in regions that these routes
/// don't allow, though others are known.
#[test]
fn answers_prefer_allowed_regions() {
    let now = Instant::now();
    let own = beacon("own", "a1", 1, 1);
    let mut peers = PeerTable::default();
    for (port, zone) in (2..).zip(["a2", "b1", "c1", "c2"]) {
        peers.record_beacon(beacon(zone, zone, port, 1), now);
    }
    let both: &[&str] = &["r-b", "r-c"];
    // Zone and region of the caller, regions of the routes, ports of the answer.
    type Case<'a> = (&'a str, &'a str, &'a [&'a [&'a str]], &'a [u16]);
    let cases: [Case<'_>; 9] = [
        ("a2", "r-a", &[&["r-b"]], &[2]),
        ("a9", "r-a", &[&["r-b"]], &[1, 2]),
        ("x1", "r-x", &[&["r-b"]], &[3]),
        ("x1", "r-x", &[both, &["r-c"]], &[4, 5]),
        ("x1", "r-x", &[both, &[]], &[3, 4, 5]),
        ("x1", "r-x", &[&["r-b"], &["r-c"]], &[3, 4, 5]),
        ("x1", "r-x", &[&["r-z"]], &[1, 2, 3, 4, 5]),
        ("x1", "r-x", &[&[]], &[1, 2, 3, 4, 5]),
        ("x1", "r-x", &[], &[1, 2, 3, 4, 5]),
    ];
    for (zone, region, regions, expected) in cases {
        let charter = decoded(with_regions(regions));
        for name in [HOST.to_owned(), format!("{}:80", HOST.to_uppercase())] {
            let preferred = charter.preferred_regions(&name);
            let caller = CallerLocation { region, zone };
            let addresses = peers.addresses(&own, caller, &preferred, now);
            let mut ports: Vec<u16> = addresses.iter().map(SocketAddr::port).collect();
            ports.sort();
            assert_eq!(ports, expected, "{zone} {regions:?}");
        }
        let unknown = charter.preferred_regions("other.example");
        assert!(unknown.is_empty());
    }
}

/// Guards against two addresses of one machine, or that of a host that is gone: an earlier start at an
/// address is named no more, in whatever order the beacons arrive, and however long they were unread.
#[test]
fn gone_hosts_are_not_named() {
    let anywhere = CallerLocation { region: "r-x", zone: "x1" };
    for seed in 0..2000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let start = Instant::now() + Duration::from_secs(100);
        let own = beacon("own", "a1", 1, 500);
        let mut peers = PeerTable::default();
        // The starts at each address, one host id each; each sends until the next one begins.
        let mut newest = [0; 4];
        for step in 1..60_u64 {
            let now = start + Duration::from_millis(100 * step);
            for (idx, newest) in newest.iter_mut().enumerate() {
                if random.u8(..10) == 0 {
                    *newest = step;
                }
                let mut send = |started: u64, delay: Duration| {
                    let id = format!("h{idx}-{started}");
                    let sent = Beacon {
                        number: if started == *newest { step } else { started },
                        ..beacon(&id, "b1", idx as u16 + 1, 1000 + started)
                    };
                    peers.record_delayed_beacon(sent, delay, now);
                };
                send(*newest, Duration::ZERO);
                // A late one of an earlier start.
                if *newest > 0 && random.bool() {
                    send(random.u64(..*newest), Duration::ZERO);
                }
            }
            let addresses = peers.addresses(&own, anywhere, &[], now);
            let mut ports: Vec<u16> = addresses.iter().map(SocketAddr::port).collect();
            ports.sort();
            assert_eq!(ports, [1, 2, 3, 4], "seed {seed}: each address once");
            let later = now + Duration::from_millis(1100);
            assert_eq!(peers.addresses(&own, anywhere, &[], later), [own.callers], "seed {seed}");
        }
        // What waited unread for long doesn't bring back a host that is gone.
        let resumed = start + Duration::from_secs(60);
        let waited = Beacon { number: 1000, ..beacon("late", "b1", 9, 2000) };
        peers.record_delayed_beacon(waited, Duration::from_secs(50), resumed);
        assert_eq!(peers.addresses(&own, anywhere, &[], resumed), [own.callers], "seed {seed}");
    }
}

/// Guards against a host that is named no more because its clock was set back before it started again.
#[test]
fn clock_set_back_hides_no_host() {
    let now = Instant::now();
    let anywhere = CallerLocation { region: "r-x", zone: "x1" };
    let own = Beacon { state: EntryState::Leaving, ..beacon("own", "a1", 1, 1) };
    let mut peers = PeerTable::default();
    peers.record_beacon(Beacon { number: 50, ..beacon("h", "b1", 2, 9000) }, now);
    let again = now + Duration::from_secs(3);
    assert!(peers.addresses(&own, anywhere, &[], again).is_empty());
    peers.record_beacon(beacon("h", "b1", 2, 4000), again);
    assert_eq!(peers.addresses(&own, anywhere, &[], again).len(), 1);
}

/// Guards against a query whose host name is ignored, or that fails without one.
#[test]
fn query_names_host() {
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", with_regions(&[&["north"]]));
    let start = |id: &str| {
        let host = EntryProcess::start(&store, id);
        host.wait_until_ready();
        host
    };
    let host = start("entry-1");
    for query in [format!("?name={HOST}&region=x&zone=y"), "?name=%ff".to_owned(), String::new()] {
        let mut stream = TcpStream::connect(host.directory).unwrap();
        let head =
            format!("GET /v1/resolve{query} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let expected = format!("\"addresses\":[\"{}\"]", host.callers);
        assert!(text.starts_with("HTTP/1.1 200") && text.contains(&expected), "{query}: {text}");
    }
}
