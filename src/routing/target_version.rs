//! The version of a model's weights that is to be served.

use crate::ids::{Revision, WeightsVersion};

/// The newest named version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetVersion {
    /// The model.
    pub model: String,
    /// The version.
    pub version: WeightsVersion,
    /// Revision at which it was named.
    pub revision: Revision,
}
