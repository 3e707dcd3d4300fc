//! What many callers cost besides the bodies of their requests.

mod entry_process;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use crocustiller_standins::raw_http::{RawRequest, ScriptedServer, Step, StoreStandin};
use entry_process::{charter, encode_response, request, request_head, server_entry, EntryProcess};
use serde_json::{json, Value};

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
