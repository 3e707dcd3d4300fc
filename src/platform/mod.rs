//! The platform's service: objects with revisions and conditional updates.

mod document_watch;
mod platform_client;

pub use crate::platform::{
    document_watch::{choose_watchers, DocumentWatch},
    platform_client::{ListedHost, Object, PlatformClient, PlatformError, Precondition},
};
