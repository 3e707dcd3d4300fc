//! Serves the store's objects and changes to the processes that watch it through this host.

use std::{
    io,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use async_executor::Task;
use async_io::Async;
use futures_lite::FutureExt;

use crate::{
    entry::entry_host::EntryHost,
    http1::{accept_all, Connection, ConnectionSlot, HttpError, PortConnections, SmallResponse},
    memory::{BufferSender, Buffers},
    net::listen::listen,
    platform::wire_objects,
    runtime,
};

/// Longest head of a request.
const MAX_HEAD_BYTES: usize = 4 << 10;
/// Time for which a connection may be idle, or a response unread, before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for which a watch waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Starts to serve requests at the address for peers, on at most `max_connections`.
pub(crate) fn start(host: &Rc<EntryHost>, max_connections: usize) -> io::Result<Task<()>> {
    let listener = Async::new(listen(host.settings.peers)?)?;
    let host = host.clone();
    let connections = PortConnections::new("peers", max_connections);
    let accept =
        accept_all(listener, connections, move |it, slot| serve_logged(host.clone(), it, slot));
    Ok(runtime::spawn_local(accept))
}

async fn serve_logged(host: Rc<EntryHost>, connection: Connection, slot: Arc<ConnectionSlot>) {
    if let Err(err) = serve(&host, connection, &slot).await {
        log::debug!("fleet: connection to a store watcher failed error=\"{err}\"");
    }
}

async fn serve(
    host: &EntryHost,
    mut connection: Connection,
    slot: &ConnectionSlot,
) -> Result<(), HttpError> {
    loop {
        let head = connection.read_request_head(MAX_HEAD_BYTES);
        let head = match runtime::timeout(IDLE_TIMEOUT, head).await {
            Ok(Err(HttpError::Closed)) | Err(_) => return Ok(()),
            Ok(res) => res?,
        };
        slot.begin_exchange();
        let bytes = handle(host, &head.target).await.to_bytes();
        slot.begin_wait();
        let write = write_leased(&connection, &bytes, &host.buffers);
        runtime::timeout(IDLE_TIMEOUT, write).await.map_err(|_| HttpError::TimedOut)??;
    }
}

/// Writes a response, which is given up if too much is buffered while its reader delays it. One that is
/// longer than a buffer may be counts as one of that length, as lists have no limit.
async fn write_leased(
    connection: &Connection,
    bytes: &[u8],
    buffers: &Buffers,
) -> Result<(), HttpError> {
    let lease = buffers.open(BufferSender::Responses);
    lease.grow(bytes.len().min(lease.max_bytes()));
    lease.wait_for_caller();
    let given_up = async {
        lease.wait_until_given_up().await;
        Err(HttpError::BuffersFull)
    };
    connection.write(bytes).or(given_up).await
}

async fn handle(host: &EntryHost, target: &str) -> SmallResponse {
    let Some(query) = wire_objects::decode_query(target) else {
        return SmallResponse::status(404);
    };
    let cache = &host.cache;
    let contact = || host.sources.contact().ages(Instant::now());
    let res = match query.changes_after {
        None => cache.listing(&query.kind).map(|it| wire_objects::encode_listing(&it, contact())),
        Some((at, wait)) => {
            let changes = cache.changes(&query.kind, at, wait.min(MAX_WAIT)).await;
            changes.map(|it| wire_objects::encode_changes(&it, contact()))
        }
    };
    res.unwrap_or_else(|err| wire_objects::encode_failure(&err))
}
