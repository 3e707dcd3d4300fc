//! Backend servers that are given up for others: what they hold must not be lost, mixed or started again
//! before another one has taken it over.

mod entry_process;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, encode_response, event_chunk, request, server_entry, stream_head, CallerResponse,
    Deployment, EntryProcess,
};
use socket2::{Domain, Socket, Type};

/// A silence after which a sound backend server goes on.
const SILENCE: Duration = Duration::from_millis(1300);
/// A silence of a sound engine after which another one is sought.
const LONG_SILENCE: Duration = Duration::from_millis(1800);
const END: &[u8] = b"0\r\n\r\n";
/// Length of a body that does not fit into the buffers of a connection that nobody reads.
const LONG_BODY_BYTES: usize = 4_000_000;

/// Guards against losing the response of a silent backend server as the one that was to replace it
/// refused the request.
#[test]
fn refusing_successor_loses_nothing() {
    let n_requests = Arc::new(AtomicU32::new(0));
    let script = move |request: &RawRequest| match n_requests.fetch_add(1, Ordering::Relaxed) {
        0 => vec![Step::Pause(SILENCE), Step::Send(encode_response(request, 200, "late"))],
        _ => vec![Step::Send(refusal(request))],
    };
    let servers = [(); 2].map(|()| ScriptedServer::start(script.clone()).unwrap());
    let deployment = Deployment::start("ledger", &[&servers[0], &servers[1]]);
    let response = deployment.entry.exchange(&request("GET", "/stock/1", "refused", ""));
    assert_eq!(response.status(), 200, "{}", response.text());
}

/// Guards against losing the stream of a silent engine as the one that was to replace it refused the
/// request.
#[test]
fn refusing_engine_loses_nothing() {
    let script = |request: &RawRequest| match request.header("last-event-id") {
        None => silent_stream(request),
        Some(_) => vec![Step::Send(refusal(request))],
    };
    let engines = [(); 2].map(|()| ScriptedServer::start(script).unwrap());
    let deployment = Deployment::start("pool", &[&engines[0], &engines[1]]);
    let response = deployment.entry.exchange(&draft("refused"));
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!(tokens(&response), [1, 2, 3]);
}

/// Guards against losing the stream of a silent engine as the one that was to replace it was away.
#[test]
fn absent_successor_loses_nothing() {
    let engine = ScriptedServer::start(silent_stream).unwrap();
    let entry = start_beside_absent("pool", engine.address());
    let response = entry.1.exchange(&draft("absent"));
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!(tokens(&response), [1, 2, 3]);
}

/// Guards against sending a second response inside the first one to a caller that reads slowly.
#[test]
fn slow_caller_gets_one_response() {
    let script = |request: &RawRequest| {
        vec![Step::Send(encode_response(request, 200, &"x".repeat(LONG_BODY_BYTES)))]
    };
    let servers = [(); 2].map(|()| ScriptedServer::start(script).unwrap());
    let deployment = Deployment::start("ledger", &[&servers[0], &servers[1]]);
    let mut caller = connect_with_small_buffer(deployment.entry.callers);
    caller.write_all(&request("GET", "/stock/1", "slow", "Connection: close\r\n")).unwrap();
    thread::sleep(Duration::from_millis(1000));
    let mut bytes = Vec::new();
    caller.read_to_end(&mut bytes).unwrap();
    let head_end = bytes.windows(4).position(|it| it == b"\r\n\r\n").unwrap() + 4;
    let n_heads = bytes.windows(8).filter(|it| it == b"HTTP/1.1").count();
    let n_sent: usize = servers.iter().map(|it| it.requests().len()).sum();
    let n_body_bytes = bytes.len() - head_end;
    assert_eq!((n_heads, n_body_bytes, n_sent), (1, LONG_BODY_BYTES, 1));
}

/// Guards against starting a request again while its response arrives.
#[test]
fn arriving_response_is_kept() {
    let script = |request: &RawRequest| {
        let response = encode_response(request, 200, "0123456789");
        let (begin, body) = response.split_at(response.len() - 10);
        let parts = body
            .iter()
            .flat_map(|it| [Step::Pause(Duration::from_millis(100)), Step::Send(vec![*it])]);
        [Step::Send(begin.to_vec())].into_iter().chain(parts).collect()
    };
    let servers = [(); 2].map(|()| ScriptedServer::start(script).unwrap());
    let deployment = Deployment::start("ledger", &[&servers[0], &servers[1]]);
    let response = deployment.entry.exchange(&request("GET", "/stock/1", "arriving", ""));
    assert_eq!(response.status(), 200, "{}", response.text());
    let n_sent: usize = servers.iter().map(|it| it.requests().len()).sum();
    assert_eq!(n_sent, 1);
}

/// Guards against sending more requests to an engine at which requests hang, as none can replace it.
#[test]
fn hung_engine_gets_no_more_requests() {
    let engine =
        ScriptedServer::start(|_: &RawRequest| vec![Step::Pause(Duration::from_secs(20))]).unwrap();
    let deployment = Deployment::start("pool", &[&engine]);
    let callers: Vec<_> = (0..4)
        .map(|number| deployment.entry.exchange_later(&draft(&format!("hung-{number}"))))
        .collect();
    thread::sleep(Duration::from_millis(2000));
    let sent = Instant::now();
    let response = deployment.entry.exchange(&draft("later"));
    let text = response.text();
    assert_eq!(response.status(), 503, "after {:?}: {text}", sent.elapsed());
    callers.into_iter().for_each(|it| drop(it.join().unwrap()));
}

/// Guards against cutting a broken stream while there is time to wait for an engine that can go on.
#[test]
fn broken_stream_waits_for_engine() {
    let script = |request: &RawRequest| {
        let rest = [event_chunk(2), END.to_vec()].concat();
        let begin = [stream_head(request), event_chunk(1)].concat();
        let resumed = [stream_head(request), rest.clone()].concat();
        match (request.header("x-request-id"), request.header("last-event-id")) {
            (Some("broken"), None) => {
                vec![Step::Send(begin), Step::Pause(Duration::from_millis(400)), Step::Reset]
            }
            (Some("broken"), _) => vec![Step::Send(resumed)],
            _ => {
                let pause = Step::Pause(Duration::from_millis(700));
                let middle = Step::Send(event_chunk(2));
                let end = [event_chunk(3), END.to_vec()].concat();
                vec![Step::Send(begin), pause.clone(), middle, pause, Step::Send(end)]
            }
        }
    };
    let engines = [(); 2].map(|()| ScriptedServer::start(script).unwrap());
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter(1));
    for (idx, engine) in engines.iter().enumerate() {
        let mut entry = server_entry("pool", engine.address(), "ready");
        entry["slots"] = serde_json::json!(1);
        store.put("servers", &format!("pool-{idx}"), entry);
    }
    let entry = EntryProcess::start(&store, "entry-1");
    entry.wait_until_ready();
    // The host admits requests to half of the slots until it knows what runs there.
    thread::sleep(Duration::from_millis(600));
    let callers = entry.exchange_in_turn(&["broken", "other"].map(draft));
    let responses: Vec<_> = callers.into_iter().map(|it| it.join().unwrap()).collect();
    assert!(responses[1].is_complete(), "{}", responses[1].text());
    assert!(responses[0].is_complete(), "{}", responses[0].text());
    assert_eq!(tokens(&responses[0]), [1, 2]);
}

/// Opens a connection of a caller that receives little before it reads.
fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&address.into()).unwrap();
    TcpStream::from(socket)
}

/// Starts an entry host in front of two backend servers, the second of which nobody listens for.
fn start_beside_absent(service: &str, address: SocketAddr) -> (StoreStandin, EntryProcess) {
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter(1));
    store.put("servers", &format!("{service}-0"), server_entry(service, address, "ready"));
    let absent = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    store.put("servers", &format!("{service}-1"), server_entry(service, absent, "ready"));
    let entry = EntryProcess::start(&store, "entry-1");
    entry.wait_until_ready();
    assert!(TcpStream::connect(absent).is_err());
    (store, entry)
}

/// The steps of an engine that is silent for `LONG_SILENCE` after the first event.
fn silent_stream(request: &RawRequest) -> Vec<Step> {
    let begin = [stream_head(request), event_chunk(1)].concat();
    let rest = [event_chunk(2), event_chunk(3), END.to_vec()].concat();
    vec![Step::Send(begin), Step::Pause(LONG_SILENCE), Step::Send(rest)]
}

/// Returns the response of a backend server that has no room for the request.
fn refusal(request: &RawRequest) -> Vec<u8> {
    let id = request.header("x-request-id").unwrap_or("");
    format!(
        "HTTP/1.1 503 x\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\nX-Server-Stamp: stamp-{id}\r\n\
         Content-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

fn draft(id: &str) -> Vec<u8> {
    request("POST", "/draft/1", id, "X-Model: lots\r\nX-Token-Counts: 200,20\r\n")
}

fn tokens(response: &CallerResponse) -> Vec<u32> {
    let text = response.text();
    let ids = text.lines().filter_map(|it| it.strip_prefix("id: "));
    ids.map(|it| it.trim().parse().unwrap()).collect()
}
