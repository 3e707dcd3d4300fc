//! What is known about one host of the deployment.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    ids::{HostId, Incarnation, PoolId, RegionId, ServiceId, SwitchNumber, ZoneId},
};

/// What the process on a host does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostRole {
    /// Takes requests from callers.
    Entry,
    /// Stands before a model engine of the pool.
    Engine(PoolId),
    /// Stands before a plain service.
    Service(ServiceId),
}

/// Life cycle of a host as the others see it; later states win within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HostState {
    /// Started, takes no requests yet.
    Joining,
    /// Takes requests.
    Live,
    /// Missed probes; counts as gone when others confirm it.
    Suspect,
    /// Takes no new requests and finishes those in progress.
    Leaving,
    /// No longer takes part.
    Gone,
}

/// How far one backend server host has come with the weights of its pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsStatus {
    /// Manifest digests whose weights are complete and verified in memory.
    pub verified: Vec<Digest>,
    /// Manifest digest of the version that the engine confirmed to have loaded.
    pub loaded: Option<Digest>,
    /// Switches that the host has acknowledged in the prepare step, one a pool.
    pub prepared: Vec<PreparedSwitch>,
    /// Switch number in force on the host.
    pub switch_number: SwitchNumber,
    /// Rises with every change that the host makes to this status.
    pub sequence: u64,
}

/// Acknowledgement of a coming switch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreparedSwitch {
    /// The pool.
    pub pool: PoolId,
    /// Number that the switch will have.
    pub switch_number: SwitchNumber,
}

impl WeightsStatus {
    /// Whether the host has acknowledged the switch of `pool` to `switch_number` or a later one.
    pub fn has_prepared(&self, pool: &str, switch_number: SwitchNumber) -> bool {
        self.prepared.iter().any(|it| it.pool == pool && it.switch_number >= switch_number)
    }

    /// Acknowledges the switch of `pool` to `switch_number`.
    pub fn prepare(&mut self, pool: &str, switch_number: SwitchNumber) {
        if self.has_prepared(pool, switch_number) {
            return;
        }
        self.prepared.retain(|it| it.pool != pool);
        self.prepared.push(PreparedSwitch { pool: pool.to_owned(), switch_number });
    }
}

/// Everything that one host tells about itself; only the host raises `incarnation` and `sequence`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The host.
    pub host: HostId,
    /// What its process does.
    pub role: HostRole,
    /// Region of the host.
    pub region: RegionId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address for calls between processes of the system.
    pub peer_address: SocketAddr,
    /// Address for requests: callers' at an entry host, entry hosts' at a slot.
    pub request_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Start number of the host.
    pub incarnation: Incarnation,
    /// Rises with every change that the host makes to its own record, except to `weights`.
    pub sequence: u64,
    /// Life cycle of the host.
    pub state: HostState,
    /// Weights held and loaded; unused by entry hosts, except `prepared` and `switch_number`.
    pub weights: WeightsStatus,
}

impl MemberRecord {
    /// Whether `self` replaces `other` for the same host.
    ///
    /// Precondition: both records name the same host.
    ///
    /// The status of the weights has its own order, see `has_newer_weights`.
    pub fn is_newer_than(&self, other: &MemberRecord) -> bool {
        let own = (self.incarnation, self.sequence, self.state);
        own > (other.incarnation, other.sequence, other.state)
    }

    /// Whether the status of the weights in `self` replaces that in `other`.
    pub(crate) fn has_newer_weights(&self, other: &MemberRecord) -> bool {
        let own = (self.incarnation, self.weights.sequence);
        own > (other.incarnation, other.weights.sequence)
    }

    /// Whether both differ in nothing but the status of the weights.
    pub(crate) fn differs_in_weights_only(&self, other: &MemberRecord) -> bool {
        MemberRecord { weights: other.weights.clone(), ..self.clone() } == *other
    }
}
