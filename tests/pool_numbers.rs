//! The document store keeps the version of each document with the greatest number.

use crocustiller::{
    documents::DocumentStore,
    peer::{Document, DocumentName},
    rollout::{PoolDocument, RolloutStep},
};
use serde_bytes::ByteBuf;

#[test]
fn smaller_number_is_refused() {
    let store = DocumentStore::new();
    assert!(store.offer(pool_document(3)).unwrap());
    assert!(!store.offer(pool_document(2)).unwrap());
    assert_eq!(store.pool("chat").unwrap().number, 3);
}

#[test]
fn number_mismatch_is_an_error() {
    let store = DocumentStore::new();
    let document = Document { number: 9, ..pool_document(3) };
    assert!(store.offer(document).is_err());
    assert_eq!(store.pool("chat"), None);
}

fn pool_document(number: u64) -> Document {
    let pool = PoolDocument {
        number,
        pool: "chat".to_owned(),
        serving: None,
        target: None,
        switch_number: 0,
        step: RolloutStep::Steady,
    };
    let json = ByteBuf::from(serde_json::to_vec(&pool).unwrap());
    Document { name: DocumentName::Pool("chat".to_owned()), number, json }
}
