//! A stand-in for the platform: objects with revisions, watches and the list of hosts.

mod object_store;
mod platform_standin;

pub use crate::platform::platform_standin::{
    HostEntry, PlatformBehaviour, PlatformCounts, PlatformStandin,
};
