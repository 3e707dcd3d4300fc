//! The documents that every process stores: the charter, the pools and the quarantine.

mod document_store;

pub use crate::documents::document_store::{DocumentError, DocumentStore};
