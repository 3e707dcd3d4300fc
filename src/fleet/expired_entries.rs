//! Changes of the table of backend servers that come with time.

use crate::{ids::BackendId, routing::BackendServer};

/// The entries that time has removed from, or added to, the table of backend servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExpiredEntries {
    /// Entries that lapsed in an outage of the store and were not registered again.
    pub removed: Vec<BackendId>,
    /// Restored entries that were held back, and that the store has kept.
    pub confirmed: Vec<BackendServer>,
}
