//! Serves the requests of one caller connection until it is closed.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;

use crate::{
    clock,
    entry::{
        count_guard::CountGuard,
        entry_host::EntryHost,
        exchange::{ConnectionReuse, Exchange},
        request_routing,
        unread_request::UnreadRequest,
    },
    http1::{BodyLength, BodyReader, Connection, ConnectionSlot, HttpError, RequestHead},
    memory::{BodyBlocks, BufferLease, BufferSender, BufferedBody, Buffers},
    routing::CallerLimits,
    runtime,
};

/// Time for which a connection is read after the last response. Closing it with unread bytes would
/// reset it, and the caller could lose the end of that response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time before the exit of the process at which a request that has not arrived completely is
/// refused, so that its caller can read the response.
const UNREAD_REFUSAL_MARGIN: Duration = Duration::from_millis(600);
/// Time before the exit of the process at which requests in progress are ended.
const EXIT_RESPONSE_MARGIN: Duration = Duration::from_millis(50);

/// A connection of a caller, whose requests are served one after the other.
pub(crate) struct CallerConnection {
    connection: Connection,
    slot: Arc<ConnectionSlot>,
    host: Rc<EntryHost>,
}

/// A completely received request.
struct CompleteRequest {
    head: RequestHead,
    body: Vec<u8>,
    /// The share of the body in the memory of the process, until the response has ended.
    lease: BufferLease,
    received: Instant,
}

/// The share of the bytes that follow the request being served in the memory of the process. They aren't
/// given up for others, as they may belong to the next request.
struct ReadAhead {
    buffers: Buffers,
    /// The lease of each part.
    leases: RefCell<Vec<BufferLease>>,
}

impl ReadAhead {
    fn new(host: &EntryHost) -> ReadAhead {
        ReadAhead { buffers: host.buffers.clone(), leases: RefCell::default() }
    }

    /// Adds a part that was read; returns `false` if no more may be read, as too much is buffered.
    fn may_keep(&self, n_bytes: usize) -> bool {
        let lease = self.buffers.open(BufferSender::ReadAhead);
        lease.complete();
        let has_room = lease.grow(n_bytes);
        self.leases.borrow_mut().push(lease);
        has_room
    }
}

impl CallerConnection {
    /// Creates the server side of an accepted connection.
    pub(crate) fn new(
        connection: Connection,
        slot: Arc<ConnectionSlot>,
        host: Rc<EntryHost>,
    ) -> CallerConnection {
        CallerConnection { connection, slot, host }
    }

    /// Serves requests until one side closes the connection.
    pub(crate) async fn serve(mut self) {
        loop {
            let request = match self.read_request().await {
                Ok(Some(request)) => request,
                // No response was written lately that the caller could lose, and a request that
                // crosses the close must stay unread, so that its caller can tell.
                Ok(None) => return,
                Err(reason) => {
                    self.connection.drop_buffered();
                    self.refuse_unread(&reason).await;
                    return self.close_after_refusal().await;
                }
            };
            self.slot.begin_exchange();
            if self.handle(request).await == ConnectionReuse::Close {
                return self.close().await;
            }
            self.slot.begin_wait();
        }
    }

    async fn handle(&mut self, request: CompleteRequest) -> ConnectionReuse {
        let CompleteRequest { head, body, lease: _lease, received } = request;
        let closes_connection =
            self.host.departure.since().is_some() || head.headers.has_member("connection", "close");
        let writer = self.connection.writer();
        let host = self.host.clone();
        let _guard = CountGuard::new(host.clone(), |it| &it.n_exchanges);
        let exchange = Exchange::new(host, writer, head, body, received, closes_connection);
        let read_ahead = ReadAhead::new(&self.host);
        let disconnected = async {
            self.connection.wait_until_closed(|n_bytes| read_ahead.may_keep(n_bytes)).await;
            log::debug!("relay: caller disconnected request={}", exchange.request.id);
            ConnectionReuse::Close
        };
        let ended =
            async { Some(Box::pin(request_routing::run(&exchange)).or(disconnected).await) };
        let exit = async {
            exchange.host.departure.wait_until_before_exit(EXIT_RESPONSE_MARGIN).await;
            None
        };
        match ended.or(exit).await {
            Some(reuse) => reuse,
            None => exchange.end_at_exit().await,
        }
    }

    /// Returns the next complete request, or `None` if the connection should be closed.
    async fn read_request(&mut self) -> Result<Option<CompleteRequest>, UnreadRequest> {
        if self.connection.buffered().is_empty() && !self.wait_for_bytes().await? {
            return Ok(None);
        }
        let received = clock::now();
        let limits = self.limits();
        let read = async {
            let lease = self.host.buffers.open(BufferSender::Callers);
            let head = read_head(&mut self.connection, limits.max_head_bytes, lease).await?;
            let length = BodyLength::of_request(&head)?;
            let lease = self.host.buffers.open(BufferSender::Callers);
            let max_bytes = limits.max_body_bytes.min(lease.max_bytes());
            if matches!(length, BodyLength::Fixed(it) if it > max_bytes as u64) {
                return Err(HttpError::BodyTooLong);
            }
            if head.headers.has_member("expect", "100-continue") {
                self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            let reader = BodyReader::new(length);
            let body = read_body(&mut self.connection, reader, max_bytes, lease).await?;
            let (body, lease) = join(body);
            Ok(CompleteRequest { head, body, lease, received })
        };
        let read = async {
            match runtime::timeout(limits.head_timeout * 2, read).await {
                Ok(Err(HttpError::Closed)) => Ok(None),
                Ok(res) => Ok(Some(res?)),
                Err(_) => Err(HttpError::TimedOut.into()),
            }
        };
        let refusal_before_exit = async {
            self.host.departure.wait_until_before_exit(UNREAD_REFUSAL_MARGIN).await;
            Err(UnreadRequest::HostExits)
        };
        read.or(refusal_before_exit).await
    }

    /// Waits for the first byte of a request; returns `false` if the idle connection should be
    /// closed. A leaving host waits in the same way, as callers may still send on connections that they
    /// kept.
    async fn wait_for_bytes(&mut self) -> Result<bool, HttpError> {
        let idle_since = Instant::now();
        let limit_at_start = self.limits().idle_timeout;
        loop {
            // A caller may go by a charter that came into force during the wait.
            let idle_timeout = limit_at_start.max(self.limits().idle_timeout);
            let time_left = idle_timeout.saturating_sub(idle_since.elapsed());
            match runtime::timeout(time_left, self.connection.fill()).await {
                Ok(res) => return res,
                // Bytes may have arrived at the end of the wait.
                Err(_) if self.connection.is_stale() => return self.connection.fill().await,
                Err(_) if time_left.is_zero() => return Ok(false),
                Err(_) => {}
            }
        }
    }

    fn limits(&self) -> CallerLimits {
        self.host.charter.borrow().as_ref().map(|it| it.limits).unwrap_or_default()
    }

    /// Sends the error response for bytes that are not a complete, valid request.
    async fn refuse_unread(&self, reason: &UnreadRequest) {
        let Some(response) = reason.response() else {
            log::debug!("callers: connection to a caller failed error=\"{reason}\"");
            return;
        };
        log::info!(
            "callers: refused an unread request status={} error=\"{reason}\"",
            response.status
        );
        let writer = self.connection.writer();
        let send = response.send(&writer, "", true);
        let res = runtime::timeout(self.limits().head_timeout, send).await;
        if let Err(err) = res.unwrap_or(Err(HttpError::TimedOut)) {
            log::debug!("callers: failed to send an error response error=\"{err}\"");
        }
    }

    /// Closes the connection after leaving the caller time to read the last response.
    ///
    /// A request that crosses the close stays unread, so that its caller can tell that it has not run.
    async fn close(mut self) {
        self.connection.shutdown_write();
        self.slot.begin_wait();
        let peer_end = async {
            if self.connection.wait_for_input().await {
                std::future::pending().await
            }
        };
        let has_ended = runtime::timeout(LINGER_TIMEOUT, peer_end).await.is_ok();
        if !has_ended && self.connection.awaits_ack() {
            self.drain().await;
        }
    }

    /// Closes the connection after a request that was refused before it had arrived; what still arrives
    /// of it is dropped.
    async fn close_after_refusal(mut self) {
        self.connection.shutdown_write();
        self.drain().await;
    }

    async fn drain(&mut self) {
        let drain = async {
            while let Ok(true) = self.connection.fill().await {
                self.connection.drop_buffered();
            }
        };
        if runtime::timeout(LINGER_TIMEOUT, drain).await.is_err() {
            log::debug!("callers: connection closed before the caller closed it");
        }
    }
}

/// Reads a head; fails if it is too long, or is given up before it is complete as the requests of all
/// callers need too much memory.
async fn read_head(
    connection: &mut Connection,
    max_bytes: usize,
    lease: BufferLease,
) -> Result<RequestHead, HttpError> {
    let given_up = async {
        lease.wait_until_given_up().await;
        Err(HttpError::BuffersFull)
    };
    connection.read_request_head_while(max_bytes, |it| lease.grow(it)).or(given_up).await
}

/// Reads a body; fails if it is too long, or is given up as the bodies of all callers need too much
/// memory.
async fn read_body(
    connection: &mut Connection,
    mut reader: BodyReader,
    max_bytes: usize,
    lease: BufferLease,
) -> Result<BufferedBody, HttpError> {
    let mut blocks = BodyBlocks::default();
    loop {
        let old_bytes = blocks.len();
        let given_up = async {
            lease.wait_until_given_up().await;
            Err(HttpError::BuffersFull)
        };
        lease.yield_to_given_up().await;
        if !given_up.or(reader.read(connection, blocks.last_block())).await? {
            return Ok(BufferedBody::new(blocks, lease));
        }
        if blocks.len() > max_bytes {
            return Err(HttpError::BodyTooLong);
        }
        if !lease.grow(blocks.len() - old_bytes) {
            return Err(HttpError::BuffersFull);
        }
    }
}

/// Joins the blocks of a body; each is dropped once it is copied.
fn join(body: BufferedBody) -> (Vec<u8>, BufferLease) {
    let mut bytes = Vec::with_capacity(body.len());
    let (blocks, lease) = body.into_blocks();
    for block in blocks {
        bytes.extend_from_slice(&block);
    }
    (bytes, lease)
}
