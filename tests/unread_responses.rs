//! Callers that don't read their complete responses; everyone else is still served.

mod entry_process;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{
    charter_with_timeout, encode_response, request, request_head, server_entry, EntryProcess,
};
use socket2::{Domain, Socket, Type};

/// The least memory of an entry host on any site.
const MEMORY_MB: u64 = 160;
/// Time within which other callers are answered meanwhile.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(1000);
/// Time for which the callers may leave their responses unread.
const TIMEOUT_MS: u64 = 20_000;
const N_CALLERS: usize = 100;
/// Length of a response, of which a connection holds only a part.
const N_BYTES: usize = 4_000_000;
/// The number of responses that the memory for them holds in any case.
const N_WHOLE: usize = 5;

/// The server, which did nothing wrong, still serves others. Then each caller gets its whole response or
/// a closed connection, and at least the last ones get all of it.
#[test]
fn unread_responses_fill_no_memory() {
    let body = "x".repeat(N_BYTES);
    let server = ScriptedServer::start(move |request: &RawRequest| {
        let is_long = request.target == "/hold/long";
        let body = if is_long { body.as_str() } else { "own" };
        vec![Step::Send(encode_response(request, 200, body))]
    })
    .unwrap();
    let store = StoreStandin::start().unwrap();
    store.put("config", "main", charter_with_timeout(TIMEOUT_MS));
    store.put("servers", "ledger", server_entry("ledger", server.address(), "ready"));
    let entry = EntryProcess::start_with_memory(store.address(), "entry-1", MEMORY_MB);
    entry.wait_until_ready();
    let mut callers = Vec::new();
    for number in 0..N_CALLERS {
        let mut caller = connect_with_small_buffer(entry.callers);
        let headers = "Content-Length: 0\r\nConnection: close\r\n";
        let id = format!("unread-{number}");
        let head = request_head("POST", "/hold/long", &id, TIMEOUT_MS, headers);
        caller.write_all(&head).unwrap();
        let mut status = [0; 12];
        caller.read_exact(&mut status).unwrap();
        assert_eq!(&status, b"HTTP/1.1 200");
        callers.push(caller);
    }
    for number in 0..5 {
        let sent = Instant::now();
        let response = entry.exchange(&request("POST", "/hold/1", &format!("sound-{number}"), ""));
        assert_eq!(response.status(), 200, "{}", response.text());
        assert!(sent.elapsed() < MAX_RESPONSE_TIME, "{:?}", sent.elapsed());
    }
    let lengths: Vec<usize> = callers.into_iter().map(read_to_end).collect();
    let is_whole = |it: &usize| *it > N_BYTES;
    let n_whole = lengths.iter().filter(|it| is_whole(it)).count();
    println!("peak_kb={} whole={n_whole}", entry.peak_memory_kb());
    assert!(entry.peak_memory_kb() < MEMORY_MB << 10, "{} kB", entry.peak_memory_kb());
    assert!(lengths[N_CALLERS - N_WHOLE..].iter().all(is_whole), "{lengths:?}");
}

/// Returns the number of bytes until the connection ends.
fn read_to_end(mut caller: TcpStream) -> usize {
    let mut bytes = Vec::new();
    // A reset ends it too.
    drop(caller.read_to_end(&mut bytes));
    bytes.len()
}

fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.into()
}
