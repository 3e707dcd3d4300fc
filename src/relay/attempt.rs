//! One attempt at one backend server: the request goes out, the head of its answer comes back.

use std::{cell::Cell, net::SocketAddr};

use futures_lite::FutureExt;

use crate::{
    http1::{BodyLength, BodyReader, HttpError, RequestHead, ResponseHead},
    ids::{BackendId, RequestId},
    platform::wire_headers,
    relay::{AnswerFacts, BackendConnection, BackendConnections},
    verdict::Verdict,
};

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Longest answer that is read whole before it is passed on.
const MAX_WHOLE_BYTES: usize = 16 << 20;
/// Answers to earlier requests that are passed over before a connection is given up.
const MAX_STALE_ANSWERS: usize = 2;

/// Why an attempt failed, and whether the request may have run.
#[derive(Debug)]
pub struct AttemptError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What happened.
    pub err: HttpError,
}

/// One attempt.
#[derive(Debug)]
pub struct Attempt<'a> {
    /// The backend server.
    pub backend: &'a BackendId,
    /// Its address.
    pub address: SocketAddr,
    /// Id of the request, which the answer repeats.
    pub request_id: &'a RequestId,
    /// Head as the backend server gets it.
    pub head: &'a RequestHead,
    /// Body of the request.
    pub body: &'a [u8],
    /// Whether a connection that was used before will do.
    pub may_reuse: bool,
}

/// An answer whose body is still on the connection; dropping it closes the connection.
#[derive(Debug)]
pub struct BackendAnswer {
    /// Head of the answer.
    pub head: ResponseHead,
    /// What the head says.
    pub facts: AnswerFacts,
    body: BodyReader,
    connection: BackendConnection,
    is_request_written: bool,
}

impl Attempt<'_> {
    /// Sends the request and waits for the head of its answer.
    pub async fn send(
        &self,
        connections: &BackendConnections,
    ) -> Result<BackendAnswer, AttemptError> {
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
        let (head, facts, body) =
            self.exchange(&mut connection, &is_written).await.map_err(may_have_run)?;
        let is_request_written = is_written.get();
        Ok(BackendAnswer { head, facts, body, connection, is_request_written })
    }

    async fn exchange(
        &self,
        connection: &mut BackendConnection,
        is_written: &Cell<bool>,
    ) -> Result<(ResponseHead, AnswerFacts, BodyReader), HttpError> {
        let mut bytes = self.head.to_bytes();
        bytes.extend_from_slice(self.body);
        let writer = connection.connection.writer();
        // An answer may come before the whole request is written, so reading decides.
        let write = async {
            match writer.write(&bytes).await {
                Ok(()) => is_written.set(true),
                Err(err) => log::debug!("relay: request not written error=\"{err}\""),
            }
            std::future::pending().await
        };
        self.read_own_answer(connection).or(write).await
    }

    /// Reads the answer to this request, after late answers to earlier ones.
    async fn read_own_answer(
        &self,
        connection: &mut BackendConnection,
    ) -> Result<(ResponseHead, AnswerFacts, BodyReader), HttpError> {
        for _ in 0..=MAX_STALE_ANSWERS {
            let head = connection.connection.read_response_head(MAX_HEAD_BYTES).await?;
            let facts = wire_headers::decode_answer(&head);
            let length = BodyLength::of_response(&head, &self.head.method)?;
            let mut body = BodyReader::new(length);
            if facts.request_id.as_ref() == Some(self.request_id) {
                return Ok((head, facts, body));
            }
            if length == BodyLength::UntilClose {
                break;
            }
            log::info!("relay: late answer passed over request={}", self.request_id);
            body.read_all(&mut connection.connection, MAX_WHOLE_BYTES).await?;
        }
        Err(HttpError::Malformed("an answer to another request"))
    }
}

impl BackendAnswer {
    /// Waits for more of the body; `false` once it is whole.
    pub async fn read(&mut self, out: &mut Vec<u8>) -> Result<bool, HttpError> {
        self.body.read(&mut self.connection.connection, out).await
    }

    /// Reads the whole body.
    pub async fn read_whole(&mut self) -> Result<Vec<u8>, HttpError> {
        self.body.read_all(&mut self.connection.connection, MAX_WHOLE_BYTES).await
    }

    /// Gives the connection back if the whole exchange is over, and closes it otherwise.
    pub fn close(self, connections: &BackendConnections) {
        if self.body.is_done() && self.is_request_written {
            connections.put_back(self.connection, &self.head);
        }
    }
}
