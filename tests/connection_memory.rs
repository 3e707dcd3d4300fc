//! What many callers cost besides the bodies of their requests.

mod entry_process;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter, charter_with_timeout, encode_response, request, request_head, server_entry,
    stream_head, EntryProcess,
};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

/// The least memory of an entry host on any site.
const MEMORY_MB: u64 = 160;

fn start(
    service: &str,
    servers: &[ScriptedServer],
    charter: Value,
) -> (StoreStandin, EntryProcess) {
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter);
    for (idx, server) in servers.iter().enumerate() {
        let name = format!("{service}-{idx}");
        store.put("servers", &name, server_entry(service, server.address(), "ready"));
    }
    let entry = EntryProcess::start_with_memory(store.address(), "entry-1", MEMORY_MB);
    entry.wait_until_ready();
    (store, entry)
}

/// A connection that is idle keeps no memory of what was read ahead on it.
#[test]
fn kept_connections_fill_no_memory() {
    let server = ScriptedServer::start(|it: &RawRequest| {
        let response = Step::Send(encode_response(it, 200, "own"));
        vec![Step::Pause(Duration::from_millis(15)), response]
    })
    .unwrap();
    let mut charter = charter(1);
    charter["limits"]["idle-timeout-ms"] = json!(60_000);
    let (_store, entry) = start("ledger", &[server], charter);
    let before_kb = entry.peak_memory_kb();
    let kept: Vec<TcpStream> = thread::scope(|scope| {
        let keep = |thread: u32| {
            let open = |it| keep_connection(&entry, &format!("{thread}-{it}"));
            (0..200).map(open).collect::<Vec<TcpStream>>()
        };
        let threads: Vec<_> = (0..16).map(|it| scope.spawn(move || keep(it))).collect();
        threads.into_iter().flat_map(|it| it.join().unwrap()).collect()
    });
    let peak_kb = entry.peak_memory_kb();
    println!("kept={} before_kb={before_kb} peak_kb={peak_kb}", kept.len());
    assert!(peak_kb < MEMORY_MB << 10, "{peak_kb} kB");
}

/// Sends two requests at once, the second one with a long body, and reads both responses.
fn keep_connection(entry: &EntryProcess, id: &str) -> TcpStream {
    let mut stream = entry.connect();
    let headers = "Content-Length: 60000\r\n";
    let mut bytes = request("POST", "/hold/1", &format!("first-{id}"), "");
    bytes.extend(request_head("POST", "/hold/1", &format!("second-{id}"), 3000, headers));
    bytes.extend(vec![b'x'; 60000]);
    stream.write_all(&bytes).unwrap();
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while text.matches("own").count() < 2 {
        let n_read = stream.read(&mut buffer).unwrap();
        assert!(n_read > 0, "{text}");
        text.push_str(std::str::from_utf8(&buffer[..n_read]).unwrap());
    }
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
    stream
}

/// Callers that don't read, and engines that send long events.
#[test]
fn long_events_to_slow_callers_fill_no_memory() {
    let event = format!("data: {}\n\n", "x".repeat(60_000));
    let servers: Vec<ScriptedServer> = (0..40)
        .map(|_| {
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            ScriptedServer::start(move |it: &RawRequest| {
                let chunk = chunk.clone().into_bytes();
                vec![Step::Send(stream_head(it)), Step::SendEndlessly(chunk)]
            })
            .unwrap()
        })
        .collect();
    let (_store, entry) = start("pool", &servers, charter_with_timeout(30_000));
    let before_kb = entry.peak_memory_kb();
    let kept: Vec<TcpStream> = (0..640)
        .map(|idx| {
            let mut stream = connect_slow(&entry);
            let headers = "X-Model: lots\r\nContent-Length: 0\r\n";
            let id = format!("slow-{idx}");
            stream.write_all(&request_head("POST", "/draft/1", &id, 30_000, headers)).unwrap();
            thread::sleep(Duration::from_millis(20));
            stream
        })
        .collect();
    let peak_kb = entry.peak_memory_kb();
    let n_sent: usize = servers.iter().map(|it| it.requests().len()).sum();
    println!("slow={} sent={n_sent} before_kb={before_kb} peak_kb={peak_kb}", kept.len());
    assert!(peak_kb < MEMORY_MB << 10, "{peak_kb} kB");
}

/// Connects with a small buffer for what the caller doesn't read.
fn connect_slow(entry: &EntryProcess) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&entry.callers.into()).unwrap();
    socket.into()
}
