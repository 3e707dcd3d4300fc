//! A stand-in for the platform: objects with revisions, watches and the list of hosts.

mod call_counters;
mod host_entry;
mod object_store;
mod platform_behaviour;
mod platform_counts;
mod platform_standin;
mod platform_state;

pub use crate::platform::{
    host_entry::HostEntry, platform_behaviour::PlatformBehaviour, platform_counts::PlatformCounts,
    platform_standin::PlatformStandin,
};
