//! Clients outside the limits at the ports of slots, and of processes that run without the platform's store.

mod crowd;
mod daemon_process;
mod entry_process;
mod slot_process;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream, UdpSocket},
    sync::PoisonError,
    thread,
    time::Duration,
};

use crowd::{Crowd, CROWD};
use daemon_process::DaemonProcess;
use entry_process::{read_response, send_signal};
use serde_json::json;
use slot_process::{origin_server, response_steps, EngineState, Slot};

/// Descriptors of a process that may have only a few.
const N_DESCRIPTORS: u64 = 256;
/// Clients that are more than its descriptors.
const N_CLIENTS: usize = 300;
/// The memory of a host with a slot.
const SLOT_MEMORY_KB: u64 = 128 << 10;
/// The least memory of an entry host.
const ENTRY_MEMORY_KB: u64 = 160 << 10;
const HEAD_START: &[u8] = b"GET /piece/lots/1/0 HTTP/1.1\r\nX-Slow: ";
const PIECE_REQUEST: &[u8] = b"GET /piece/lots/1/0 HTTP/1.1\r\n\r\n";

/// Guards against a slot that can't fetch a version, or send its pieces, as clients hold its descriptors.
#[test]
fn crowd_at_pieces_delays_no_version() {
    let requests = PIECE_REQUEST.repeat(3_000);
    for bytes in [b"".as_slice(), HEAD_START, &requests] {
        check_slot(
            |slot| drop(Crowd::open(10, slot, b"")),
            |slot| Crowd::open(N_CLIENTS, slot, bytes),
        );
    }
}

/// Guards against datagrams that are no messages, of which there is always a next one.
#[test]
fn datagrams_delay_no_version() {
    check_slot(
        |slot| {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            for _ in 0..200_000 {
                drop(socket.send_to(&[0xff; 64], slot));
            }
        },
        |_| (),
    );
}

/// Publishes a version while `load` runs and what `open` returns is there; checks that the slot fetches it
/// and answers other slots.
fn check_slot<T>(load: impl Fn(SocketAddr) + Sync, open: impl Fn(SocketAddr) -> T) {
    let _crowd = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let origin = origin_server(|_, _, body| response_steps(200, &body));
    let slot = Slot::start_with_descriptors(&origin, EngineState::default(), Some(N_DESCRIPTORS));
    slot.check_loaded(1);
    let _opened = open(slot.peers);
    thread::scope(|scope| {
        scope.spawn(|| load(slot.peers));
        slot.store.put("versions", "lots", json!({ "model": "lots", "version": 2 }));
        slot.check_loaded(2);
    });
    assert_eq!(status_of(slot.peers, b"GET /piece/none/1/0 HTTP/1.1\r\n\r\n"), 404);
    let peak_kb = slot.peak_memory_kb();
    println!("slot: peak_kb={peak_kb}");
    assert!(peak_kb < SLOT_MEMORY_KB, "{peak_kb} kB");
    send_signal(&slot.child, "TERM");
}

/// Guards against clients that hold the connections of a port for callers, operators or peers for ever.
#[test]
fn crowd_at_daemon_leaves_descriptors() {
    let _crowd = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let body = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\nx";
    for bytes in [b"".as_slice(), HEAD_START, body] {
        for port in 0..3 {
            let platform = ([127, 0, 0, 1], 1).into();
            let mut daemon = DaemonProcess::start_with_descriptors(platform, N_DESCRIPTORS);
            let address = [daemon.request, daemon.operator, daemon.peer][port];
            let crowd = Crowd::open(N_CLIENTS, address, bytes);
            let what =
                format!("port {port}, {} bytes, {} clients", bytes.len(), crowd.clients.len());
            let request = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
            assert_eq!(status_of(daemon.operator, request), 200, "{what}");
            assert_ne!(status_of(daemon.request, request), 0, "{what}");
            assert!(!daemon.has_exited(), "{what}");
            let peak_kb = daemon.peak_memory_kb();
            println!("{what}: peak_kb={peak_kb}");
            assert!(peak_kb < ENTRY_MEMORY_KB, "{what}: {peak_kb} kB");
        }
    }
}

/// Returns the status of the response to a request; 0 if the connection is closed without one.
fn status_of(address: SocketAddr, request: &[u8]) -> u16 {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    drop(stream.write_all(request));
    read_response(&mut stream).status()
}
