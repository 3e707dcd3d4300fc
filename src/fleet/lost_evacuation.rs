//! The message about evacuations whose entries the store has lost.

use serde::{Deserialize, Serialize};

use crate::ids::ZoneId;

/// An evacuation whose entry is missing in an older copy of the store, from an entry host that knows of it
/// for those that start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostEvacuation {
    /// The evacuated zone.
    pub zone: ZoneId,
    /// Time since the store came back without the entry, in milliseconds.
    pub lost_ago_ms: u32,
}
