//! One connection of a caller, from its first request to its end.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;

use crate::{
    entry::{
        count_guard::CountGuard,
        entry_host::EntryHost,
        error_response::ErrorResponse,
        exchange::{ConnectionReuse, Exchange},
    },
    http1::{BodyLength, BodyReader, Connection, HttpError, RequestHead},
    routing::CallerLimits,
    runtime,
};

/// Time for which a connection is read after the last answer, so that the caller gets it whole.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time before the end of the grace period at which idle connections are closed.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(1200);
/// Pause between two looks at whether a leaving host should close an idle connection.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Serves the requests of one connection, one after the other.
pub(crate) struct CallerConnection {
    connection: Connection,
    host: Rc<EntryHost>,
}

/// A request whose bytes are whole.
struct CompleteRequest {
    head: RequestHead,
    body: Vec<u8>,
    received: Instant,
}

impl CallerConnection {
    /// Takes an accepted connection.
    pub(crate) fn new(connection: Connection, host: Rc<EntryHost>) -> CallerConnection {
        CallerConnection { connection, host }
    }

    /// Answers requests until one side ends the connection.
    pub(crate) async fn serve(mut self) {
        loop {
            let request = match self.read_request().await {
                Ok(Some(request)) => request,
                Ok(None) => break,
                Err(err) => {
                    self.send_parse_error(&err).await;
                    break;
                }
            };
            if self.handle(request).await == ConnectionReuse::Close {
                break;
            }
        }
        self.close().await;
    }

    async fn handle(&mut self, request: CompleteRequest) -> ConnectionReuse {
        let CompleteRequest { head, body, received } = request;
        let closes_connection =
            self.host.leaving_since().is_some() || head.headers.has_member("connection", "close");
        let writer = self.connection.writer();
        let host = self.host.clone();
        let _guard = CountGuard::new(host.clone(), |it| &it.n_exchanges);
        let exchange = Exchange::new(host, writer, head, body, received, closes_connection);
        let disconnected = async {
            self.connection.wait_until_left().await;
            log::debug!("relay: caller left request={}", exchange.request.id);
            ConnectionReuse::Close
        };
        Box::pin(exchange.run()).or(disconnected).await
    }

    /// Waits for a whole request; `None` when the connection is to end.
    async fn read_request(&mut self) -> Result<Option<CompleteRequest>, HttpError> {
        if self.connection.buffered().is_empty() && !self.wait_for_bytes().await? {
            return Ok(None);
        }
        let received = Instant::now();
        let limits = self.limits();
        let read = async {
            let head = self.connection.read_request_head(limits.max_head_bytes).await?;
            let length = BodyLength::of_request(&head)?;
            if matches!(length, BodyLength::Fixed(it) if it > limits.max_body_bytes as u64) {
                return Err(HttpError::BodyTooLong);
            }
            if head.headers.has_member("expect", "100-continue") {
                self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            let mut reader = BodyReader::new(length);
            let body = reader.read_all(&mut self.connection, limits.max_body_bytes).await?;
            Ok(CompleteRequest { head, body, received })
        };
        match runtime::timeout(limits.head_timeout * 2, read).await {
            Ok(Err(HttpError::Ended)) => Ok(None),
            Ok(res) => res.map(Some),
            Err(_) => Err(HttpError::TimedOut),
        }
    }

    /// Waits for the first byte of a request; `false` when the idle connection is to end.
    async fn wait_for_bytes(&mut self) -> Result<bool, HttpError> {
        let idle_timeout = self.limits().idle_timeout;
        let host = self.host.clone();
        let leaving = async {
            loop {
                runtime::sleep(LEAVE_CHECK_INTERVAL).await;
                let grace = host.settings.bounds.grace.saturating_sub(IDLE_CLOSE_MARGIN);
                if host.leaving_since().is_some_and(|it| it.elapsed() > grace) {
                    return Ok(false);
                }
            }
        };
        let fill = async { self.connection.fill().await };
        match runtime::timeout(idle_timeout, fill.or(leaving)).await {
            Ok(res) => res,
            Err(_) => Ok(false),
        }
    }

    fn limits(&self) -> CallerLimits {
        self.host.charter.borrow().as_ref().map(|it| it.limits).unwrap_or_default()
    }

    /// Answers bytes that are no whole request.
    async fn send_parse_error(&self, err: &HttpError) {
        let response = match err {
            HttpError::Malformed(_) => ErrorResponse::not_run(400, "the request is not HTTP/1.1"),
            HttpError::HeadTooLong => ErrorResponse::not_run(431, "the head is too long"),
            HttpError::BodyTooLong => ErrorResponse::not_run(413, "the body is too long"),
            HttpError::TimedOut => {
                ErrorResponse::not_run(408, "the request did not arrive in time")
            }
            HttpError::Io(_) | HttpError::Ended | HttpError::Truncated => {
                log::debug!("callers: connection broken error=\"{err}\"");
                return;
            }
        };
        log::info!("callers: bytes refused status={} error=\"{err}\"", response.status);
        if let Err(err) = response.send(&self.connection.writer(), "", true).await {
            log::debug!("callers: refusal not sent error=\"{err}\"");
        }
    }

    /// Ends the connection so that the caller reads all that was written.
    async fn close(mut self) {
        self.connection.end_writing();
        let drain = async {
            while let Ok(true) = self.connection.fill().await {
                let n_bytes = self.connection.buffered().len();
                self.connection.consume(n_bytes);
            }
        };
        if runtime::timeout(LINGER_TIMEOUT, drain).await.is_err() {
            log::debug!("callers: connection closed before the caller closed it");
        }
    }
}
