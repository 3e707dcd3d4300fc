//! Parts that can't be decoded, in bodies of many parts other than the store's, stop no other part.

use std::time::Duration;

use crocustiller::{
    net::HttpClient,
    objects::PlatformClient,
    platform::engine_api::{EngineApi, EngineError},
    request::Quarantine,
    runtime,
};
use crocustiller_standins::raw_http::{ScriptedServer, Step};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const FINGERPRINT: &str = "00000000000000000000000000000000000000000000000000000000000000";

/// Texts of values that no decoder of ours reads.
fn odd_values() -> Vec<String> {
    let nested = |it: usize| "[".repeat(it) + &"]".repeat(it);
    vec![nested(200), nested(100_000), "1e400".to_owned(), "7".repeat(400), "NaN".to_owned()]
}

/// Starts a server that answers every request with this body.
fn serve(body: String) -> ScriptedServer {
    let head = format!(
        "HTTP/1.1 200 x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    ScriptedServer::start(move |_| vec![Step::Send((head.clone() + &body).into_bytes())]).unwrap()
}

/// A member of an engine's report that is not needed can't hide the others; one that is needed can't
/// be replaced by a default.
#[test]
fn odd_member_hides_no_report() {
    for odd in odd_values() {
        let report = |odd_name: &str| {
            let server = serve(format!(
                r#"{{"{odd_name}":{odd},"busy":true,"sequence":7,"born":5,"running":2,"queued":1,
                "models":[{{"name":"lots","version":3}}],"layers":[{{"from":0,"target":4,"version":3}}]}}"#
            ));
            runtime::run_local(EngineApi::new(server.address()).read_report())
        };
        let read = report("temperature").unwrap();
        assert_eq!((read.is_busy, read.n_orders, read.started_ms), (true, 7, 5));
        assert_eq!((read.n_unfinished(), read.weights.len()), (3, 1));
    }
    for invalid in [r#"{"busy":true,"sequence":1e400}"#, r#"{"busy":true"#, "[]", ""] {
        let server = serve(invalid.to_owned());
        let res = runtime::run_local(EngineApi::new(server.address()).read_report());
        assert!(matches!(res, Err(EngineError::InvalidResponse(_))), "{res:?}");
    }
}

/// A number of a piece that can't be decoded, or is too great, hides no other and is not taken for one.
#[test]
fn odd_number_hides_no_piece() {
    for odd in odd_values() {
        let server = serve(format!(r#"{{"other":{odd},"held":[1,{odd},4294967297,"2",3]}}"#));
        let engine = EngineApi::new(server.address());
        let pieces = runtime::run_local(engine.list_staged_pieces("lots")).unwrap();
        assert_eq!(pieces, [1, 3], "{}", &odd[..3]);
    }
    let server = serve(r#"{"held":[1"#.to_owned());
    let res = runtime::run_local(EngineApi::new(server.address()).list_staged_pieces("lots"));
    assert!(matches!(res, Err(EngineError::InvalidResponse(_))), "{res:?}");
}

/// A host that can't be decoded hides no other in the list by which a process joins.
#[test]
fn odd_host_hides_no_other() {
    for odd in odd_values() {
        let server = serve(format!(
            r#"{{"hosts":[{{"host":"a","peer_address":"127.0.0.1:1"}},{odd},
            {{"host":"b","peer_address":{odd}}},{{"host":"c","peer_address":"127.0.0.1:99999"}},
            {{"host":"d","peer_address":"127.0.0.1:4","other":{odd}}}]}}"#
        ));
        let address = server.address();
        let hosts = runtime::run_until(async move {
            PlatformClient::new(vec![address], CALL_TIMEOUT, HttpClient::new()).hosts().await
        });
        let names: Vec<String> = hosts.unwrap().into_iter().map(|it| it.host).collect();
        assert_eq!(names[0], "a");
        assert!(names == ["a"] || names == ["a", "d"], "{names:?}");
    }
}

/// An entry of the quarantine that can't be decoded hides no other, and a document without a number
/// is none.
#[test]
fn odd_entry_clears_no_quarantine() {
    for odd in odd_values() {
        let text = format!(
            r#"{{"number":6,"entries":[{{"fingerprint":"{FINGERPRINT}01","hosts":["a","b"]}},{odd},
            {{"fingerprint":{odd},"hosts":[]}},{{"fingerprint":"{FINGERPRINT}02","hosts":["a"]}}]}}"#
        );
        let quarantine = Quarantine::parse(text.as_bytes()).unwrap();
        assert_eq!((quarantine.number, quarantine.entries.len()), (6, 2));
    }
    assert!(Quarantine::parse(b"{\"entries\":[]}").is_none());
    assert!(Quarantine::parse(b"{\"number\":6,\"entries\":[").is_none());
}
