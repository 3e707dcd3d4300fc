//! Responses of the HTTP server that are sent before the body of the request has been read.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use crocustiller::{
    net::{HttpServer, ServerLimits},
    runtime,
};
use http_types::{Response, StatusCode};

/// Time within which a client gets a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
const HEAD: &[u8] = b"PUT /objects/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n";
const BODY: &[u8] = b"body";

/// Guards against losing a request that arrives together with the body of the one before, which the
/// server discards after the response.
#[test]
fn request_after_discarded_body_is_answered() {
    let (first, second) = with_server(|address| {
        let mut client = connect(address);
        client.write_all(HEAD).unwrap();
        let first = read_response(&mut client);
        // As long as the response does not announce a close, the client may send another request.
        if closes_connection(&first) {
            client = connect(address);
            client.write_all(&[HEAD, BODY].concat()).unwrap();
        } else {
            client.write_all(&[BODY, HEAD, BODY].concat()).unwrap();
        }
        (first, read_response(&mut client))
    });
    assert!(first.starts_with("HTTP/1.1 429"), "{first}");
    assert!(second.starts_with("HTTP/1.1 429"), "{second}");
}

/// Guards against closing each connection on which a request is refused.
#[test]
fn refusal_after_body_keeps_connection() {
    let responses = with_server(|address| {
        let mut client = connect(address);
        let mut exchange = || {
            client.write_all(&[HEAD, BODY].concat()).unwrap();
            read_response(&mut client)
        };
        [exchange(), exchange(), exchange()]
    });
    for response in responses {
        assert!(response.starts_with("HTTP/1.1 429"), "{response}");
        assert!(!closes_connection(&response), "{response}");
    }
}

/// Runs `client` in a thread of its own, beside a server that refuses each request unread.
fn with_server<T: Send + 'static>(client: impl FnOnce(SocketAddr) -> T + Send + 'static) -> T {
    runtime::run_until(async move {
        let handler =
            Arc::new(|_| Box::pin(async { Ok(Response::new(StatusCode::TooManyRequests)) }) as _);
        let address = ([127, 0, 0, 1], 0).into();
        let server = HttpServer::bind(address, ServerLimits::default(), handler).await.unwrap();
        let address = server.address();
        let client = thread::spawn(move || client(address));
        while !client.is_finished() {
            runtime::sleep(Duration::from_millis(10)).await;
        }
        server.close().await;
        client.join().unwrap()
    })
}

fn connect(address: SocketAddr) -> TcpStream {
    let client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
    client
}

/// Returns the head of a response; it is incomplete if the rest does not arrive.
fn read_response(client: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") && client.read(&mut byte).is_ok_and(|it| it > 0) {
        bytes.push(byte[0]);
    }
    String::from_utf8(bytes).unwrap()
}

fn closes_connection(response: &str) -> bool {
    response.to_ascii_lowercase().contains("connection: close")
}
