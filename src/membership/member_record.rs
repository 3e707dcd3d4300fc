//! The membership record of one host.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    ids::{HostId, Incarnation, PoolId, RegionId, ServiceId, SwitchNumber, ZoneId},
};

/// The role of the process on a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostRole {
    /// Accepts requests from callers.
    Entry,
    /// Serves as the slot of a model engine of the pool.
    Engine(PoolId),
    /// Serves as the slot of a backend server that is a service.
    Service(ServiceId),
}

/// The lifecycle state of a host as other hosts see it.
///
/// Between records with the same incarnation and sequence, the later variant replaces the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HostState {
    /// Started, but does not accept requests yet.
    Joining,
    /// Accepts requests.
    Live,
    /// Failed direct and indirect probes; becomes `Gone` when a further check confirms it.
    Suspect,
    /// Accepts no new requests and finishes those in progress.
    Leaving,
    /// No longer part of the deployment.
    Gone,
}

/// The weights that a backend server host has verified, loaded and prepared to switch to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsStatus {
    /// Manifest digests whose weights are complete and verified in memory.
    pub verified: Vec<Digest>,
    /// Manifest digest of the version that the engine confirmed to have loaded.
    pub loaded: Option<Digest>,
    /// Switches that the host has acknowledged in the prepare step, at most one per pool.
    pub prepared: Vec<PreparedSwitch>,
    /// Switch number in force on the host.
    pub switch_number: SwitchNumber,
    /// Incremented with every change that the host makes to this status.
    pub sequence: u64,
}

/// An acknowledgement that a host is ready for a switch in the prepare step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreparedSwitch {
    /// Pool whose switch is acknowledged.
    pub pool: PoolId,
    /// Switch number that will come into force.
    pub switch_number: SwitchNumber,
}

impl WeightsStatus {
    /// Returns `true` if the host has acknowledged switch `switch_number` of `pool` or a later one.
    pub fn has_acknowledged(&self, pool: &str, switch_number: SwitchNumber) -> bool {
        self.prepared.iter().any(|it| it.pool == pool && it.switch_number >= switch_number)
    }

    /// Acknowledges switch `switch_number` of `pool`, unless this or a later one is acknowledged.
    pub fn acknowledge(&mut self, pool: &str, switch_number: SwitchNumber) {
        if self.has_acknowledged(pool, switch_number) {
            return;
        }
        self.prepared.retain(|it| it.pool != pool);
        self.prepared.push(PreparedSwitch { pool: pool.to_owned(), switch_number });
    }
}

/// The state that one host publishes about itself through gossip and reports.
///
/// Only the host itself raises `incarnation` and `sequence`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Id of the host.
    pub host: HostId,
    /// Role of the process on the host.
    pub role: HostRole,
    /// Region of the host.
    pub region: RegionId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address for calls between processes of the system.
    pub peer_address: SocketAddr,
    /// Address for requests: from callers at an entry host, from entry hosts at a slot.
    pub request_address: SocketAddr,
    /// Address for requests from operators.
    pub operator_address: SocketAddr,
    /// Number that is greater after each start of the host and after each refuted suspicion.
    pub incarnation: Incarnation,
    /// Incremented with every change that the host makes to its own record, except to `weights`.
    pub sequence: u64,
    /// Lifecycle state of the host.
    pub state: HostState,
    /// Status of the weights; entry hosts use only `prepared` and `switch_number`.
    pub weights: WeightsStatus,
}

impl MemberRecord {
    /// Returns `true` if `self` is newer than `other`, apart from the status of the weights.
    ///
    /// Both records must be of the same host. The status of the weights is versioned separately,
    /// see `has_newer_weights`.
    pub fn is_newer_than(&self, other: &MemberRecord) -> bool {
        let own = (self.incarnation, self.sequence, self.state);
        own > (other.incarnation, other.sequence, other.state)
    }

    /// Returns `true` if the status of the weights in `self` is newer than the one in `other`.
    pub(crate) fn has_newer_weights(&self, other: &MemberRecord) -> bool {
        let own = (self.incarnation, self.weights.sequence);
        own > (other.incarnation, other.weights.sequence)
    }

    /// Returns `true` if both records are equal apart from the status of the weights.
    pub(crate) fn eq_ignoring_weights(&self, other: &MemberRecord) -> bool {
        MemberRecord { weights: other.weights.clone(), ..self.clone() } == *other
    }
}
