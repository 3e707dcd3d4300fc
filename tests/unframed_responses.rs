//! Responses with neither a length nor chunks, which end when the connection is closed.

mod entry_process;

use std::{
    collections::BTreeSet,
    io::Write,
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use crocustiller::{
    http1::{BodyLength, BodyReader, Connection, HttpError, RequestHead},
    memory::{BufferSender, Buffers},
    relay::{Attempt, AttemptError, BackendConnections},
    runtime,
};
use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step};
use entry_process::{
    encode_response, event_chunk, read_response, request, stream_head, CallerResponse, Deployment,
};

/// Time in which a relay reads what was sent before the connection ends.
const READ_TIME: Duration = Duration::from_millis(4);
const EVENT: &str = "id: 1\ndata: token-1\n\n";
/// Ids of the events of a whole stream.
const ALL: [u32; 2] = [1, 2];

#[test]
fn whole_response_is_complete() {
    let ledger =
        ScriptedServer::start(|request| vec![Step::Send(unframed_response(request)), Step::Close]);
    let deployment = Deployment::start("ledger", &[&ledger.unwrap()]);
    let mut caller = deployment.entry.connect();
    for number in 0..3 {
        caller.write_all(&request("GET", "/stock/1", &format!("whole-{number}"), "")).unwrap();
        let response = read_response(&mut caller);
        assert!(response.is_complete(), "{}", response.text());
        assert!(response.text().contains("Content-Length: 12\r\n"), "{}", response.text());
        assert!(response.text().ends_with("twelve bytes"), "{}", response.text());
    }
}

/// The caller's connection stays open, the engine's is not reused.
#[test]
fn whole_stream_is_complete() {
    let engine = ScriptedServer::start(|request| {
        vec![Step::Send(unframed_head(request)), Step::Send(events(1)), Step::Close]
    });
    let deployment = Deployment::start("pool", &[&engine.unwrap()]);
    let mut caller = deployment.entry.connect();
    for number in 0..3 {
        caller.write_all(&stream_request(&format!("whole-{number}"))).unwrap();
        let response = read_response(&mut caller);
        assert!(response.is_complete(), "{}", response.text());
        assert!(response.text().contains("Transfer-Encoding: chunked\r\n"), "{}", response.text());
        assert_eq!(tokens(&response), ALL);
    }
}

#[test]
fn reset_response_is_incomplete() {
    for (framing, n_bytes) in [("unframed", 12), ("length", 12), ("chunks", 22)] {
        check_every_cut(framing, n_bytes, Step::Reset, true);
    }
}

/// Only a response without length and chunks may end by a close.
#[test]
fn closed_response_is_incomplete() {
    for (framing, n_bytes) in [("length", 12), ("chunks", 22)] {
        check_every_cut(framing, n_bytes, Step::Close, false);
    }
}

/// A reset that a write learns of first is still a reset for the reader.
#[test]
fn reset_seen_by_writer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    runtime::run_local(async {
        let mut connection = Connection::open(address, Duration::from_secs(1)).await.unwrap();
        let (mut stream, _) = listener.accept().unwrap();
        stream.write_all(b"half of a resp").unwrap();
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        drop(stream);
        std::thread::sleep(Duration::from_millis(50));
        assert!(connection.write(b"rest of a request").await.is_err());
        let mut reader = BodyReader::new(BodyLength::UntilClose);
        let res = reader.read_all(&mut connection, 1000).await;
        assert!(res.is_err(), "{:?}", res.map(String::from_utf8));
    });
}

/// A stream that ends inside an event goes on after the last whole event at another engine.
#[test]
fn stream_cut_inside_event() {
    for n_bytes in 0..=2 * EVENT.len() {
        let cut = move |request: &RawRequest| {
            let body = events(1)[..n_bytes].to_vec();
            vec![Step::Send(unframed_head(request)), Step::Send(body), Step::Close]
        };
        let response = exchange_with_fault(cut);
        assert!(response.is_complete(), "{n_bytes}: {}", response.text());
        let expected = if n_bytes == EVENT.len() { &ALL[..1] } else { &ALL[..] };
        assert_eq!(tokens(&response), expected, "{n_bytes}: {}", response.text());
    }
}

#[test]
fn stream_reset_anywhere() {
    for n_bytes in [0, 1, EVENT.len() - 1, EVENT.len(), EVENT.len() + 7, 2 * EVENT.len()] {
        let cut = move |request: &RawRequest| {
            let body = events(1)[..n_bytes].to_vec();
            let pause = Step::Pause(READ_TIME);
            vec![Step::Send(unframed_head(request)), Step::Send(body), pause, Step::Reset]
        };
        let response = exchange_with_fault(cut);
        assert!(response.is_complete(), "{n_bytes}: {}", response.text());
        assert_eq!(tokens(&response), ALL, "{n_bytes}: {}", response.text());
    }
}

/// An engine that ends right after the head has made no stream.
#[test]
fn stream_without_event() {
    let response =
        exchange_with_fault(|request| vec![Step::Send(unframed_head(request)), Step::Close]);
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!(tokens(&response), ALL, "{}", response.text());
}

/// All events arrived before the cut, so the engine that resumes the stream has none to add.
#[test]
fn resumed_after_last_event() {
    let response = exchange_with_fault(|request| {
        let pause = Step::Pause(READ_TIME);
        vec![Step::Send(stream_head(request)), Step::Send(all_chunks()), pause, Step::Reset]
    });
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!(tokens(&response), ALL);
}

/// A blank line after the last event is no event, so the stream is whole.
#[test]
fn trailing_blank_line() {
    let engine = ScriptedServer::start(|request| {
        let body = [events(1), b"\n".to_vec()].concat();
        vec![Step::Send(unframed_head(request)), Step::Send(body), Step::Close]
    });
    let deployment = Deployment::start("pool", &[&engine.unwrap()]);
    let response = deployment.entry.exchange(&stream_request("blank"));
    assert!(response.is_complete(), "{}", response.text());
    assert_eq!(tokens(&response), ALL);
}

/// A late second copy of a response does not reach the next request on the connection, whose own
/// response is unframed.
#[test]
fn late_copy_before_unframed() {
    let ledger = ScriptedServer::start(|request| {
        if request.header("x-request-id") == Some("second") {
            return vec![Step::Send(unframed_response(request)), Step::Close];
        }
        let copy = encode_response(request, 200, "copied");
        vec![Step::Send(copy.clone()), Step::Pause(READ_TIME * 5), Step::Send(copy)]
    });
    let deployment = Deployment::start("ledger", &[&ledger.unwrap()]);
    let mut caller = deployment.entry.connect();
    caller.write_all(&request("GET", "/stock/1", "first", "")).unwrap();
    assert!(read_response(&mut caller).text().ends_with("copied"));
    caller.write_all(&request("GET", "/stock/1", "second", "")).unwrap();
    let response = read_response(&mut caller);
    assert!(response.is_complete(), "{}", response.text());
    assert!(response.text().ends_with("twelve bytes"), "{}", response.text());
}

/// Sends a stream request to a pool in which the first engine to get it runs `fault`; another one
/// resumes the stream, or starts it again, without length and chunks.
fn exchange_with_fault(
    fault: impl Fn(&RawRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> CallerResponse {
    let seen = std::sync::Arc::new(std::sync::Mutex::new(BTreeSet::new()));
    let script = move |request: &RawRequest| {
        let id = request.header("x-request-id").unwrap().to_owned();
        if seen.lock().unwrap().insert(id) {
            return fault(request);
        }
        let last = request.header("last-event-id").map_or(0, |it| it.parse().unwrap());
        vec![Step::Send(unframed_head(request)), Step::Send(events(last + 1)), Step::Close]
    };
    let engines = [(); 2].map(|()| ScriptedServer::start(script.clone()).unwrap());
    let deployment = Deployment::start("pool", &[&engines[0], &engines[1]]);
    deployment.entry.exchange(&stream_request("faulty"))
}

/// Cuts a response of twelve bytes at each byte and checks that reading it fails; `is_whole_cut`
/// says whether this also holds after the last byte.
fn check_every_cut(framing: &'static str, n_body_bytes: usize, end: Step, is_whole_cut: bool) {
    let server = ScriptedServer::start(move |request| {
        let bytes = framed_response(request, framing);
        let n_bytes: usize = request.header("x-cut").unwrap().parse().unwrap();
        let cut = Step::Send(bytes[..n_bytes.min(bytes.len())].to_vec());
        vec![cut, Step::Pause(READ_TIME), end.clone()]
    })
    .unwrap();
    let head_bytes = framed_response(&RawRequest::default(), framing).len() - n_body_bytes;
    let id_bytes = 2 * "cut".len();
    // A reset after a whole framed response is no fault.
    let n_cuts =
        head_bytes + id_bytes + n_body_bytes + usize::from(is_whole_cut && framing == "unframed");
    for n_bytes in 0..n_cuts {
        let res = runtime::run_local(read_cut_response(server.address(), n_bytes));
        assert!(res.is_err(), "{framing} {n_bytes} of {n_cuts}: {:?}", res.map(String::from_utf8));
    }
}

async fn read_cut_response(address: SocketAddr, n_bytes: usize) -> Result<Vec<u8>, HttpError> {
    let mut head = RequestHead::new("GET", "/stock/1");
    head.headers.push("X-Request-Id", "cut");
    head.headers.push("X-Cut", n_bytes.to_string());
    let (backend, request_id) = ("ledger-0".to_owned(), "cut".to_owned());
    let attempt = Attempt {
        backend: &backend,
        address,
        backend_started_ms: 0,
        request_id: &request_id,
        head: &head,
        body: b"",
        may_reuse: false,
    };
    let sent = attempt.send(&BackendConnections::default()).await;
    let mut response = sent.map_err(|AttemptError { err, .. }| err)?;
    let started = Instant::now();
    let lease = Buffers::new(1 << 20).open(BufferSender::Backend(backend.clone()));
    let res = response.read_to_end(lease, || {}).await;
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    Ok(res?.into_blocks().0.into_iter().flatten().collect())
}

fn framed_response(request: &RawRequest, framing: &str) -> Vec<u8> {
    let head = String::from_utf8(encode_response(request, 200, "twelve bytes")).unwrap();
    match framing {
        "unframed" => unframed_response(request),
        "chunks" => {
            let head = head.replace("Content-Length: 12", "Transfer-Encoding: chunked");
            head.replace("twelve bytes", "c\r\ntwelve bytes\r\n0\r\n\r\n").into_bytes()
        }
        _ => head.into_bytes(),
    }
}

fn unframed_response(request: &RawRequest) -> Vec<u8> {
    let head = String::from_utf8(encode_response(request, 200, "twelve bytes")).unwrap();
    head.replace("Content-Length: 12\r\n", "").into_bytes()
}

fn unframed_head(request: &RawRequest) -> Vec<u8> {
    let head = String::from_utf8(stream_head(request)).unwrap();
    head.replace("Transfer-Encoding: chunked\r\n", "").into_bytes()
}

/// Returns the events from number `first` on.
fn events(first: u32) -> Vec<u8> {
    let event = |it: &&u32| **it >= first;
    let numbers = ALL.iter().filter(event);
    numbers.flat_map(|it| format!("id: {it}\ndata: token-{it}\n\n").into_bytes()).collect()
}

fn all_chunks() -> Vec<u8> {
    ALL.iter().flat_map(|it| event_chunk(*it)).collect()
}

fn stream_request(id: &str) -> Vec<u8> {
    request("POST", "/draft/1", id, "X-Model: lots\r\nX-Token-Counts: 200,260\r\n")
}

fn tokens(response: &CallerResponse) -> Vec<u32> {
    let text = response.text();
    let ids = text.lines().filter_map(|it| it.strip_prefix("id: "));
    ids.map(|it| it.trim().parse().unwrap()).collect()
}
