//! Backend servers that fall silent for a moment and then go on: nothing that they hold is given up
//! for their silence alone.

mod entry_process;

use std::time::Duration;

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step};
use entry_process::{
    charter, encode_response, event_chunk, pausing_server::start_pool, request, stream_head,
    CallerResponse, Deployment,
};

/// A silence after which a sound backend server goes on.
const SILENCE: Duration = Duration::from_millis(1300);
const END: &[u8] = b"0\r\n\r\n";

/// Guards against cutting the streams of an engine that was silent for a moment while no other engine
/// had capacity.
#[test]
fn silent_stream_goes_on() {
    let engine = ScriptedServer::start(silent_stream(SILENCE)).unwrap();
    let deployment = Deployment::start("pool", &[&engine]);
    let response = deployment.entry.exchange(&draft("silent"));
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!(tokens(&response), [1, 2, 3]);
    assert_eq!(engine.requests().len(), 1);
}

/// The same with all streams of an engine at once, more than another engine could take over.
#[test]
fn silent_engine_keeps_all_streams() {
    let engine = ScriptedServer::start(silent_stream(Duration::from_millis(1800))).unwrap();
    let deployment = start_pool(charter(1), &[(&engine, 16)]);
    let callers: Vec<_> = (0..12)
        .map(|number| deployment.entry.exchange_later(&draft(&format!("silent-{number}"))))
        .collect();
    for caller in callers {
        let response = caller.join().unwrap();
        assert!(response.is_complete(), "{}", response.text());
        assert_eq!(tokens(&response), [1, 2, 3]);
    }
}

/// Guards against running a stream again elsewhere because its engine was silent for a moment.
#[test]
fn short_silence_starts_nothing_again() {
    let engines = [(); 2].map(|()| ScriptedServer::start(silent_stream(SILENCE)).unwrap());
    let deployment = Deployment::start("pool", &[&engines[0], &engines[1]]);
    let response = deployment.entry.exchange(&draft("silent"));
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!(tokens(&response), [1, 2, 3]);
    let n_sent: usize = engines.iter().map(|it| it.requests().len()).sum();
    assert_eq!(n_sent, 1);
}

/// Guards against giving up a request at a silent backend server that no other one can replace.
#[test]
fn silent_service_responds() {
    let ledger = ScriptedServer::start(|request: &RawRequest| {
        vec![Step::Pause(SILENCE), Step::Send(encode_response(request, 200, "late"))]
    })
    .unwrap();
    let deployment = Deployment::start("ledger", &[&ledger]);
    let response = deployment.entry.exchange(&request("GET", "/stock/1", "silent", ""));
    assert_eq!(response.status(), 200, "{}", response.text());
    assert_eq!(ledger.requests().len(), 1);
}

/// An engine that stays silent is replaced as soon as another one has capacity.
#[test]
fn hung_stream_resumes_elsewhere() {
    let script = |request: &RawRequest| {
        let mut bytes = stream_head(request);
        if request.header("last-event-id").is_none() {
            bytes.extend(event_chunk(1));
            return vec![Step::Send(bytes), Step::Pause(Duration::from_secs(20))];
        }
        bytes.extend([event_chunk(2), END.to_vec()].concat());
        vec![Step::Send(bytes)]
    };
    let engines = [(); 2].map(|()| ScriptedServer::start(script).unwrap());
    let deployment = Deployment::start("pool", &[&engines[0], &engines[1]]);
    let response = deployment.entry.exchange(&draft("hung"));
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!(tokens(&response), [1, 2]);
}

/// Returns the script of an engine that is silent for `silence` after the first event.
fn silent_stream(silence: Duration) -> impl Fn(&RawRequest) -> Vec<Step> {
    move |request| {
        let begin = [stream_head(request), event_chunk(1)].concat();
        let rest = [event_chunk(2), event_chunk(3), END.to_vec()].concat();
        vec![Step::Send(begin), Step::Pause(silence), Step::Send(rest)]
    }
}

fn draft(id: &str) -> Vec<u8> {
    request("POST", "/draft/1", id, "X-Model: lots\r\nX-Token-Counts: 200,20\r\n")
}

fn tokens(response: &CallerResponse) -> Vec<u32> {
    let text = response.text();
    let ids = text.lines().filter_map(|it| it.strip_prefix("id: "));
    ids.map(|it| it.trim().parse().unwrap()).collect()
}
