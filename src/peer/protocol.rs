//! The messages and calls of the peer protocol.
//!
//! A document is sent as JSON text inside a message. A process of an older release, which does not
//! have all of the document's fields, can therefore forward it unchanged.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{
    digest::Digest,
    ids::{DocumentNumber, HostId, Incarnation, PoolId},
    membership::{CharterReport, HostReport, MemberRecord},
    weights::ChunkBytes,
};

/// The name of a replicated document.
///
/// Each process keeps the document with the greatest number that it has received. The text form is
/// the name of the document's object in the platform's object service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DocumentName {
    /// The charter.
    Charter,
    /// The rollout state of a pool.
    Pool(PoolId),
    /// The fingerprints of requests that crash backend servers.
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

/// A numbered document as JSON text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The name of the document.
    pub name: DocumentName,
    /// The number of this revision of the document.
    pub number: DocumentNumber,
    /// The JSON text of the document.
    pub json: ByteBuf,
}

/// The name and the number of a document that a process has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDigest {
    /// The name of the document.
    pub name: DocumentName,
    /// The greatest number that the process has received.
    pub number: DocumentNumber,
}

/// A gossip message.
///
/// The two sides compare document numbers and membership hashes to find what one of them lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipExchange {
    /// The sending host.
    pub from: HostId,
    /// The address at which the sender accepts calls from other processes.
    pub from_address: SocketAddr,
    /// The numbers of the documents that the sender has.
    pub documents: Vec<DocumentDigest>,
    /// An order-independent hash of the sender's membership view.
    pub membership_hash: u64,
    /// The membership events that the sender still spreads by gossip.
    pub events: Vec<MemberRecord>,
}

/// The response to a gossip message, with the receiver's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipReply {
    /// The responding host.
    pub from: HostId,
    /// The numbers of the documents that the responding host has.
    pub documents: Vec<DocumentDigest>,
    /// An order-independent hash of its membership view.
    pub membership_hash: u64,
    /// The membership events that it still spreads by gossip.
    pub events: Vec<MemberRecord>,
    /// The hosts of those events of the exchange that it already had.
    pub known: Vec<HostId>,
    /// Whether it has no record of the sender and requests one.
    pub wants_sender: bool,
}

/// A request for the list of a manifest's chunks that a process has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HaveRequest {
    /// The requesting host.
    pub from: HostId,
    /// The digest of the manifest.
    pub manifest_digest: Digest,
    /// The number of chunks that earlier responses listed.
    ///
    /// The responding host lists chunks in the order in which it received them and skips this many.
    pub known: u32,
    /// The time in milliseconds to wait for further chunks; 0 requests an immediate response.
    pub wait_ms: u32,
}

/// A request for the text of a manifest.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ManifestRequest {
    /// The digest of the manifest.
    pub manifest_digest: Digest,
    /// The time in milliseconds to wait until the responding host has the manifest; 0 requests an
    /// immediate response.
    pub wait_ms: u32,
}

/// The indexes of the chunks that a process received since an earlier response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HaveResponse {
    /// The number of chunks that the process has.
    pub total: u32,
    /// The indexes of the chunks after the first `known`, in the order in which they were received.
    ///
    /// A `total` smaller than `known` means that the host restarted.
    pub since: Vec<u32>,
}

/// A request for a chunk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The requesting host.
    pub from: HostId,
    /// The digest of the chunk's bytes.
    pub chunk_digest: Digest,
    /// The time in milliseconds to wait until the responding host has the chunk; 0 requests an
    /// immediate response.
    pub wait_ms: u32,
}

/// The response to a request for a chunk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ChunkResponse {
    /// The chunk; the receiver must verify its digest.
    Chunk {
        /// The bytes of the chunk.
        bytes: ChunkBytes,
        /// The number of other uploads that the responding host has not finished.
        queued: u32,
    },
    /// All upload slots are in use; retry later or at another host.
    Busy,
    /// The host does not have the chunk.
    Missing,
}

/// The identity of the process that serves an address.
///
/// It lets a caller detect that another host, or a restarted one, now uses the address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The host.
    pub host: HostId,
    /// The incarnation of the host, which grows with each start.
    pub incarnation: Incarnation,
}

/// The result of a probe of a third host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeResponse {
    /// The host responded.
    Alive,
    /// The host did not respond in time, or another host responded at its address.
    Silent,
}

/// The calls that every process serves.
#[tarpc::service]
pub trait Peer {
    /// Exchanges document numbers and membership events.
    async fn exchange(exchange: GossipExchange) -> GossipReply;
    /// Returns all records of the membership view.
    async fn members() -> Vec<MemberRecord>;
    /// Returns a random selection of the records in those buckets of the membership view whose hashes
    /// differ from `bucket_hashes`.
    async fn differing_members(bucket_hashes: Vec<u64>) -> Vec<MemberRecord>;
    /// Returns a document, or `None` if the process has none of that name.
    async fn document(name: DocumentName) -> Option<Document>;
    /// Offers a document and returns the number of the document that the process then has.
    async fn offer(document: Document) -> DocumentNumber;
    /// Sends a membership event directly, without waiting for the next gossip exchange.
    async fn announce(record: MemberRecord);
    /// Returns the identity of the process.
    async fn ping() -> Identity;
    /// Checks on behalf of the caller whether `host` responds at `address`.
    async fn probe(host: HostId, address: SocketAddr) -> ProbeResponse;
    /// Reports the state of the calling host to an entry host.
    async fn report(report: HostReport);
    /// Returns the numbers of the charters that hosts have reported as in force.
    async fn charter_reports() -> Vec<CharterReport>;
    /// Returns the bytes of a manifest, or `None` if the process does not have it.
    async fn manifest(request: ManifestRequest) -> Option<ByteBuf>;
    /// Returns the chunks that the process has, or `None` if it does not have the manifest.
    async fn have(request: HaveRequest) -> Option<HaveResponse>;
    /// Returns a chunk, or why it was not sent.
    async fn chunk(request: ChunkRequest) -> ChunkResponse;
}
