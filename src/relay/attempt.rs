//! One attempt at one backend server: sends the request and reads the head of the response.

use std::{cell::Cell, net::SocketAddr};

use futures_lite::FutureExt;

use crate::{
    http1::{BodyLength, BodyReader, ConnectionWriter, HttpError, RequestHead, ResponseHead},
    ids::{BackendId, RequestId},
    memory::{BodyBlocks, BufferLease, BufferedBody},
    platform::wire_headers,
    relay::{BackendConnection, BackendConnections, ResponseInfo},
    verdict::Verdict,
};

/// Maximum length of a response head.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum length of a response body that is buffered before it is relayed.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Maximum length of a request body that is sent together with its head.
const MAX_JOINED_BYTES: usize = 16 << 10;
/// Maximum number of late responses to earlier requests that are skipped on a connection.
const MAX_STALE_RESPONSES: usize = 2;

/// An error that ended an attempt, with the verdict whether the request may have run.
#[derive(Debug)]
pub struct AttemptError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Cause of the failure.
    pub err: HttpError,
}

/// One attempt to send a request to one backend server.
#[derive(Debug)]
pub struct Attempt<'a> {
    /// Id of the backend server.
    pub backend: &'a BackendId,
    /// Its address.
    pub address: SocketAddr,
    /// Start time of its process in milliseconds since the Unix epoch, by its entry.
    pub backend_started_ms: u64,
    /// Id of the request, which its response must repeat.
    pub request_id: &'a RequestId,
    /// Request head for the backend server.
    pub head: &'a RequestHead,
    /// Request body.
    pub body: &'a [u8],
    /// Whether an idle connection may be reused.
    pub may_reuse: bool,
}

/// A response whose body has not been read completely; dropping it closes the connection.
#[derive(Debug)]
pub struct BackendResponse {
    /// Response head.
    pub head: ResponseHead,
    /// Information from the head.
    pub info: ResponseInfo,
    body: BodyReader,
    connection: BackendConnection,
    is_request_written: bool,
}

impl Attempt<'_> {
    /// Sends the request and waits for the response head.
    pub async fn send(
        &self,
        connections: &BackendConnections,
    ) -> Result<BackendResponse, AttemptError> {
        let idle = connections.take_idle(self.backend).filter(|_| self.may_reuse);
        let mut connection = match idle {
            Some(connection) => connection,
            None => connections
                .open(self.backend, self.address)
                .await
                .map_err(|err| AttemptError { verdict: Verdict::NotRun, err })?,
        };
        let may_have_run = |err| AttemptError { verdict: Verdict::MayHaveRun, err };
        let is_written = Cell::new(false);
        let (head, info, body) =
            self.exchange(&mut connection, &is_written).await.map_err(may_have_run)?;
        let is_request_written = is_written.get();
        Ok(BackendResponse { head, info, body, connection, is_request_written })
    }

    async fn exchange(
        &self,
        connection: &mut BackendConnection,
        is_written: &Cell<bool>,
    ) -> Result<(ResponseHead, ResponseInfo, BodyReader), HttpError> {
        let writer = connection.connection.writer();
        // A response may arrive before the request is written completely, so only reading ends the
        // exchange.
        let write = async {
            match self.write(&writer).await {
                Ok(()) => is_written.set(true),
                Err(err) => {
                    log::debug!("relay: failed to write the request error=\"{err}\"")
                }
            }
            std::future::pending().await
        };
        self.read_matching_response(connection).or(write).await
    }

    async fn write(&self, writer: &ConnectionWriter) -> Result<(), HttpError> {
        let mut bytes = self.head.to_bytes();
        if self.body.len() <= MAX_JOINED_BYTES {
            bytes.extend_from_slice(self.body);
            return writer.write(&bytes).await;
        }
        writer.write(&bytes).await?;
        writer.write(self.body).await
    }

    /// Reads the head of the response to this request, after skipping late responses to earlier
    /// ones.
    async fn read_matching_response(
        &self,
        connection: &mut BackendConnection,
    ) -> Result<(ResponseHead, ResponseInfo, BodyReader), HttpError> {
        for _ in 0..=MAX_STALE_RESPONSES {
            let head = connection.connection.read_response_head(MAX_HEAD_BYTES).await?;
            let info = wire_headers::decode_response_info(&head);
            let length = BodyLength::of_response(&head, &self.head.method)?;
            let mut body = BodyReader::new(length);
            if info.request_id.as_ref() == Some(self.request_id) {
                return Ok((head, info, body));
            }
            if length == BodyLength::UntilClose {
                break;
            }
            log::info!(
                "relay: skipped a late response on the connection request={}",
                self.request_id
            );
            body.discard(&mut connection.connection, MAX_BUFFERED_BYTES).await?;
        }
        Err(HttpError::Malformed("the response belongs to another request"))
    }
}

impl BackendResponse {
    /// Returns `true` if the body has neither a length nor chunks, so that only the close of the
    /// connection ends it.
    pub fn ends_by_close(&self) -> bool {
        self.body.ends_by_close()
    }

    /// Returns `true` if a length is stated for what has not been read of the body.
    pub fn states_length(&self) -> bool {
        self.body.stated_bytes() > 0
    }

    /// Waits for more of the body and appends it to `out`; returns `false` once the body is
    /// complete.
    pub async fn read(&mut self, out: &mut Vec<u8>) -> Result<bool, HttpError> {
        self.body.read(&mut self.connection.connection, out).await
    }

    /// Reads the remaining body into the buffer of `lease`; calls `on_progress` whenever a part of it
    /// arrives. Fails if it is too long, or if its buffer is given up.
    pub async fn read_to_end(
        &mut self,
        lease: BufferLease,
        on_progress: impl Fn(),
    ) -> Result<BufferedBody, HttpError> {
        let limit_bytes = lease.max_bytes().min(MAX_BUFFERED_BYTES);
        if self.body.stated_bytes() > limit_bytes as u64 {
            return Err(HttpError::BodyTooLong);
        }
        let connection = &mut self.connection.connection;
        let mut blocks = BodyBlocks::default();
        loop {
            let old_bytes = blocks.len();
            let given_up = async {
                lease.wait_until_given_up().await;
                Err(HttpError::BuffersFull)
            };
            let is_more = self.body.read(connection, blocks.last_block()).or(given_up).await?;
            if !is_more {
                return Ok(BufferedBody::new(blocks, lease));
            }
            on_progress();
            if blocks.len() > limit_bytes {
                return Err(HttpError::BodyTooLong);
            }
            if !lease.grow(blocks.len() - old_bytes) {
                return Err(HttpError::BuffersFull);
            }
        }
    }

    /// Returns `true` if more bytes have arrived after the body, which a sound backend server never
    /// sends.
    pub fn has_trailing_bytes(&self) -> bool {
        self.body.is_done() && self.connection.connection.has_input()
    }

    /// Puts the connection back for reuse if request and response are complete, and closes it
    /// otherwise. It is also closed after a refusal, which a faulty backend server may repeat while it
    /// runs the next request.
    pub fn close(self, connections: &BackendConnections) {
        if self.body.is_done() && self.is_request_written && !self.info.is_not_run {
            connections.put_back(self.connection, &self.head);
        }
    }
}
