//! Small stand-ins for the platform, the origin, the model engine and a plain service.
//!
//! Except for those in [`raw_http`], each counts its requests (`GET /counts`) and injects faults,
//! which are set by a method or over HTTP (`POST /faults` with the fields to change).

mod behaviour;
mod channel_body;
mod engine;
mod http;
mod origin;
mod platform;
pub mod raw_http;
mod service;
mod token_bucket;

pub use crate::{
    engine::{
        expected_answer, EngineBehaviour, EngineCounts, EngineStandin, MIXED_WEIGHTS,
        PARTIAL_WEIGHTS,
    },
    origin::{NewVersion, OriginBehaviour, OriginCounts, OriginStandin, VersionCounts},
    platform::{HostEntry, PlatformBehaviour, PlatformCounts, PlatformStandin},
    service::{ServiceBehaviour, ServiceCounts, ServiceStandin},
};
