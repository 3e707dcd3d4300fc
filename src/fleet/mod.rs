//! What one process believes of the deployment, learned from the store and from peers.

mod backend_table;
mod beacon;
mod canary;
pub(crate) mod entry_registry;
mod kind_cache;
mod kind_watch;
mod named_versions;
mod outage;
mod peer_table;
mod sources;
mod version_table;

pub(crate) use crate::fleet::named_versions::take_versions;
pub use crate::fleet::{
    backend_table::BackendTable,
    beacon::{
        Beacon, EngineLoad, EngineNotice, EntryState, LossCount, ManifestCopy, PeerMessage,
        PiecesHeld,
    },
    canary::Canary,
    kind_cache::KindCache,
    kind_watch::{KindUpdate, KindWatch},
    outage::Outage,
    peer_table::{beacon_interval, Nearness, Peer, PeerTable},
    sources::{Source, Sources},
    version_table::VersionTable,
};
