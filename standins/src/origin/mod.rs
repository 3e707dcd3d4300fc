//! The origin of weights, with one rate for all that it sends.

mod new_version;
mod origin_standin;

pub use crate::origin::{
    new_version::NewVersion,
    origin_standin::{OriginBehaviour, OriginCounts, OriginStandin, VersionCounts},
};
