//! The object service of the product's own frame: objects with revisions and conditional updates.

mod document_watch;
mod platform_client;

pub use crate::objects::{
    document_watch::{choose_watchers, DocumentWatch},
    platform_client::{ListedHost, Object, PlatformClient, PlatformError, Precondition},
};
