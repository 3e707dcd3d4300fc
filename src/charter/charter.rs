//! The charter: the customers of each pool and service, and the intended version of each pool.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds, DurationSeconds};

use crate::{
    digest::Digest,
    ids::{CustomerId, DocumentNumber, HostId, PatchId, PoolId, ServiceId, VersionId},
};

/// The configuration that operators change by patches; every accepted patch increments `number`.
///
/// Fields of a newer release are ignored here. They stay in the text of the document, which is
/// what processes exchange. `charter_patch` refuses a patch that sets an unknown field.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Charter {
    /// Number of the charter, which increases by one with every accepted patch.
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
    /// Service levels that the burn report measures.
    #[serde(default)]
    pub service_levels: ServiceLevels,
    /// The latest accepted patches, oldest first; at most `RECENT_PATCHES`.
    #[serde(default)]
    pub recent_patches: Vec<AcceptedPatch>,
    /// Ids of patches that were reported as refused, oldest first; at most `RECENT_PATCHES`.
    #[serde(default)]
    pub refused_patches: Vec<PatchId>,
}

/// Maximum number of accepted patches, and of refused ones, that a charter records.
pub const RECENT_PATCHES: usize = 64;

/// Configuration of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// Intended version, which every host of the pool must serve.
    pub version: VersionId,
    /// Customers that share the pool.
    pub customers: Vec<CustomerId>,
    /// Hosts of the pool; empty means every backend server host with this pool in its settings.
    #[serde(default)]
    pub hosts: Vec<HostId>,
    /// Smallest share of the hosts, in percent, that keeps serving during a rollout, 0 to 50.
    ///
    /// All customers switch at the same time, and an engine can load only one version, so at most
    /// one half of the hosts can serve both before and after a switch.
    #[serde(default = "default_min_serving_percent")]
    pub min_serving_percent: u32,
}

/// Configuration of one plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Whether calls are idempotent; other calls need an idempotency key.
    pub repeatable: bool,
    /// Customers that may call the service; empty means all.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// Number of shards over which the claims of idempotency keys are spread by the hash of the
    /// key.
    ///
    /// More shards cause more writes to the platform.
    #[serde(default = "default_claim_shards")]
    pub claim_shards: u32,
    /// Time for which the outcome of a call is stored and a retry may use its key.
    #[serde(default = "default_claim_window")]
    #[serde(with = "serde_with::As::<DurationSeconds<u64>>")]
    pub claim_window_s: Duration,
}

/// Configuration of one customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerSpec {
    /// Weight that determines the customer's share of a busy pool relative to other customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// BLAKE3 digest of the customer's bearer token.
    pub token_digest: Digest,
    /// Maximum number of the customer's requests in progress at one entry host.
    #[serde(default = "default_max_in_progress")]
    pub max_in_progress: u32,
}

/// Whether the endgame of a rollout favours a short duration or little origin traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutMode {
    /// Lagging hosts may request further copies of missing chunks from the origin.
    #[default]
    TimeFirst,
    /// The origin sends each chunk only once, as long as any host still has it.
    OriginFirst,
}

/// How new weights are rolled out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutSpec {
    /// Whether the endgame favours a short duration or little origin traffic.
    pub mode: RolloutMode,
    /// Maximum number of copies of the weights that the origin sends, 1 to 4.
    pub origin_copies: u32,
}

/// Service levels that the charter guarantees to each customer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceLevels {
    /// Minimum share of requests that are answered, in percent.
    pub answered_percent: f64,
    /// Minimum share of requests whose first token arrives within `first_token_ms`, in percent.
    pub first_token_percent: f64,
    /// Maximum time until the first token of a request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_token_ms: Duration,
    /// Maximum time until every live host of a pool has loaded a new version.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub time_to_all_s: Duration,
    /// Maximum time until an accepted charter is in force on every live host.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub charter_in_force_s: Duration,
    /// Maximum ratio of a customer's mean wait to the shortest one among customers of equal weight.
    pub equal_wait_ratio: f64,
}

/// A patch that was applied to the charter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedPatch {
    /// Idempotency key that the operator sent.
    pub id: PatchId,
    /// Number of the charter that resulted from the patch.
    pub number: DocumentNumber,
    /// Digest of the patch and its base number; see `PatchRequest::digest`.
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
