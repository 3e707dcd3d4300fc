//! A stand-in for the origin of weights, with one rate limit for all responses.

mod new_version;
mod origin_standin;

pub use crate::origin::{
    new_version::NewVersion,
    origin_standin::{OriginBehaviour, OriginCounts, OriginStandin, VersionCounts},
};
