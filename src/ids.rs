//! Aliases for the identifiers and numbers that cross module borders.

/// Names one host of the deployment; unique over both roles.
pub type HostId = String;
/// Names a region of the deployment.
pub type RegionId = String;
/// Names an availability zone of a region.
pub type ZoneId = String;
/// Names a pool of model engines in the charter.
pub type PoolId = String;
/// Names a plain service in the charter.
pub type ServiceId = String;
/// Names a customer in the charter.
pub type CustomerId = String;
/// Names a version of model weights at the origin.
pub type VersionId = String;
/// Names one request; given by the caller or made by the entry host.
pub type RequestId = String;
/// Names one charter patch; the operator's idempotency key.
pub type PatchId = String;
/// Number of a document; a greater number replaces a smaller one.
pub type DocumentNumber = u64;
/// Number of a pool's switch; rises by one with every change of the serving version.
pub type SwitchNumber = u64;
/// Revision that the platform gives to an object, the subject of conditional updates.
pub type Revision = u64;
/// Start number of a host; rises when the host restarts or refutes a suspicion.
pub type Incarnation = u64;
/// Names one start of a backend server.
pub type BackendId = String;
/// Number of a version of model weights; a greater number is newer.
pub type WeightsVersion = u64;
