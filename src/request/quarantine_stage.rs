//! Shares the quarantine with all entry hosts through an object of the platform.

use std::sync::{Arc, Mutex};

use async_lock::Mutex as AsyncMutex;
use serde_bytes::ByteBuf;

use crate::{
    charter,
    digest::Digest,
    ids::DocumentNumber,
    node::Node,
    objects::{PlatformError, Precondition},
    peer::{Document, DocumentName},
    request::quarantine::{Quarantine, QuarantineChange, QuarantineStatus},
};

/// Name of the quarantine object on the platform.
const OBJECT_NAME: &str = "quarantine";
/// Maximum number of conditional writes for one batch; after that its changes stay local until the
/// next change is recorded.
const MAX_WRITE_ATTEMPTS: usize = 8;

/// The quarantine, as one entry host sees it.
///
/// Changes apply on this host at once, even while the platform is unavailable, and are written to
/// the platform and sent to the other entry hosts from here.
#[derive(Debug)]
pub(crate) struct QuarantineStage {
    node: Arc<Node>,
    latest: Mutex<Arc<Quarantine>>,
    /// Changes that are not yet written to the platform.
    pending: Mutex<Vec<QuarantineChange>>,
    write_lock: AsyncMutex<()>,
}

impl QuarantineStage {
    /// Creates an empty quarantine.
    pub(crate) fn new(node: Arc<Node>) -> Arc<QuarantineStage> {
        Arc::new(QuarantineStage {
            node,
            latest: Mutex::default(),
            pending: Mutex::default(),
            write_lock: AsyncMutex::new(()),
        })
    }

    /// Returns the status of the request with `fingerprint`, including pending changes.
    pub(crate) fn status_of(&self, fingerprint: &Digest) -> QuarantineStatus {
        let latest = self.latest();
        let pending = self.pending.lock().unwrap();
        if pending.is_empty() {
            return latest.status_of(fingerprint);
        }
        let mut combined = (*latest).clone();
        pending.iter().for_each(|it| combined.apply(it));
        combined.status_of(fingerprint)
    }

    /// Records `change` on this host and, if the platform is available, on all entry hosts.
    ///
    /// Concurrent calls write one at a time; each writes all pending changes in one batch.
    pub(crate) async fn record_change(&self, change: QuarantineChange) {
        self.add_pending(&change);
        let _guard = self.write_lock.lock().await;
        let batch = self.pending.lock().unwrap().clone();
        if !batch.contains(&change) {
            return;
        }
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match self.write_batch(&batch).await {
                Ok(document) => {
                    self.publish(document, batch.len()).await;
                    return;
                }
                Err(PlatformError::Conflict(_)) => continue,
                Err(err) => {
                    log::warn!(
                        "quarantine: failed to write a change; it applies on this host only \
                         error=\"{err}\""
                    );
                    return;
                }
            }
        }
        log::warn!(
            "quarantine: failed to write a change, too many concurrent writes; \
             it applies on this host only"
        );
    }

    fn add_pending(&self, change: &QuarantineChange) {
        let mut pending = self.pending.lock().unwrap();
        if !pending.contains(change) {
            pending.push(change.clone());
        }
    }

    async fn write_batch(&self, batch: &[QuarantineChange]) -> Result<Quarantine, PlatformError> {
        let object = self.node.platform.get(OBJECT_NAME).await?;
        let precondition = match &object {
            Some(it) => Precondition::Revision(it.revision),
            None => Precondition::Absent,
        };
        let value = object.map(|it| it.value).unwrap_or_default();
        let current = Quarantine::parse(&value).unwrap_or_default();
        let mut next = current.clone();
        batch.iter().for_each(|it| next.apply(it));
        if next == current {
            return Ok(current);
        }
        next.number += 1;
        self.node.platform.put(OBJECT_NAME, &to_json(&next), precondition).await?;
        Ok(next)
    }

    /// Applies the written document here, removes its `n_written` changes from `pending` and sends
    /// the document to the other hosts.
    async fn publish(&self, quarantine: Quarantine, n_written: usize) {
        let number: DocumentNumber = quarantine.number;
        let json = ByteBuf::from(to_json(&quarantine));
        let document = Document { name: DocumentName::Quarantine, number, json };
        if let Err(err) = self.node.documents.offer(document.clone()) {
            log::warn!("quarantine: failed to apply a document error=\"{err}\"");
        }
        self.pending.lock().unwrap().drain(..n_written);
        charter::push_document(&self.node, document).await;
    }

    /// Returns the newest received document that could be parsed.
    ///
    /// The parsed document is kept until a newer one is received.
    fn latest(&self) -> Arc<Quarantine> {
        let mut latest = self.latest.lock().unwrap();
        let Some(document) = self.node.documents.document(&DocumentName::Quarantine) else {
            return latest.clone();
        };
        if document.number > latest.number {
            match Quarantine::parse(&document.json) {
                Some(quarantine) => *latest = Arc::new(quarantine),
                None => log::warn!("quarantine: skipped an invalid document"),
            }
        }
        latest.clone()
    }
}

fn to_json(quarantine: &Quarantine) -> Vec<u8> {
    serde_json::to_vec(quarantine).expect("a quarantine has only string keys")
}
