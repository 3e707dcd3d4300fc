//! Clients of the HTTP server that disconnect before their response.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use crocustiller::{
    net::{HttpServer, ServerLimits},
    runtime,
};
use http_types::{Response, StatusCode};

/// Time that the handler waits before it runs a request.
const HANDLER_DELAY: Duration = Duration::from_millis(1500);
/// Time in which bytes arrive at the server and are read as far as it reads them.
const ARRIVAL_TIME: Duration = Duration::from_millis(150);
const HEAD: &[u8] = b"PUT /objects/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n";

/// Guards against running the request of a client that has left while its body, which arrived after
/// its head, was not read yet.
#[test]
fn request_with_unread_body_is_dropped() {
    assert_eq!(count_runs(|client| client.shutdown(Shutdown::Both).unwrap()), 0);
}

/// Guards against taking a client for a disconnected one because its body is not read yet.
#[test]
fn request_of_waiting_client_runs() {
    let wait_for_response = |client: &mut TcpStream| {
        let n_read = client.read(&mut [0; 1024]).unwrap();
        assert!(n_read > 0);
    };
    assert_eq!(count_runs(wait_for_response), 1);
}

/// Sends a request in two parts, calls `leave`, and returns how often the request ran.
fn count_runs(leave: impl FnOnce(&mut TcpStream) + Send + 'static) -> u32 {
    let n_runs = Arc::new(AtomicU32::new(0));
    let counter = n_runs.clone();
    runtime::run_until(async move {
        let handler = Arc::new(move |_| {
            let counter = counter.clone();
            Box::pin(async move {
                runtime::sleep(HANDLER_DELAY).await;
                counter.fetch_add(1, Ordering::Relaxed);
                Ok(Response::new(StatusCode::Ok))
            }) as _
        });
        let address = ([127, 0, 0, 1], 0).into();
        let server = HttpServer::bind(address, ServerLimits::default(), handler).await.unwrap();
        let address = server.address();
        let client = thread::spawn(move || {
            let mut client = TcpStream::connect(address).unwrap();
            client.write_all(HEAD).unwrap();
            thread::sleep(ARRIVAL_TIME);
            client.write_all(b"x").unwrap();
            thread::sleep(ARRIVAL_TIME);
            leave(&mut client);
        });
        runtime::sleep(HANDLER_DELAY * 2).await;
        client.join().unwrap();
        server.close().await;
    });
    n_runs.load(Ordering::Relaxed)
}
