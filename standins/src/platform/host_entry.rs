//! One entry of the platform's list of hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One entry of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The id of the host.
    pub host: String,
    /// `entry` or `backend`.
    pub role: String,
    /// The region of the host.
    pub region: String,
    /// The availability zone of the host.
    pub zone: String,
    /// `live` or `leaving`.
    pub state: String,
    /// The address for calls from other processes.
    pub peer_address: SocketAddr,
}
