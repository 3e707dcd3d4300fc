//! Keeps the greatest number seen of each document and never goes back.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use event_listener::{Event, EventListener};
use quick_error::quick_error;

use crate::{
    charter::Charter,
    ids::{DocumentNumber, PoolId},
    peer::{Document, DocumentDigest, DocumentName},
    rollout::PoolDocument,
};

quick_error! {
    /// Why a document was refused.
    #[derive(Debug)]
    pub enum DocumentError {
        /// The text is not what its name promises.
        Malformed(name: DocumentName, err: serde_json::Error) {
            source(err)
            display("the document {name:?} can't be read: {err}; the sender may run a newer release")
        }
        /// The number beside the document differs from the number inside it.
        Number(name: DocumentName, outside: DocumentNumber, inside: DocumentNumber) {
            display("the document {name:?} is sent as number {outside} but says {inside}")
        }
    }
}

/// The greatest number seen of each document, with its parsed form.
#[derive(Debug, Default)]
pub struct DocumentStore {
    held: Mutex<Held>,
    changed: Event,
}

#[derive(Debug, Default)]
struct Held {
    documents: BTreeMap<DocumentName, Document>,
    charter: Option<Arc<Charter>>,
    pools: BTreeMap<PoolId, Arc<PoolDocument>>,
}

impl DocumentStore {
    /// Makes a store without documents.
    pub fn new() -> DocumentStore {
        DocumentStore::default()
    }

    /// Takes `document` if its number is greater than the held one's; says whether it was taken.
    pub fn offer(&self, document: Document) -> Result<bool, DocumentError> {
        let parsed = Parsed::of(&document)?;
        let mut held = self.held.lock().unwrap();
        if held.documents.get(&document.name).is_some_and(|it| it.number >= document.number) {
            return Ok(false);
        }
        match parsed {
            Parsed::Charter(charter) => held.charter = Some(Arc::new(charter)),
            Parsed::Pool(pool) => {
                held.pools.insert(pool.pool.clone(), Arc::new(pool));
            }
            Parsed::Text => {}
        }
        held.documents.insert(document.name.clone(), document);
        drop(held);
        self.changed.notify(usize::MAX);
        Ok(true)
    }

    /// The charter, if one is known.
    pub fn charter(&self) -> Option<Arc<Charter>> {
        self.held.lock().unwrap().charter.clone()
    }

    /// Number of the charter held; 0 without one.
    pub fn charter_number(&self) -> DocumentNumber {
        self.charter().map_or(0, |it| it.number)
    }

    /// The state of a pool, if known.
    pub fn pool(&self, pool: &str) -> Option<Arc<PoolDocument>> {
        self.held.lock().unwrap().pools.get(pool).cloned()
    }

    /// A document as it travels.
    pub fn document(&self, name: &DocumentName) -> Option<Document> {
        self.held.lock().unwrap().documents.get(name).cloned()
    }

    /// Numbers of all documents held.
    pub fn digests(&self) -> Vec<DocumentDigest> {
        let held = self.held.lock().unwrap();
        let digest = |it: &Document| DocumentDigest { name: it.name.clone(), number: it.number };
        held.documents.values().map(digest).collect()
    }

    /// Names of the documents in `theirs` that are greater than the held ones.
    pub fn missing(&self, theirs: &[DocumentDigest]) -> Vec<DocumentName> {
        let held = self.held.lock().unwrap();
        let number = |name: &DocumentName| held.documents.get(name).map_or(0, |it| it.number);
        let newer = theirs.iter().filter(|it| it.number > number(&it.name));
        newer.map(|it| it.name.clone()).collect()
    }

    /// Listens for the next change; call before reading, then wait.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}

enum Parsed {
    Charter(Charter),
    Pool(PoolDocument),
    Text,
}

impl Parsed {
    fn of(document: &Document) -> Result<Parsed, DocumentError> {
        let malformed = |err| DocumentError::Malformed(document.name.clone(), err);
        let (parsed, inside) = match &document.name {
            DocumentName::Charter => {
                let charter: Charter = serde_json::from_slice(&document.json).map_err(malformed)?;
                let number = charter.number;
                (Parsed::Charter(charter), number)
            }
            DocumentName::Pool(_) => {
                let pool: PoolDocument =
                    serde_json::from_slice(&document.json).map_err(malformed)?;
                let number = pool.number;
                (Parsed::Pool(pool), number)
            }
            DocumentName::Quarantine => (Parsed::Text, document.number),
        };
        if inside != document.number {
            return Err(DocumentError::Number(document.name.clone(), document.number, inside));
        }
        Ok(parsed)
    }
}
