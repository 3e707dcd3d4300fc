//! Messages that the processes of the system send to each other as datagrams.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    fleet::{AdmissionMessage, DocumentNumbers, LeavingNotice, LimitNotice, LostEvacuation},
    ids::{HostId, RegionId, WeightsVersion, ZoneId},
    placement::{
        Fingerprint, OwnerCandidate, PartCrash, PartDigest, QuarantinedPart, SuspectedRequest,
        TryId,
    },
};

/// The content of a datagram between two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The state of an entry host, for the other entry hosts.
    Beacon(Beacon),
    /// A message about reservations, between two entry hosts.
    Admission(AdmissionMessage),
    /// The version that an engine serves, from its slot process to the entry hosts.
    EngineNotice(EngineNotice),
    /// The pieces that a slot process has, for the other slot processes.
    PiecesHeld(PiecesHeld),
    /// The manifest of a version, from one slot process to another.
    Manifest(ManifestCopy),
    /// Requests and parts of prompts that are suspected or cleared, from one entry host to the others.
    CrashReport(CrashReport),
    /// A backend server that leaves, from the entry host that it told to the others.
    ServerLeaving(LeavingNotice),
    /// A try of a refused request, from one entry host to the others.
    RequestTry(RequestTry),
    /// Evacuations whose entries the store has lost, from an entry host for those that start.
    LostEvacuations(Vec<LostEvacuation>),
    /// Request limits of backend servers, from one entry host to the others.
    RequestLimits(Vec<LimitNotice>),
}

/// The version that the engine of a slot process serves.
///
/// Entry hosts receive it directly, without waiting for the store to report the change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineNotice {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Start time of the engine in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The number of orders that it has accepted since its start.
    pub n_orders: u64,
    /// The model.
    pub model: String,
    /// Version of which it serves all layers; `None` while it accepts no requests.
    pub serves: Option<WeightsVersion>,
}

/// The manifest of one version: the digests of its pieces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestCopy {
    /// The model.
    pub model: String,
    /// The version.
    pub version: WeightsVersion,
    /// SHA-256 digest of each piece.
    pub digests: Vec<[u8; 32]>,
}

/// The pieces of one version that a slot process has.
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
    /// Numbers of the pieces that the sender has.
    pub pieces: Vec<u16>,
    /// Numbers of the pieces that the sender is fetching from the origin.
    pub fetching: Vec<u16>,
    /// Whether the origin responded to the sender's last request.
    pub reaches_origin: bool,
    /// Whether the sender requests a message of this kind in return.
    pub asks: bool,
}

/// The state of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    /// It has no charter or no list of backend servers yet.
    Starting,
    /// It accepts callers.
    Ready,
    /// It finishes the requests in progress before it exits.
    Leaving,
}

/// The state of an entry host, sent to other entry hosts at regular intervals.
///
/// The newest beacon of a sender replaces all earlier ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender.
    pub host: HostId,
    /// Start time of the sender's process in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Sequence number; increases with each beacon of a process.
    pub number: u64,
    /// Interval in milliseconds at which the sender sends beacons to the receiver.
    pub interval_ms: u32,
    /// State of the sender.
    pub state: EntryState,
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address at which other processes of the system connect.
    pub peers: SocketAddr,
    /// Processor time that the sender gets, in thousandths of a core.
    pub processor_permille: u32,
    /// Whether the sender watches the store directly and has missed no change.
    pub follows_store: bool,
    /// Numbers of the newest documents that the sender knows.
    pub documents: DocumentNumbers,
    /// Region of the sender.
    pub region: RegionId,
    /// Availability zone of the sender.
    pub zone: ZoneId,
    /// Requests during which backend servers broke the connection, perhaps in a crash, as far as the
    /// sender knows.
    pub suspected: Vec<SuspectedRequest>,
    /// Parts of prompts that crash engines.
    pub quarantined: Vec<QuarantinedPart>,
}

impl Beacon {
    /// Returns the sender as a candidate for the ownership of engines.
    pub fn owner_candidate(&self) -> OwnerCandidate {
        OwnerCandidate {
            host: self.host.clone(),
            zone: self.zone.clone(),
            processor_permille: self.processor_permille,
        }
    }
}

/// The claim of an entry host to try a refused request, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTry {
    /// The request.
    pub request: Fingerprint,
    /// Random id of the try.
    pub id: TryId,
    /// Whether the try has ended and said nothing.
    pub is_over: bool,
}

/// What an entry host learned about requests and parts of prompts since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes of engines.
    pub crashes: Vec<PartCrash>,
    /// Suspected parts that engines served.
    pub cleared: Vec<PartDigest>,
    /// Requests that are suspected, or were until now.
    pub requests: Vec<SuspectedRequest>,
}

impl CrashReport {
    /// Adds the time for which the report has waited to the ages in it.
    pub fn add_age(&mut self, age: Duration) {
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        for crash in &mut self.crashes {
            crash.sent_ago_ms = crash.sent_ago_ms.saturating_add(age_ms);
        }
        for request in &mut self.requests {
            request.last_ago_ms = request.last_ago_ms.saturating_add(u64::from(age_ms));
        }
    }
}
