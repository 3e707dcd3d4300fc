//! The charter: which customers share which pools and which version each pool serves.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds, DurationSeconds};

use crate::{
    digest::Digest,
    ids::{CustomerId, DocumentNumber, HostId, PatchId, PoolId, ServiceId, VersionId},
};

/// The document that operators patch; every accepted patch raises `number` by one.
///
/// A field of a newer release is passed over here and stays in the document's text, which is what
/// travels; an operator's patch that sets an unknown field is refused by `charter_patch`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Charter {
    /// Rises by one with every accepted patch.
    pub number: DocumentNumber,
    /// Pools of model engines.
    #[serde(default)]
    pub pools: BTreeMap<PoolId, PoolSpec>,
    /// Plain services.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Customers that may send requests.
    #[serde(default)]
    pub customers: BTreeMap<CustomerId, CustomerSpec>,
    /// How new weights are rolled out.
    #[serde(default)]
    pub rollout: RolloutSpec,
    /// Outcomes that the burn report measures.
    #[serde(default)]
    pub service_levels: ServiceLevels,
    /// The latest accepted patches, oldest first; at most `RECENT_PATCHES`.
    #[serde(default)]
    pub recent_patches: Vec<AcceptedPatch>,
    /// Ids that were reported as refused, oldest first; at most `RECENT_PATCHES`.
    #[serde(default)]
    pub refused_patches: Vec<PatchId>,
}

/// Number of accepted patches that a charter remembers.
pub const RECENT_PATCHES: usize = 64;

/// Terms of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// Version that every host of the pool is to serve.
    pub version: VersionId,
    /// Customers that share the pool.
    pub customers: Vec<CustomerId>,
    /// Hosts of the pool; empty means every backend server host whose settings name the pool.
    #[serde(default)]
    pub hosts: Vec<HostId>,
    /// Smallest share of the hosts, in percent, that keeps serving during a rollout, 0 to 50.
    ///
    /// All customers switch at one point, and an engine holds one version, so more than one half
    /// can't serve on both sides of a switch.
    #[serde(default = "default_min_serving_percent")]
    pub min_serving_percent: u32,
}

/// Terms of one plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Whether a call may be repeated without harm; other calls need an idempotency key.
    pub repeatable: bool,
    /// Customers that may call the service; empty means all.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// Number of claim shards; the platform writes grow with it.
    #[serde(default = "default_claim_shards")]
    pub claim_shards: u32,
    /// Time for which an outcome is remembered and a key may be used again.
    #[serde(default = "default_claim_window")]
    #[serde(with = "serde_with::As::<DurationSeconds<u64>>")]
    pub claim_window_s: Duration,
}

/// Terms of one customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerSpec {
    /// Share of a busy pool in proportion to the other customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// BLAKE3 digest of the customer's bearer token.
    pub token_digest: Digest,
    /// Requests of the customer that one entry host keeps in progress at most.
    #[serde(default = "default_max_in_progress")]
    pub max_in_progress: u32,
}

/// What the endgame of a rollout favours.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutMode {
    /// Lagging hosts may ask the origin for further copies of missing chunks.
    #[default]
    TimeFirst,
    /// The origin sends each chunk once while any host still holds it.
    OriginFirst,
}

/// How new weights are rolled out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutSpec {
    /// What the endgame favours.
    pub mode: RolloutMode,
    /// Copies of the weights that the origin sends at most, 1 to 4.
    pub origin_copies: u32,
}

/// Outcomes that the charter promises to each customer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceLevels {
    /// Share of requests that get an answer, in percent.
    pub answered_percent: f64,
    /// Share of requests whose first token comes within `first_token_ms`, in percent.
    pub first_token_percent: f64,
    /// Limit for the first token.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_token_ms: Duration,
    /// Limit for the time until every host serves a new version.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub time_to_all_s: Duration,
    /// Limit for the time until an accepted charter is in force on every host.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub charter_in_force_s: Duration,
    /// Greatest allowed ratio of the worst to the best customer's wait at equal weight.
    pub equal_wait_ratio: f64,
}

/// A patch that took effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedPatch {
    /// The operator's idempotency key.
    pub id: PatchId,
    /// Number of the charter that the patch made.
    pub number: DocumentNumber,
    /// Digest of what the patch asked for.
    #[serde(default)]
    pub digest: Option<Digest>,
}

impl Default for RolloutSpec {
    fn default() -> RolloutSpec {
        RolloutSpec { mode: RolloutMode::TimeFirst, origin_copies: 2 }
    }
}

impl Default for ServiceLevels {
    fn default() -> ServiceLevels {
        ServiceLevels {
            answered_percent: 99.9,
            first_token_percent: 95.0,
            first_token_ms: Duration::from_millis(360),
            time_to_all_s: Duration::from_secs(300),
            charter_in_force_s: Duration::from_secs(20),
            equal_wait_ratio: 1.1,
        }
    }
}

fn default_min_serving_percent() -> u32 {
    50
}

pub(crate) fn default_claim_shards() -> u32 {
    8
}

fn default_claim_window() -> Duration {
    Duration::from_secs(24 * 3600)
}

fn default_weight() -> u32 {
    1
}

fn default_max_in_progress() -> u32 {
    1000
}
