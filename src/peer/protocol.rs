//! Messages and calls between processes of the system.
//!
//! Documents travel as JSON inside a message, so that a process that knows fewer fields can still
//! pass a document on unchanged.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{
    digest::Digest,
    ids::{DocumentNumber, HostId, Incarnation, PoolId},
    membership::{CharterReport, HostReport, MemberRecord},
    weights::ChunkBytes,
};

/// Names a document of which every process keeps the greatest number it has seen.
///
/// Its text is the name of its object at the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DocumentName {
    /// The charter.
    Charter,
    /// The state of one pool's rollout.
    Pool(PoolId),
    /// Fingerprints of requests that crash backend servers.
    Quarantine,
}

impl fmt::Display for DocumentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DocumentName::Charter => f.write_str("charter"),
            DocumentName::Pool(pool) => write!(f, "pools/{pool}"),
            DocumentName::Quarantine => f.write_str("quarantine"),
        }
    }
}

/// A document with its number; `json` is the document's text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Which document.
    pub name: DocumentName,
    /// Number of the document.
    pub number: DocumentNumber,
    /// JSON text.
    pub json: ByteBuf,
}

/// The number of one document that a process holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDigest {
    /// Which document.
    pub name: DocumentName,
    /// Its greatest number seen.
    pub number: DocumentNumber,
}

/// One gossip message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipExchange {
    /// The sender.
    pub from: HostId,
    /// Address of the sender for calls between processes.
    pub from_address: SocketAddr,
    /// Numbers of the documents that the sender holds.
    pub documents: Vec<DocumentDigest>,
    /// Order-independent hash of the sender's membership view.
    pub membership_hash: u64,
    /// Membership events that the sender still passes on.
    pub events: Vec<MemberRecord>,
}

/// Answer to a gossip message, with the same content from the other side.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipReply {
    /// The answering host.
    pub from: HostId,
    /// Numbers of the documents that the answering process holds.
    pub documents: Vec<DocumentDigest>,
    /// Order-independent hash of its membership view.
    pub membership_hash: u64,
    /// Membership events that it still passes on.
    pub events: Vec<MemberRecord>,
    /// Hosts of the exchange's events that it knew already.
    pub known: Vec<HostId>,
    /// Whether it does not know the sender and asks for its record.
    pub wants_sender: bool,
}

/// Asks which chunks of a manifest a process holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HaveRequest {
    /// The asking host.
    pub from: HostId,
    /// Digest of the manifest.
    pub manifest_digest: Digest,
    /// Chunks are numbered in the order in which the answering host got them; earlier ones are known.
    pub known: u32,
    /// Time in milliseconds to wait for news; 0 asks for an answer at once.
    pub wait_ms: u32,
}

/// Asks for the text of a manifest.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ManifestRequest {
    /// Digest of the manifest.
    pub manifest_digest: Digest,
    /// Time in milliseconds to wait for the manifest to come; 0 asks for an answer at once.
    pub wait_ms: u32,
}

/// Chunk indexes that a process got since the last answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HaveResponse {
    /// Number of chunks held in all.
    pub total: u32,
    /// Indexes got since `known`, in order; smaller `total` than `known` means that the host restarted.
    pub since: Vec<u32>,
}

/// Asks for one chunk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The asking host.
    pub from: HostId,
    /// Digest of the chunk's bytes.
    pub chunk_digest: Digest,
    /// Time in milliseconds to wait for the chunk to come; 0 asks for an answer at once.
    pub wait_ms: u32,
}

/// Answer to a request for a chunk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ChunkResponse {
    /// The chunk, not yet verified by the receiver.
    Chunk {
        /// Bytes of the chunk.
        bytes: ChunkBytes,
        /// Uploads that still wait at the answering host.
        queued: u32,
    },
    /// All upload slots are taken; ask again later or elsewhere.
    Busy,
    /// The host does not hold the chunk.
    Missing,
}

/// Who answers at an address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The host.
    pub host: HostId,
    /// Its start number.
    pub incarnation: Incarnation,
}

/// Answer to a probe of a third host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeResponse {
    /// The host answered.
    Alive,
    /// The host did not answer in time, or another one answered at its address.
    Silent,
}

/// Calls that every process answers.
#[tarpc::service]
pub trait Peer {
    /// Exchanges document numbers and membership events.
    async fn exchange(exchange: GossipExchange) -> GossipReply;
    /// Gives the whole membership view.
    async fn members() -> Vec<MemberRecord>;
    /// Gives some records of the parts of the membership view whose hashes differ.
    async fn differing_members(bucket_hashes: Vec<u64>) -> Vec<MemberRecord>;
    /// Gives a document, if held.
    async fn document(name: DocumentName) -> Option<Document>;
    /// Offers a document; the answer is the greatest number held afterwards.
    async fn offer(document: Document) -> DocumentNumber;
    /// Offers one membership event that does not wait for gossip.
    async fn announce(record: MemberRecord);
    /// Tells who answers.
    async fn ping() -> Identity;
    /// Probes the host that is expected at `address` on behalf of the caller.
    async fn probe(host: HostId, address: SocketAddr) -> ProbeResponse;
    /// Tells an entry host what has changed on the calling host.
    async fn report(report: HostReport);
    /// Gives the charter numbers that hosts reported.
    async fn charter_reports() -> Vec<CharterReport>;
    /// Gives the bytes of a manifest, if held.
    async fn manifest(request: ManifestRequest) -> Option<ByteBuf>;
    /// Gives the chunks held.
    async fn have(request: HaveRequest) -> Option<HaveResponse>;
    /// Gives one chunk.
    async fn chunk(request: ChunkRequest) -> ChunkResponse;
}
