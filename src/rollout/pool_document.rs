//! The document that says how far the rollout of one pool has come.

use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    ids::{DocumentNumber, HostId, PoolId, SwitchNumber, VersionId},
};

/// A version of weights, fixed by the digest of its manifest.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightsTarget {
    /// Name of the version at the origin.
    pub version: VersionId,
    /// Digest of the manifest's bytes.
    pub manifest_digest: Digest,
}

/// How far the rollout of a pool has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub enum RolloutStep {
    /// The target version serves; hosts that still hold another load it.
    Steady,
    /// All hosts fetch and verify the target while the old version serves.
    Stage,
    /// The named hosts drain, load the target and get no requests yet.
    FirstWave {
        /// Hosts of the first wave.
        hosts: Vec<HostId>,
    },
    /// Live hosts acknowledge the coming switch.
    Prepare {
        /// Hosts of the first wave, which serve from the switch on.
        hosts: Vec<HostId>,
    },
}

/// State of one pool; changed only by conditional update at the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDocument {
    /// Rises by one with every change.
    pub number: DocumentNumber,
    /// The pool.
    pub pool: PoolId,
    /// Version that answers requests now; none before the first rollout ends.
    pub serving: Option<WeightsTarget>,
    /// Version that the pool goes to.
    pub target: Option<WeightsTarget>,
    /// Rises by one with every change of `serving`.
    pub switch_number: SwitchNumber,
    /// How far the rollout has come.
    pub step: RolloutStep,
}
