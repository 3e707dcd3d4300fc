//! A small HTTP server whose responses are built from the state of the process without waiting.

use std::{io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use async_executor::Task;
use async_io::Async;
use metrics::counter;

use crate::{
    http1::{
        acceptor::accept_all,
        body::{BodyLength, BodyReader},
        connection::Connection,
        head::RequestHead,
        port_connections::{ConnectionSlot, PortConnections},
        HttpError,
    },
    metric_names, runtime,
};

/// Maximum length of a request head.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum length of a request body; the body is read and discarded.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Time after which a connection is closed on which no complete request arrived, or a response was
/// not read.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two responses of the port to requests that were sent ahead. Building them would otherwise
/// take all processor time, as requests that were sent ahead never need to be waited for.
const AHEAD_INTERVAL: Duration = Duration::from_millis(1);

/// A response with a complete body, for endpoints that need no header fields of their own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SmallResponse {
    /// Status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Content of the body.
    pub body: Vec<u8>,
}

impl SmallResponse {
    /// Creates a response without a body.
    pub fn status(status: u16) -> SmallResponse {
        SmallResponse { status, content_type: "text/plain", body: Vec::new() }
    }

    /// Returns the response as it is sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        let SmallResponse { status, content_type, body } = self;
        let reason = if *status == 200 { "OK" } else { "Unavailable" };
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        [head.as_bytes(), body].concat()
    }
}

/// An HTTP server at one address, which runs until it is closed.
///
/// It is meant for responses such as the readiness or the metrics of a process.
#[derive(Debug)]
pub struct HttpEndpoint {
    task: Task<()>,
}

/// What all connections of a port share.
struct Responder<F> {
    name: &'static str,
    respond: F,
    /// Held while a request that was sent ahead waits for its interval.
    ahead_turn: async_lock::Mutex<()>,
}

impl HttpEndpoint {
    /// Starts a server at `address` that has at most `max_connections` open and responds to each request
    /// with the result of `respond`. Its port is called `name` in metrics and in the log.
    pub fn listen(
        name: &'static str,
        address: SocketAddr,
        max_connections: usize,
        respond: impl Fn(&RequestHead) -> SmallResponse + 'static,
    ) -> io::Result<HttpEndpoint> {
        let listener = Async::<std::net::TcpListener>::bind(address)?;
        let connections = PortConnections::new(name, max_connections);
        let responder =
            Rc::new(Responder { name, respond, ahead_turn: async_lock::Mutex::new(()) });
        let serve_connection = move |connection, slot: Arc<ConnectionSlot>| {
            let responder = responder.clone();
            async move {
                if let Err(err) = responder.serve(connection, &slot).await {
                    log::debug!("http: failed to respond to a request error=\"{err}\"");
                }
            }
        };
        let task = runtime::spawn_local(accept_all(listener, connections, serve_connection));
        Ok(HttpEndpoint { task })
    }

    /// Stops accepting connections.
    pub async fn close(self) {
        self.task.cancel().await;
    }
}

impl<F: Fn(&RequestHead) -> SmallResponse> Responder<F> {
    async fn serve(
        &self,
        mut connection: Connection,
        slot: &ConnectionSlot,
    ) -> Result<(), HttpError> {
        loop {
            let is_ahead = !connection.buffered().is_empty();
            let head = match runtime::timeout(IDLE_TIMEOUT, read_request(&mut connection)).await {
                Ok(Err(HttpError::Closed)) | Err(_) => return Ok(()),
                Ok(res) => res?,
            };
            if is_ahead {
                log::warn!("http: delayed a request that was sent ahead port={}", self.name);
                counter!(metric_names::DELAYED_REQUESTS, "port" => self.name).increment(1);
                let _turn = self.ahead_turn.lock().await;
                runtime::sleep(AHEAD_INTERVAL).await;
            }
            let bytes = (self.respond)(&head).to_bytes();
            let write = runtime::timeout(IDLE_TIMEOUT, connection.write(&bytes)).await;
            write.map_err(|_| HttpError::TimedOut)??;
            if head.headers.has_member("connection", "close") {
                connection.shutdown_write();
                return Ok(());
            }
            slot.begin_wait();
        }
    }
}

/// Reads a request and discards its body.
async fn read_request(connection: &mut Connection) -> Result<RequestHead, HttpError> {
    let head = connection.read_request_head(MAX_HEAD_BYTES).await?;
    let mut body = BodyReader::new(BodyLength::of_request(&head)?);
    body.discard(connection, MAX_BODY_BYTES).await?;
    Ok(head)
}
