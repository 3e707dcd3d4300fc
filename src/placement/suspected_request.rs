//! What one entry host tells the others of a request that may crash backend servers.

use serde::{Deserialize, Serialize};

use crate::placement::Fingerprint;

/// Digest of a backend server and its start, which a crash ends.
pub type CrashId = u64;

/// Random id of a try of a refused request.
pub type TryId = u64;

/// A request during which backend servers broke the connection.
///
/// The lists only grow, so a report that is lost, late or repeated changes nothing in the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectedRequest {
    /// The request.
    pub request: Fingerprint,
    /// The crashes.
    pub crashes: Vec<CrashId>,
    /// Those before a response that succeeded.
    pub cleared: Vec<CrashId>,
    /// Tries of the refused request that did not succeed.
    pub failed_tries: Vec<TryId>,
    /// Time since the last of them, in milliseconds, when this is passed on.
    pub last_ago_ms: u64,
}

/// Returns the id of the crash that ends a start of a backend server.
pub fn crash_id(backend: &str, started_ms: u64) -> CrashId {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&started_ms.to_le_bytes());
    hasher.update(backend.as_bytes());
    let mut prefix = [0; 8];
    hasher.finalize_xof().fill(&mut prefix);
    u64::from_le_bytes(prefix)
}
