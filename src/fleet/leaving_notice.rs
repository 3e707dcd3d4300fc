//! The notice that a backend server leaves.

use serde::{Deserialize, Serialize};

use crate::ids::BackendId;

/// Says that a backend server told an entry host in a response that it leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The backend server.
    pub backend: BackendId,
    /// Start time of its process in milliseconds since the Unix epoch, by its entry in the store.
    pub started_ms: u64,
}
