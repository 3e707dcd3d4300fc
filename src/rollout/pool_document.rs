//! The document that stores the progress of a pool's rollout.

use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    ids::{DocumentNumber, HostId, PoolId, SwitchNumber, VersionId},
};

/// A version of weights, identified by the digest of its manifest.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightsTarget {
    /// Name of the version at the origin.
    pub version: VersionId,
    /// Digest of the manifest's bytes.
    pub manifest_digest: Digest,
}

/// The step that a pool's rollout has reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub enum RolloutStep {
    /// The target version is served; hosts that still have another version load the target.
    Steady,
    /// All hosts fetch and verify the target while the old version is served.
    Stage,
    /// The listed hosts drain and load the target; they receive no requests until the switch.
    FirstWave {
        /// Hosts of the first wave.
        hosts: Vec<HostId>,
    },
    /// Live hosts acknowledge the next switch number.
    Prepare {
        /// Hosts of the first wave, which serve after the switch.
        hosts: Vec<HostId>,
    },
}

/// The rollout state of one pool.
///
/// It is changed only by conditional update at the platform, so that concurrent deciders can't
/// both take a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDocument {
    /// Number of the document, which increases by one with every change.
    pub number: DocumentNumber,
    /// Name of the pool.
    pub pool: PoolId,
    /// Version that serves requests; none until the first rollout is complete.
    pub serving: Option<WeightsTarget>,
    /// Version that the pool is rolling out or rolled out most recently.
    pub target: Option<WeightsTarget>,
    /// Switch number, which increases by one with every switch to the target.
    pub switch_number: SwitchNumber,
    /// Current step of the rollout.
    pub step: RolloutStep,
}
