//! Requests that were begun before a backend server asked for a pause.

mod entry_process;

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, event_chunk,
    pausing_server::{pausing_server, refusal, retry_after, send, whole_stream, STREAM_HEADERS},
    read_response, request, server_entry, stream_head, Deployment, EntryProcess,
};
use serde_json::Value;
use socket2::{Domain, Socket, Type};

const MS: Duration = Duration::from_millis(1);

/// Guards against a request that was begun before the pause and reaches the server in it, as its
/// body comes slowly.
#[test]
fn body_that_ends_in_a_pause() {
    for (service, path) in [("ledger", "/hold/1"), ("ledger", "/stock/1"), ("pool", "/draft/1")] {
        let server = pausing_server(1, "20", "X-Not-Run: 1\r\n");
        let deployment = Deployment::start(service, &[&server]);
        let slow = String::from_utf8(request("POST", path, "slow", STREAM_HEADERS)).unwrap();
        let slow = slow.replacen("Content-Length: 0", "Content-Length: 8", 1);
        let mut caller = deployment.entry.connect();
        caller.write_all(format!("{slow}half").as_bytes()).unwrap();
        thread::sleep(100 * MS);
        assert_eq!(send(&deployment.entry, path, "refused").status(), 503);
        thread::sleep(600 * MS);
        caller.write_all(b"body").unwrap();
        let response = read_response(&mut caller);
        assert_eq!(response.status(), 503, "{path}: {}", response.text());
        assert!(retry_after(&response).unwrap() > 15.0, "{path}: {}", response.text());
        assert_eq!(server.requests().len(), 1, "{path}");
    }
}

/// Guards against a request that was given a place at a server before the pause and waits for a
/// connection, which the server accepts later than the pause begins.
#[test]
fn connection_that_opens_in_a_pause() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(1).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter(1));
    store.put("servers", "ledger-0", server_entry("ledger", address, "ready"));
    let entry = EntryProcess::start(&store, "entry-1");
    entry.wait_until_ready();
    thread::scope(|scope| {
        let entry = &entry;
        let first = scope.spawn(move || send(entry, "/stock/1", "refused"));
        let mut stream = listener.accept().unwrap().0;
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let refused = RawRequest::read(&mut reader).unwrap().unwrap();
        // Further connections fill the queue of the listener; the next ones wait.
        let queued: Vec<Socket> = (0..4).map(|_| begin_connect(address)).collect();
        thread::sleep(50 * MS);
        let waiting = scope.spawn(move || send(entry, "/stock/1", "waiting"));
        thread::sleep(50 * MS);
        stream.write_all(&refusal(&refused, "4", "X-Not-Run: 1\r\n")).unwrap();
        assert_eq!(first.join().unwrap().status(), 503);
        let response = waiting.join().unwrap();
        assert_eq!(response.status(), 503, "{}", response.text());
        drop(queued);
        // The server accepts all connections from now on, in the pause.
        listener.set_nonblocking(true).unwrap();
        let end = Instant::now() + Duration::from_millis(2500);
        while Instant::now() < end {
            let Ok((late, _)) = listener.accept() else {
                thread::sleep(10 * MS);
                continue;
            };
            late.set_nonblocking(false).unwrap();
            late.set_read_timeout(Some(200 * MS)).unwrap();
            let late = RawRequest::read(&mut BufReader::new(late));
            let late = late.ok().flatten().filter(|it| it.header("x-request-id").is_some());
            assert!(late.is_none(), "{late:?}");
        }
    });
}

/// Guards against sending a stream that is silent or broken to an engine that began to pause while
/// the stream waited for its place.
#[test]
fn stream_that_waits_for_a_pausing_engine() {
    for is_broken in [false, true] {
        let started = Arc::new(Mutex::new(Instant::now()));
        let silent_since = started.clone();
        let script = move |request: &RawRequest| {
            let begin = [stream_head(request), event_chunk(1)].concat();
            let rest = [event_chunk(2), b"0\r\n\r\n".to_vec()].concat();
            let time_to = |ms: u64| {
                let since = *silent_since.lock().unwrap();
                Step::Pause(Duration::from_millis(ms).saturating_sub(since.elapsed()))
            };
            match request.header("x-request-id") {
                Some("holding") => {
                    vec![time_to(2000), Step::Send(refusal(request, "20", "X-Not-Run: 1\r\n"))]
                }
                _ if request.header("last-event-id").is_some() => {
                    vec![Step::Send([stream_head(request), rest].concat())]
                }
                _ if is_broken => vec![Step::Send(begin), time_to(1500), Step::Reset],
                _ => vec![Step::Send(begin), time_to(2600), Step::Send(rest)],
            }
        };
        let engines = [(); 2].map(|()| ScriptedServer::start(script.clone()).unwrap());
        let store = StoreStandin::start().unwrap();
        let mut charter = charter_with_single_attempts();
        charter["routes"][2]["timeout-ms"] = 6000.into();
        store.put("config", "main", charter);
        for (idx, engine) in engines.iter().enumerate() {
            let mut listed = server_entry("pool", engine.address(), "ready");
            listed["slots"] = 1.into();
            store.put("servers", &format!("pool-{idx}"), listed);
        }
        let entry = EntryProcess::start(&store, "entry-1");
        entry.wait_until_ready();
        thread::sleep(500 * MS);
        let holding_at = |id: &str| {
            engines
                .iter()
                .position(|it| it.requests().iter().any(|it| it.header("x-request-id") == Some(id)))
        };
        let mut is_complete = false;
        thread::scope(|scope| {
            let entry = &entry;
            *started.lock().unwrap() = Instant::now();
            let holding = scope.spawn(move || send(entry, "/keep/1", "holding"));
            while holding_at("holding").is_none() {
                thread::sleep(10 * MS);
            }
            let stream = request("POST", "/draft/1", "stream", STREAM_HEADERS);
            let stream = String::from_utf8(stream).unwrap();
            let stream = stream.replacen("X-Deadline-Ms: 3000", "X-Deadline-Ms: 6000", 1);
            let stream = entry.exchange(stream.as_bytes());
            assert_eq!(holding.join().unwrap().status(), 503);
            is_complete = stream.is_complete();
        });
        let pausing = &engines[holding_at("holding").unwrap()];
        assert_eq!(pausing.requests().len(), 1, "is_broken {is_broken}");
        assert!(started.lock().unwrap().elapsed() > Duration::from_millis(2500));
        assert_eq!(is_complete, !is_broken);
    }
}

/// Guards against sending a request to a pausing engine when the owner of the engines does not
/// answer, so that the host chooses an engine by itself.
#[test]
fn silent_owner_in_a_pause() {
    let mut n_logs = 0;
    for idx in 0..2 {
        let engines = [(); 2].map(|()| {
            ScriptedServer::start(|request| match request.header("x-request-id") {
                Some("refused") => {
                    vec![Step::Send(refusal(request, "20", "X-Not-Run: 1\r\n"))]
                }
                Some("holding") => [vec![Step::Pause(1500 * MS)], whole_stream(request)].concat(),
                _ => whole_stream(request),
            })
            .unwrap()
        });
        let store = StoreStandin::start().unwrap();
        store.put("config", "main", charter_with_single_attempts());
        for (idx, engine) in engines.iter().enumerate() {
            let listed = server_entry("pool", engine.address(), "ready");
            store.put("servers", &format!("pool-{idx}"), listed);
        }
        let hosts = ["entry-1", "entry-2"].map(|it| EntryProcess::start(&store, it));
        hosts.iter().for_each(EntryProcess::wait_until_ready);
        thread::sleep(Duration::from_millis(800));
        let (host, other) = (&hosts[idx], &hosts[1 - idx]);
        assert_eq!(send(host, "/keep/1", "refused").status(), 503);
        let pausing = engines.iter().find(|it| !it.requests().is_empty()).unwrap();
        thread::scope(|scope| {
            // The other engine has a request of this host, so that only the pausing one is free.
            scope.spawn(|| send(host, "/draft/1", "holding"));
            thread::sleep(200 * MS);
            other.suspend();
            for number in 0..4 {
                send(host, "/draft/1", &format!("paused-{number}"));
            }
        });
        other.resume();
        assert_eq!(pausing.requests().len(), 1, "host {idx}");
        let log = std::fs::read_to_string(host.log_path()).unwrap();
        n_logs += usize::from(log.contains("cell: the owner does not answer"));
    }
    // One of the two hosts owns the engines.
    assert!(n_logs > 0);
}

/// Returns a configuration with a streaming route `keep` whose requests are sent only once.
fn charter_with_single_attempts() -> Value {
    let mut charter = charter(1);
    let mut keep = charter["routes"][2].clone();
    (keep["name"], keep["path-prefix"]) = ("keep".into(), "/keep/".into());
    keep["max-attempts"] = 1.into();
    charter["routes"].as_array_mut().unwrap().push(keep);
    charter
}

/// Begins to open a connection, which may wait in the queue of the listener.
fn begin_connect(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_nonblocking(true).unwrap();
    // It is in progress, which the standard library takes for an error.
    drop(socket.connect(&address.into()));
    socket
}
