//! The numbers of the newest documents that an entry host knows.

use serde::{Deserialize, Serialize};

use crate::ids::DocumentNumber;

/// The numbers of the newest documents that an entry host knows; both only rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentNumbers {
    /// Number of the charter in force; 0 without one.
    pub charter: DocumentNumber,
    /// Sum of the newest intended versions of all models, which rises with each publication.
    pub versions: u64,
}

impl DocumentNumbers {
    /// Returns `true` if a document is newer than that of `other`.
    pub fn is_ahead_of(&self, other: &DocumentNumbers) -> bool {
        self.charter > other.charter || self.versions > other.versions
    }
}
