//! The intended version of a model's weights, to which engines switch.

use crate::ids::{Revision, WeightsVersion};

/// The newest intended version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetVersion {
    /// The model.
    pub model: String,
    /// The version.
    pub version: WeightsVersion,
    /// Revision of the store at which it was published.
    pub revision: Revision,
}
