//! The platform's service: objects with revisions and conditional updates.

mod platform_client;

pub use crate::platform::platform_client::{Object, PlatformClient, PlatformError, Precondition};
