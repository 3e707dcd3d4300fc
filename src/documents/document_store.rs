//! Keeps the greatest number seen of each document and never goes back.

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
    /// Why a document was refused.
    #[derive(Debug)]
    pub enum DocumentError {
        /// The text is not what its name promises.
        Malformed(name: DocumentName, err: serde_json::Error) {
            source(err)
            display("the document {name} can't be read: {err}")
        }
        /// The document is kept and passed on, but this release can't bring it into force.
        Unsupported(name: DocumentName, number: DocumentNumber, err: serde_json::Error) {
            source(err)
            display("the document {name} number {number} is passed on but not in force here: {err}; upgrade this host")
        }
        /// The number beside the document differs from the number inside it.
        NumberMismatch(name: DocumentName, outside: DocumentNumber, inside: DocumentNumber) {
            display("the document {name} is sent as number {outside} but says {inside}")
        }
    }
}

/// The greatest number seen of each document, with its parsed form.
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
    /// Makes a store without documents.
    pub fn new() -> DocumentStore {
        DocumentStore::default()
    }

    /// Takes `document` if its number is greater than the held one's; says whether it was taken.
    ///
    /// A document that this release can't read is kept and passed on all the same, and the error
    /// says so; what was in force before stays in force.
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

    /// Hides the documents until `end_join`, if none is known yet.
    pub(crate) fn begin_join(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.is_joining = inner.documents.is_empty();
    }

    /// Shows the greatest documents that were offered so far.
    pub(crate) fn end_join(&self) {
        self.inner.lock().unwrap().is_joining = false;
        self.changed.notify(usize::MAX);
    }

    /// Whether the documents are hidden, as several peers are still being asked.
    pub fn is_joining(&self) -> bool {
        self.inner.lock().unwrap().is_joining
    }

    /// The charter, if one is known.
    pub fn charter(&self) -> Option<Arc<Charter>> {
        let inner = self.inner.lock().unwrap();
        inner.charter.clone().filter(|_| !inner.is_joining)
    }

    /// Number of the charter held; 0 without one.
    pub fn charter_number(&self) -> DocumentNumber {
        self.charter().map_or(0, |it| it.number)
    }

    /// The state of a pool, if known.
    pub fn pool(&self, pool: &str) -> Option<Arc<PoolDocument>> {
        let inner = self.inner.lock().unwrap();
        inner.pools.get(pool).cloned().filter(|_| !inner.is_joining)
    }

    /// A document as it travels.
    pub fn document(&self, name: &DocumentName) -> Option<Document> {
        self.inner.lock().unwrap().documents.get(name).cloned()
    }

    /// Numbers of all documents held.
    pub fn digests(&self) -> Vec<DocumentDigest> {
        let inner = self.inner.lock().unwrap();
        let digest = |it: &Document| DocumentDigest { name: it.name.clone(), number: it.number };
        inner.documents.values().map(digest).collect()
    }

    /// Names of the documents in `theirs` that are greater than the held ones.
    pub fn outdated(&self, peer_digests: &[DocumentDigest]) -> Vec<DocumentName> {
        let inner = self.inner.lock().unwrap();
        let number = |name: &DocumentName| inner.documents.get(name).map_or(0, |it| it.number);
        let newer = peer_digests.iter().filter(|it| it.number > number(&it.name));
        newer.map(|it| it.name.clone()).collect()
    }

    /// Listens for the next change; call before reading, then wait.
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

/// What every document has, whatever the release that wrote it.
#[derive(Deserialize)]
struct DocumentHeader {
    number: DocumentNumber,
}

fn check_number(document: &Document) -> Result<(), DocumentError> {
    let malformed = |err| DocumentError::Malformed(document.name.clone(), err);
    if !document.json.trim_ascii_start().starts_with(b"{") {
        return Err(malformed(serde::de::Error::custom("a JSON object is needed")));
    }
    let header: DocumentHeader = serde_json::from_slice(&document.json).map_err(malformed)?;
    if header.number != document.number {
        let name = document.name.clone();
        return Err(DocumentError::NumberMismatch(name, document.number, header.number));
    }
    Ok(())
}
