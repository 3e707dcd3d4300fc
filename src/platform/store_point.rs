//! A point in the history of the store.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{Revision, StoreGeneration};

/// A point in the history of the store.
///
/// When the store comes back from an older copy of itself, it gives revisions out again, so a
/// revision names a point only within one generation. Points of a later generation are later,
/// whatever their revisions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePoint {
    /// The generation; 0 if the source does not tell it.
    #[serde(default)]
    pub generation: StoreGeneration,
    /// The revision.
    #[serde(rename = "at")]
    pub revision: Revision,
}

impl fmt::Display for StorePoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.generation, self.revision)
    }
}
