//! Entry hosts that own engines and fall silent for a moment.

mod entry_process;

use std::{thread, time::Duration};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{charter, event_chunk, request, server_entry, stream_head, EntryProcess};

const END: &[u8] = b"0\r\n\r\n";

/// Guards against cutting a broken stream, which an engine with free slots could go on with, because
/// the owner of that engine is silent for a moment.
#[test]
fn broken_stream_waits_for_owner() {
    let engines = [(); 2].map(|()| ScriptedServer::start(script).unwrap());
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter(1));
    for (idx, engine) in engines.iter().enumerate() {
        let entry = server_entry("pool", engine.address(), "ready");
        store.put("servers", &format!("pool-{idx}"), entry);
    }
    let [owner, entry] = ["entry-1", "entry-2"].map(|it| EntryProcess::start(&store, it));
    owner.wait_until_ready();
    entry.wait_until_ready();
    thread::sleep(Duration::from_millis(800));
    let callers = entry.exchange_in_turn(&["broken", "other"].map(draft));
    owner.suspend();
    thread::sleep(Duration::from_millis(700));
    owner.resume();
    let responses: Vec<_> = callers.into_iter().map(|it| it.join().unwrap()).collect();
    let log = std::fs::read_to_string(entry.log_path()).unwrap();
    assert!(responses[1].is_complete(), "{}\n{log}", responses[1].text());
    assert!(responses[0].is_complete(), "{}\n{log}", responses[0].text());
}

/// The steps of an engine that breaks the stream `broken` once, and sends others slowly.
fn script(request: &RawRequest) -> Vec<Step> {
    let begin = Step::Send([stream_head(request), event_chunk(1)].concat());
    let pause = Step::Pause(Duration::from_millis(500));
    match (request.header("x-request-id"), request.header("last-event-id")) {
        (Some("broken"), None) => vec![begin, pause, Step::Reset],
        (Some("broken"), _) => {
            let end = [stream_head(request), event_chunk(2), END.to_vec()].concat();
            vec![Step::Send(end)]
        }
        _ => {
            let next = |number| [pause.clone(), Step::Send(event_chunk(number))];
            let end = vec![Step::Send(END.to_vec())];
            [vec![begin], next(2).into(), next(3).into(), next(4).into(), end].concat()
        }
    }
}

fn draft(id: &str) -> Vec<u8> {
    request("POST", "/draft/1", id, "X-Model: lots\r\nX-Token-Counts: 200,20\r\n")
}
