//! Serves manifests and verified pieces to other slot processes, one piece after the other.
//!
//! The engine's streams use the same network link of the host, so pieces are sent in small slices
//! below its rate: a queue on the link would delay every event of every stream.

use std::{cell::Cell, io, net::TcpListener, rc::Rc, sync::Arc, time::Duration};

use async_executor::Task;
use async_io::Async;

use crate::{
    http1::{
        accept_all, Connection, ConnectionLimits, ConnectionSlot, HttpError, PortConnections,
        ResponseHead,
    },
    platform::origin_api::encode_manifest,
    runtime,
    slot::{slot_state::SlotState, PieceStore},
    weights::LinkBudget,
};

/// Share of the rate of the host's network link that pieces may use.
const LINK_SHARE: f64 = 0.88;
/// Time after which a connection is closed if a write has not ended, as other slots may wait for
/// their pieces.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The number of bytes in one write.
const SLICE_BYTES: usize = 8 << 10;
/// Longest head of a request.
const MAX_HEAD_BYTES: usize = 4 << 10;
/// Time for which a connection may be idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of requests that wait while a piece is sent; further ones are refused, so
/// that their senders request the piece from another slot.
const MAX_QUEUED_REQUESTS: u32 = 2;
/// Status of the response to a request beyond `MAX_QUEUED_REQUESTS`.
pub(crate) const STATUS_BUSY: u16 = 503;
/// Minimum share of the permitted rate that pieces use, in percent.
const MIN_SHARE_PERCENT: u32 = 100;

/// An HTTP server at the address for peers, from which other slots copy manifests and pieces.
pub(crate) struct PieceServer {
    task: Task<()>,
}

/// The state that all connections share: the upload lock, the link budget and the queue length.
struct UploadQueue {
    slot: Rc<SlotState>,
    /// Held while a piece is sent; pieces are sent one at a time, in the order of the requests.
    upload_lock: async_lock::Mutex<()>,
    budget: LinkBudget,
    /// The number of requests that wait for `upload_lock`.
    n_queued: Cell<u32>,
}

impl PieceServer {
    /// Starts the server.
    pub(crate) fn listen(slot: &Rc<SlotState>) -> io::Result<PieceServer> {
        let listener = Async::<TcpListener>::bind(slot.settings.peers)?;
        let rate = (slot.engine_settings.link_bytes_per_s as f64 * LINK_SHARE) as u64;
        let queue = Rc::new(UploadQueue {
            slot: slot.clone(),
            upload_lock: async_lock::Mutex::new(()),
            budget: LinkBudget::new(rate, rate, MIN_SHARE_PERCENT),
            n_queued: Cell::new(0),
        });
        let limits = ConnectionLimits::of_process(slot.settings.n_descriptors);
        let connections = PortConnections::new("pieces", limits.peers);
        let accept =
            accept_all(listener, connections, move |it, place| serve(queue.clone(), it, place));
        Ok(PieceServer { task: runtime::spawn_local(accept) })
    }

    /// Stops the server.
    pub(crate) async fn close(self) {
        self.task.cancel().await;
    }
}

/// Returns the request path of a manifest.
pub(crate) fn manifest_path(model: &str, version: u64) -> String {
    format!("/manifest/{model}/{version}")
}

/// Returns the request path of a piece.
pub(crate) fn piece_path(model: &str, version: u64, number: u32) -> String {
    format!("/piece/{model}/{version}/{number}")
}

async fn serve(queue: Rc<UploadQueue>, connection: Connection, place: Arc<ConnectionSlot>) {
    if let Err(err) = queue.serve(connection, &place).await {
        log::debug!("weights: connection to another slot failed error=\"{err}\"");
    }
}

impl UploadQueue {
    async fn serve(
        &self,
        mut connection: Connection,
        place: &ConnectionSlot,
    ) -> Result<(), HttpError> {
        loop {
            place.begin_wait();
            let head = connection.read_request_head(MAX_HEAD_BYTES);
            let head = match runtime::timeout(IDLE_TIMEOUT, head).await {
                Ok(Err(HttpError::Closed)) | Err(_) => return Ok(()),
                Ok(res) => res?,
            };
            place.begin_exchange();
            if let Some(manifest) = self.encoded_manifest(&head.target) {
                send_head(&connection, 200, manifest.len()).await?;
                write(&connection, &manifest).await?;
                continue;
            }
            if self.n_queued.get() >= MAX_QUEUED_REQUESTS {
                send_head(&connection, STATUS_BUSY, 0).await?;
                continue;
            }
            self.n_queued.set(self.n_queued.get() + 1);
            let _upload = self.upload_lock.lock().await;
            self.n_queued.set(self.n_queued.get() - 1);
            let Some(body) = self.stored_piece(&head.target) else {
                send_head(&connection, 404, 0).await?;
                continue;
            };
            send_head(&connection, 200, body.len()).await?;
            for slice in body.chunks(SLICE_BYTES) {
                self.budget.send(slice.len() as u64).await;
                write(&connection, slice).await?;
            }
        }
    }

    /// Returns the encoded manifest at a path; manifests are short, so they are sent without
    /// queueing.
    fn encoded_manifest(&self, target: &str) -> Option<Vec<u8>> {
        let piece_stores = self.slot.piece_stores.borrow();
        let piece_store =
            piece_stores.values().find(|it| target == manifest_path(&it.model, it.version))?;
        Some(encode_manifest(piece_store.version, &piece_store.manifest))
    }

    fn stored_piece(&self, target: &str) -> Option<Vec<u8>> {
        let piece_stores = self.slot.piece_stores.borrow();
        piece_stores.values().find_map(|it| stored_piece(it, target))
    }
}

async fn send_head(connection: &Connection, status: u16, n_bytes: usize) -> Result<(), HttpError> {
    let mut head = ResponseHead::new(status, "-");
    head.headers.push("Content-Length", n_bytes.to_string());
    write(connection, &head.to_bytes()).await
}

async fn write(connection: &Connection, bytes: &[u8]) -> Result<(), HttpError> {
    let write = runtime::timeout(WRITE_TIMEOUT, connection.write(bytes)).await;
    write.map_err(|_| HttpError::TimedOut)?
}

fn stored_piece(piece_store: &PieceStore, target: &str) -> Option<Vec<u8>> {
    let (_, number) = target.rsplit_once('/')?;
    let number = number.parse().ok()?;
    if target != piece_path(&piece_store.model, piece_store.version, number) {
        return None;
    }
    piece_store.get(number).map(|it| it.to_vec())
}
