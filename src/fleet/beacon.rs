//! Datagrams between processes of the system.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, RegionId, WeightsVersion, ZoneId};

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// An entry host tells the others about itself.
    Beacon(Beacon),
    /// A slot process tells entry hosts what its engine serves.
    EngineNotice(EngineNotice),
    /// A slot process tells others which pieces it holds.
    PiecesHeld(PiecesHeld),
    /// A slot process passes on the manifest of a version.
    Manifest(ManifestCopy),
}

/// What the engine of a slot process serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineNotice {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Start of the engine, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Orders that it has accepted since then.
    pub n_orders: u64,
    /// The model.
    pub model: String,
    /// Version that it serves with all layers; absent while it takes no requests.
    pub serves: Option<WeightsVersion>,
}

/// The manifest of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestCopy {
    /// The model.
    pub model: String,
    /// The version.
    pub version: WeightsVersion,
    /// SHA-256 of each piece.
    pub digests: Vec<[u8; 32]>,
}

/// The pieces of one version that a slot process holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PiecesHeld {
    /// Availability zone of the sender.
    pub zone: ZoneId,
    /// The model.
    pub model: String,
    /// The version.
    pub version: WeightsVersion,
    /// Whether the sender has the manifest.
    pub has_manifest: bool,
    /// Numbers of the pieces.
    pub pieces: Vec<u16>,
    /// Pieces that the sender is fetching from the origin.
    pub fetching: Vec<u16>,
    /// Whether the origin answered the sender's last call.
    pub reaches_origin: bool,
    /// Whether the sender asks for an answer of the same kind.
    pub asks: bool,
}

/// State of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    /// It has no charter or no list of backend servers yet.
    Starting,
    /// It takes callers.
    Ready,
    /// It finishes what is in progress.
    Leaving,
}

/// What an entry host tells the others; the newest of a sender replaces all earlier ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender.
    pub host: HostId,
    /// Start of the sender's process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Rises with each message of a process.
    pub number: u64,
    /// State of the sender.
    pub state: EntryState,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other processes of the system connect.
    pub peers: SocketAddr,
    /// Whether the sender follows the store itself, without a gap.
    pub follows_store: bool,
    /// Region of the sender.
    pub region: RegionId,
    /// Availability zone of the sender.
    pub zone: ZoneId,
    /// Requests in progress at engines, sent by the sender.
    pub loads: Vec<EngineLoad>,
    /// Requests that were lost at backend servers.
    pub losses: Vec<LossCount>,
}

/// Backend servers at which one entry host has lost a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossCount {
    /// Digest of the request.
    pub fingerprint: u64,
    /// Backend servers.
    pub n_backends: u32,
}

/// What one entry host has in progress at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Requests in progress.
    pub n_requests: u16,
    /// Prompt tokens of requests whose first event has not come.
    pub unread_tokens: u32,
}
