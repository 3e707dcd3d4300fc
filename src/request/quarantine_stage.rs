//! Shares what is known against requests with all entry hosts.

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
    request::quarantine::{Quarantine, QuarantineChange, Standing},
};

/// Name of the platform object.
const OBJECT: &str = "quarantine";
/// Tries to write the object before the change stays on this host only.
const MAX_WRITES: usize = 8;

/// The quarantine as one entry host knows it.
#[derive(Debug)]
pub(crate) struct QuarantineStage {
    node: Arc<Node>,
    shared: Mutex<Arc<Quarantine>>,
    /// Changes that the platform has not taken yet.
    pending: Mutex<Vec<QuarantineChange>>,
    writing: AsyncMutex<()>,
}

impl QuarantineStage {
    /// Knows nothing against any request.
    pub(crate) fn new(node: Arc<Node>) -> Arc<QuarantineStage> {
        Arc::new(QuarantineStage {
            node,
            shared: Mutex::default(),
            pending: Mutex::default(),
            writing: AsyncMutex::new(()),
        })
    }

    /// How the request with `fingerprint` is to be treated.
    pub(crate) fn standing(&self, fingerprint: &Digest) -> Standing {
        let shared = self.shared();
        let pending = self.pending.lock().unwrap();
        if pending.is_empty() {
            return shared.standing(fingerprint);
        }
        let mut joined = (*shared).clone();
        pending.iter().for_each(|it| joined.apply(it));
        joined.standing(fingerprint)
    }

    /// Notes `change` here and, as far as the platform answers, on all entry hosts.
    pub(crate) async fn note(&self, change: QuarantineChange) {
        self.add_pending(&change);
        let _guard = self.writing.lock().await;
        let batch = self.pending.lock().unwrap().clone();
        if !batch.contains(&change) {
            return;
        }
        for _ in 0..MAX_WRITES {
            match self.write(&batch).await {
                Ok(document) => {
                    self.publish(document, batch.len()).await;
                    return;
                }
                Err(PlatformError::Conflict(_)) => continue,
                Err(err) => {
                    log::warn!("quarantine: change known on this host only error=\"{err}\"");
                    return;
                }
            }
        }
        log::warn!("quarantine: change known on this host only, too many others write");
    }

    fn add_pending(&self, change: &QuarantineChange) {
        let mut pending = self.pending.lock().unwrap();
        if !pending.contains(change) {
            pending.push(change.clone());
        }
    }

    async fn write(&self, batch: &[QuarantineChange]) -> Result<Quarantine, PlatformError> {
        let object = self.node.platform.get(OBJECT).await?;
        let precondition = match &object {
            Some(it) => Precondition::Revision(it.revision),
            None => Precondition::Absent,
        };
        let value = object.map(|it| it.value).unwrap_or_default();
        let current: Quarantine = serde_json::from_slice(&value).unwrap_or_default();
        let mut next = current.clone();
        batch.iter().for_each(|it| next.apply(it));
        if next == current {
            return Ok(current);
        }
        next.number += 1;
        self.node.platform.put(OBJECT, &to_json(&next), precondition).await?;
        Ok(next)
    }

    /// Takes the written document, forgets the changes in it and tells the other entry hosts.
    async fn publish(&self, quarantine: Quarantine, n_written: usize) {
        let number: DocumentNumber = quarantine.number;
        let json = ByteBuf::from(to_json(&quarantine));
        let document = Document { name: DocumentName::Quarantine, number, json };
        if let Err(err) = self.node.documents.offer(document.clone()) {
            log::warn!("quarantine: document refused error=\"{err}\"");
        }
        self.pending.lock().unwrap().drain(..n_written);
        charter::push_document(&self.node, document).await;
    }

    /// The newest document held, parsed once.
    fn shared(&self) -> Arc<Quarantine> {
        let mut shared = self.shared.lock().unwrap();
        let Some(document) = self.node.documents.document(&DocumentName::Quarantine) else {
            return shared.clone();
        };
        if document.number > shared.number {
            match serde_json::from_slice(&document.json) {
                Ok(quarantine) => *shared = Arc::new(quarantine),
                Err(err) => log::warn!("quarantine: document can't be read error=\"{err}\""),
            }
        }
        shared.clone()
    }
}

fn to_json(quarantine: &Quarantine) -> Vec<u8> {
    serde_json::to_vec(quarantine).expect("a quarantine has only string keys")
}
