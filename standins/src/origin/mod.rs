//! The origin of weights, with one rate for all that it sends.

mod origin_standin;
mod weights_bytes;

pub use crate::origin::{
    origin_standin::{OriginBehaviour, OriginCounts, OriginStandin, VersionCounts},
    weights_bytes::NewVersion,
};
