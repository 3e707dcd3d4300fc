//! Entries of the store that can't be decoded stop nothing but themselves.

mod entry_process;

use std::{
    thread,
    time::{Duration, Instant},
};

use crocustiller::{platform::store::Store, runtime};
use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step};
use entry_process::{charter, complete_response, request, server_entry, Deployment, EntryProcess};
use serde_json::json;

/// Time within which a change of a sound entry must be in force.
const CHANGE_LIMIT: Duration = Duration::from_secs(4);
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
