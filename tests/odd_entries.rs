//! Entries of the store that can't be decoded stop nothing but themselves.

mod entry_process;

use std::{
    thread,
    time::{Duration, Instant},
};

use crocustiller::{
    fleet::KindCache,
    platform::{
        store::{Change, Changes, Listing, Store, StoreError, StoredObject},
        StorePoint,
    },
    runtime,
};
use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreFault};
use entry_process::{charter, complete_response, request, server_entry, Deployment, EntryProcess};
use serde_json::{json, Value};

/// Time within which a change of a sound entry must be in force.
const CHANGE_LIMIT: Duration = Duration::from_secs(4);
/// Time after which a change of a server is in force at a host on a busy machine.
const APPLY_TIME: Duration = Duration::from_millis(600);
/// Time that a server takes to respond.
const RESPONSE_TIME: Duration = Duration::from_millis(150);
/// The kinds that an entry host follows.
const KINDS: [&str; 4] = ["servers", "config", "versions", "entry-hosts"];

/// A host that runs and one that starts meanwhile serve and follow while each kind has an odd entry,
/// first and last in its list.
#[test]
fn odd_entry_hides_no_other() {
    for (odd, value) in odd_values() {
        let [first, second] =
            ["first", "second"].map(|it| ScriptedServer::start(complete_response(it)).unwrap());
        let Deployment { store, entry } = Deployment::start("ledger", &[&first]);
        for kind in KINDS {
            for name in ["a-odd", "z-odd"] {
                store.put_text(kind, name, &odd_spec(&value));
            }
        }
        let late = EntryProcess::start(&store, "entry-2");
        late.wait_until_ready();
        let hosts = [&entry, &late];
        for host in hosts {
            wait_for(host, "first", &format!("{odd}: does not serve"));
        }
        store.put("servers", "ledger-1", server_entry("ledger", second.address(), "ready"));
        store.remove("servers", "ledger-0");
        for host in hosts {
            wait_for(host, "second", &format!("{odd}: does not follow the servers"));
        }
        let mut revoked = charter(2);
        revoked["tenants"][0]["api-keys"] = json!([]);
        store.put("config", "main", revoked);
        for host in hosts {
            wait_for(host, "HTTP/1.1 401", &format!("{odd}: does not follow the configuration"));
        }
        check_said_once(&entry, &odd);
    }
}

/// Hosts that the store refuses follow through another one while odd entries stand there.
#[test]
fn odd_entry_is_relayed() {
    let [first, second] =
        ["first", "second"].map(|it| ScriptedServer::start(complete_response(it)).unwrap());
    let Deployment { store, entry } = Deployment::start("ledger", &[&first]);
    let endpoint = store.open_endpoint().unwrap();
    let start = |id: &str| {
        let host = EntryProcess::start_with_store(endpoint.address(), id);
        host.wait_until_ready();
        host
    };
    let hosts = [start("entry-2"), start("entry-3")];
    // Time for the beacons of all.
    thread::sleep(Duration::from_millis(1500));
    endpoint.set_fault(StoreFault::Reset);
    for (number, (_, value)) in odd_values().into_iter().enumerate() {
        for kind in KINDS {
            store.put_text(kind, &format!("a-odd-{number}"), &odd_spec(&value));
        }
    }
    // Until the watches end and the hosts list at the other one.
    thread::sleep(Duration::from_millis(1500));
    store.put("servers", "ledger-1", server_entry("ledger", second.address(), "ready"));
    store.remove("servers", "ledger-0");
    for host in hosts.iter().chain([&entry]) {
        wait_for(host, "second", "does not follow the servers");
    }
    let mut revoked = charter(2);
    revoked["tenants"][0]["api-keys"] = json!([]);
    store.put("config", "main", revoked);
    for host in hosts.iter().chain([&entry]) {
        wait_for(host, "HTTP/1.1 401", "does not follow the configuration");
    }
    let relay = Store::of_relay(entry.peers);
    let listing = runtime::run_local(relay.list("servers")).unwrap();
    let odd = listing.objects.iter().filter(|it| it.metadata.name.starts_with("a-odd"));
    assert!(odd.clone().all(|it| it.spec.is_null()));
    assert_eq!(odd.count(), odd_values().len());
}

/// An entry that becomes odd names no server to use until a sound one takes its place, whatever state
/// it tells; its removal is seen too. Requests that run go on.
#[test]
fn odd_entry_replaces_sound_one() {
    let wrong_type = ("a wrong type".to_owned(), b"1".to_vec());
    thread::scope(|scope| {
        for (odd, value) in odd_values().into_iter().chain([wrong_type]) {
            scope.spawn(move || check_replaced(&odd, &value));
        }
    });
}

/// Checks that a sound entry is no longer used when one with this value takes its place.
fn check_replaced(odd: &str, value: &[u8]) {
    let [first, second] =
        ["first", "second"].map(|it| ScriptedServer::start(slow_response(it)).unwrap());
    let Deployment { store, entry } = Deployment::start("ledger", &[&first, &second]);
    let sound = server_entry("ledger", first.address(), "ready");
    for state in ["ready", "draining"] {
        store.put("servers", "ledger-0", sound.clone());
        wait_for(&entry, "first", &format!("{odd}: a sound entry isn't used"));
        let spec = server_entry("ledger", first.address(), state).to_string();
        let rest = spec.replace("\"zone\":\"depot\"", "\"other\":0");
        let odd_spec = [b"{\"zone\":", value, b",", &rest.as_bytes()[1..]].concat();
        thread::scope(|scope| {
            let running = (0..8).map(|_| scope.spawn(|| status(&entry)));
            let running: Vec<_> = running.collect();
            thread::sleep(RESPONSE_TIME / 3);
            store.put_text("servers", "ledger-0", &odd_spec);
            running.into_iter().for_each(|it| assert_eq!(it.join().unwrap(), 200, "{odd}"));
        });
        thread::sleep(APPLY_TIME);
        let n_before = first.requests().len();
        (0..6).for_each(|_| assert_eq!(status(&entry), 200, "{odd}"));
        assert_eq!(first.requests().len(), n_before, "{odd}: used by an odd entry");
    }
    store.remove("servers", "ledger-0");
    store.put("servers", "ledger-0", sound);
    wait_for(&entry, "first", &format!("{odd}: not used after a removal"));
}

/// A removal whose object has no name, or a change that may be one, is told by a list.
#[test]
fn removal_without_name_lists_again() {
    let watch = |event: &str| {
        let body = format!("{{\"events\":[{event}],\"at\":9}}");
        let head = format!("HTTP/1.1 200 x\r\nContent-Length: {}\r\n\r\n", body.len());
        let server =
            ScriptedServer::start(move |_| vec![Step::Send((head.clone() + &body).into())]);
        let store = Store::new(server.unwrap().address());
        let at = StorePoint { generation: 1, revision: 1 };
        runtime::run_local(store.watch("servers", at, Duration::ZERO))
    };
    for event in [
        r#"{"object":{"metadata":{"name":3,"revision":2}},"deleted":true}"#,
        r#"{"object":{"metadata":{"name":"a","revision":2}},"deleted":1e400}"#,
        r#"{"deleted":true}"#,
        "7",
    ] {
        let res = watch(event);
        assert!(matches!(res, Err(StoreError::HistoryLost)), "{event}: {res:?}");
    }
    let nameless = watch(r#"{"object":{},"deleted":false}"#).unwrap();
    assert_eq!((nameless.events, nameless.at.revision), (Vec::new(), 9));
    let removal = r#"{"object":{"metadata":{"name":"a","revision":2},"spec":NaN},"deleted":true}"#;
    let changes = watch(removal).unwrap();
    assert!(changes.events[0].deleted);
    assert_eq!(changes.events[0].object.metadata.name, "a");
}

/// A configuration that becomes odd stays in force, and a host that starts through another one learns
/// it.
#[test]
fn odd_charter_keeps_the_last_one() {
    let cache = KindCache::default();
    let at = |revision| StorePoint { generation: 1, revision };
    let object = |revision: u64, spec: Value| -> StoredObject {
        let metadata = json!({ "name": "main", "revision": revision });
        serde_json::from_value(json!({ "metadata": metadata, "spec": spec })).unwrap()
    };
    let listing =
        |revision, spec| Listing { objects: vec![object(revision, spec)], at: at(revision) };
    let specs = || -> Vec<Value> {
        cache.listing("config").unwrap().objects.into_iter().map(|it| it.spec).collect()
    };
    let changed = |revision: u64, spec: Value, deleted: bool| {
        let events = vec![Change { object: object(revision, spec), deleted }];
        cache.apply("config", &Changes { events, at: at(revision), max_age: Duration::ZERO });
    };
    let sound = |number: u64| json!({ "version": number });
    cache.replace("config", &listing(1, sound(4)));
    changed(2, Value::Null, false);
    assert_eq!(specs(), [sound(4)], "after a change");
    cache.replace("config", &listing(3, Value::Null));
    cache.replace("config", &listing(4, Value::Null));
    assert_eq!(specs(), [sound(4)], "after two lists");
    cache.replace("config", &listing(5, sound(3)));
    assert_eq!(specs(), [sound(3)], "a list of the same generation is complete");
    changed(6, Value::Null, false);
    changed(7, Value::Null, true);
    assert!(specs().is_empty(), "after the removal");
    changed(8, sound(5), false);
    cache.replace("config", &listing(9, Value::Null));
    assert_eq!(specs(), [sound(5)], "after another list");
    cache.replace("config", &Listing { objects: Vec::new(), at: at(10) });
    assert!(specs().is_empty(), "after a list without it");
}

/// An entry without a name stands last in a page, and names have characters that no target may have.
#[test]
fn odd_last_entry_ends_no_list() {
    let pages = [
        ("", r#"{"items":[{"metadata":{"name":"a b","revision":1}},{}],"more":true,"at":9}"#),
        (
            "?after=a%20b",
            r#"{"items":[{"metadata":{"name":"c&%\r\n","revision":2}},7],"more":true,"at":9}"#,
        ),
        ("?after=c%26%25%0D%0A", r#"{"items":[{"metadata":{"name":"d","revision":3}}],"at":9}"#),
    ];
    let names = list_names(move |query| pages.iter().find(|it| it.0 == query).map(|it| it.1));
    assert_eq!(names, ["a b", "c&%\r\n", "d"]);
}

/// No entry of a page after the first has a name, so that there is no way on.
#[test]
fn pages_without_names_end() {
    let names = list_names(|query| match query {
        "" => Some(r#"{"items":[{"metadata":{"name":"a","revision":1}}],"more":true,"at":9}"#),
        "?after=a" => Some(r#"{"items":[{},{"metadata":{"name":3}}],"more":true,"at":9}"#),
        _ => None,
    });
    assert_eq!(names, ["a"]);
    // The store sends the same page again and again.
    let page = r#"{"items":[{"metadata":{"name":"a","revision":1}}],"more":true,"at":9}"#;
    assert_eq!(list_names(move |_| Some(page)), ["a", "a"]);
}

/// Lists the names in a store that answers each query with this page, or with status 400.
fn list_names(page: impl Fn(&str) -> Option<&'static str> + Send + Sync + 'static) -> Vec<String> {
    let server = ScriptedServer::start(move |request: &RawRequest| {
        let query = request.target.strip_prefix("/v1/objects/servers").unwrap();
        let (status, body) = page(query).map_or((400, ""), |it| (200, it));
        let head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n", body.len());
        vec![Step::Send((head + body).into_bytes())]
    });
    let store = Store::new(server.unwrap().address());
    let listing = runtime::run_local(store.list("servers")).unwrap();
    listing.objects.into_iter().map(|it| it.metadata.name).collect()
}

/// Values that no decoder of ours reads, with a name for each.
fn odd_values() -> Vec<(String, Vec<u8>)> {
    let nested = |depth: usize| [b"[".repeat(depth), b"]".repeat(depth)].concat();
    let values: [(&str, Vec<u8>); 8] = [
        ("nested 200 deep", nested(200)),
        ("nested 100,000 deep", nested(100_000)),
        ("1e400", b"1e400".to_vec()),
        ("400 digits", b"7".repeat(400)),
        ("no UTF-8", b"\"\xff\xc0\"".to_vec()),
        ("control characters", b"\"\x00\x1f\n\"".to_vec()),
        ("no number", b"NaN".to_vec()),
        ("half a surrogate pair", b"\"\\ud800\"".to_vec()),
    ];
    values.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

/// Returns the text of a server's entry in which a member has this value.
fn odd_spec(value: &[u8]) -> Vec<u8> {
    let address = "127.0.0.1:9".parse().unwrap();
    let sound = server_entry("ledger", address, "ready").to_string();
    [b"{\"odd\":", value, b",", &sound.as_bytes()[1..]].concat()
}

/// Returns a script that sends a complete response after a time.
fn slow_response(body: &'static str) -> impl Fn(&RawRequest) -> Vec<Step> {
    let respond = complete_response(body);
    move |request| [vec![Step::Pause(RESPONSE_TIME)], respond(request)].concat()
}

fn status(host: &EntryProcess) -> u16 {
    host.exchange(&request("GET", "/stock/x", "odd", "")).status()
}

fn wait_for(host: &EntryProcess, expected: &str, failure: &str) {
    let since = Instant::now();
    loop {
        let response = host.exchange(&request("GET", "/stock/x", "odd", ""));
        if response.text().contains(expected) {
            return;
        }
        assert!(since.elapsed() < CHANGE_LIMIT, "{failure}: {}", response.text());
        thread::sleep(Duration::from_millis(20));
    }
}

/// Checks that the log names each odd entry, and none twice.
fn check_said_once(host: &EntryProcess, odd: &str) {
    let log = std::fs::read_to_string(host.log_path()).unwrap();
    for kind in KINDS {
        for name in ["a-odd", "z-odd"] {
            let fields = format!("kind={kind} name={name} ");
            assert_eq!(log.matches(&fields).count(), 1, "{odd}: {fields}\n{log}");
        }
    }
}
