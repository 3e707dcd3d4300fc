//! A store that keeps the document with the greatest number of each name, never an older one.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use event_listener::{Event, EventListener};
use quick_error::quick_error;
use serde::Deserialize;

use crate::{
    charter::Charter,
    ids::{DocumentNumber, PoolId},
    peer::{Document, DocumentDigest, DocumentName},
    rollout::PoolDocument,
};

quick_error! {
    /// An error for a document that was refused or can't be put in force.
    #[derive(Debug)]
    pub enum DocumentError {
        /// The content is not a JSON object with a valid number.
        Malformed(name: DocumentName, err: serde_json::Error) {
            source(err)
            display("the document {name} is invalid: {err}; correct it and publish it again")
        }
        /// The document is stored and sent to peers, but this release can't decode it, so it is not
        /// in force here.
        Unsupported(name: DocumentName, number: DocumentNumber, err: serde_json::Error) {
            source(err)
            display("the document {name} number {number} is sent to peers but not in force on this host: {err}; upgrade this host")
        }
        /// The number sent with the document differs from the number inside it.
        NumberMismatch(name: DocumentName, outside: DocumentNumber, inside: DocumentNumber) {
            display("the document {name} was sent as number {outside} but contains number {inside}; publish it again with one number")
        }
    }
}

/// A store of the latest documents, raw and parsed, that notifies its listeners of changes.
///
/// A document is replaced only by one with a greater number.
#[derive(Debug, Default)]
pub struct DocumentStore {
    inner: Mutex<Inner>,
    changed: Event,
}

#[derive(Debug, Default)]
struct Inner {
    is_joining: bool,
    documents: BTreeMap<DocumentName, Document>,
    charter: Option<Arc<Charter>>,
    pools: BTreeMap<PoolId, Arc<PoolDocument>>,
}

impl DocumentStore {
    /// Creates an empty store.
    pub fn new() -> DocumentStore {
        DocumentStore::default()
    }

    /// Stores `document` if its number is greater than the stored one; returns `true` if it did.
    ///
    /// A document that this release can't decode is stored too, so that it is sent to peers, and
    /// the result is `DocumentError::Unsupported`; the previous document stays in force.
    pub fn offer(&self, document: Document) -> Result<bool, DocumentError> {
        check_number(&document)?;
        let mut inner = self.inner.lock().unwrap();
        if inner.documents.get(&document.name).is_some_and(|it| it.number >= document.number) {
            return Ok(false);
        }
        let parsed = ParsedDocument::of(&document);
        let (name, number) = (document.name.clone(), document.number);
        inner.documents.insert(name.clone(), document);
        let res = match parsed {
            Ok(parsed) => {
                inner.apply_parsed(parsed);
                Ok(true)
            }
            Err(err) => Err(DocumentError::Unsupported(name, number, err)),
        };
        drop(inner);
        self.changed.notify(usize::MAX);
        res
    }

    /// Hides the documents until `end_join`, if the store is empty.
    pub(crate) fn begin_join(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.is_joining = inner.documents.is_empty();
    }

    /// Makes the documents visible, with the greatest numbers offered so far.
    pub(crate) fn end_join(&self) {
        self.inner.lock().unwrap().is_joining = false;
        self.changed.notify(usize::MAX);
    }

    /// Returns `true` if the documents are hidden because the join is still in progress.
    pub fn is_joining(&self) -> bool {
        self.inner.lock().unwrap().is_joining
    }

    /// Returns the charter in force, if any; `None` during a join.
    pub fn charter(&self) -> Option<Arc<Charter>> {
        let inner = self.inner.lock().unwrap();
        inner.charter.clone().filter(|_| !inner.is_joining)
    }

    /// Returns the number of the charter in force; 0 without one.
    pub fn charter_number(&self) -> DocumentNumber {
        self.charter().map_or(0, |it| it.number)
    }

    /// Returns the document of a pool, if any; `None` during a join.
    pub fn pool(&self, pool: &str) -> Option<Arc<PoolDocument>> {
        let inner = self.inner.lock().unwrap();
        inner.pools.get(pool).cloned().filter(|_| !inner.is_joining)
    }

    /// Returns the raw document as it is sent to peers, also during a join.
    pub fn document(&self, name: &DocumentName) -> Option<Document> {
        self.inner.lock().unwrap().documents.get(name).cloned()
    }

    /// Returns the name and number of each stored document.
    pub fn digests(&self) -> Vec<DocumentDigest> {
        let inner = self.inner.lock().unwrap();
        let digest = |it: &Document| DocumentDigest { name: it.name.clone(), number: it.number };
        inner.documents.values().map(digest).collect()
    }

    /// Returns the names of documents with a greater number in `peer_digests` than in this store.
    pub fn outdated(&self, peer_digests: &[DocumentDigest]) -> Vec<DocumentName> {
        let inner = self.inner.lock().unwrap();
        let number = |name: &DocumentName| inner.documents.get(name).map_or(0, |it| it.number);
        let newer = peer_digests.iter().filter(|it| it.number > number(&it.name));
        newer.map(|it| it.name.clone()).collect()
    }

    /// Returns a listener for the next change.
    ///
    /// Call this before reading the store, so that no change between read and wait is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}

impl Inner {
    fn apply_parsed(&mut self, parsed: ParsedDocument) {
        match parsed {
            ParsedDocument::Charter(charter) => self.charter = Some(Arc::new(charter)),
            ParsedDocument::Pool(pool) => {
                self.pools.insert(pool.pool.clone(), Arc::new(pool));
            }
            ParsedDocument::Unparsed => {}
        }
    }
}

enum ParsedDocument {
    Charter(Charter),
    Pool(PoolDocument),
    Unparsed,
}

impl ParsedDocument {
    fn of(document: &Document) -> Result<ParsedDocument, serde_json::Error> {
        match &document.name {
            DocumentName::Charter => {
                Ok(ParsedDocument::Charter(serde_json::from_slice(&document.json)?))
            }
            DocumentName::Pool(_) => {
                Ok(ParsedDocument::Pool(serde_json::from_slice(&document.json)?))
            }
            DocumentName::Quarantine => Ok(ParsedDocument::Unparsed),
        }
    }
}

/// The field that documents of every release have.
#[derive(Deserialize)]
struct DocumentHeader {
    number: DocumentNumber,
}

fn check_number(document: &Document) -> Result<(), DocumentError> {
    let malformed = |err| DocumentError::Malformed(document.name.clone(), err);
    if !document.json.trim_ascii_start().starts_with(b"{") {
        return Err(malformed(serde::de::Error::custom("expected a JSON object")));
    }
    let header: DocumentHeader = serde_json::from_slice(&document.json).map_err(malformed)?;
    if header.number != document.number {
        let name = document.name.clone();
        return Err(DocumentError::NumberMismatch(name, document.number, header.number));
    }
    Ok(())
}
