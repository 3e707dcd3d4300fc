//! The slot process: runs beside an engine, fetches the weights of its pool from the origin or from
//! other slots, and orders the engine to load them.

mod engine_driver;
mod lifecycle;
mod manifest;
mod manifest_distributor;
mod manifest_source;
mod neighbours;
mod origin_schedule;
mod peer_messages;
mod piece_plan;
mod piece_ranks;
mod piece_server;
mod piece_store;
mod slot_state;
mod switch_delay;
mod version_fetch;

pub(crate) use crate::slot::lifecycle::run;
pub use crate::slot::{
    manifest::{Manifest, PieceDigest},
    neighbours::choose_neighbours,
    piece_plan::{PieceHolder, PiecePlan, PieceRequest, PieceSource},
    piece_ranks::PieceRanks,
    piece_store::PieceStore,
    switch_delay::{fallback_delay, switch_delay},
};
