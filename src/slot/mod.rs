//! The process beside an engine: it brings the weights of its pool to the engine and has them loaded.

mod life;
mod manifest;
mod manifest_source;
mod manifest_spread;
mod messages;
mod origin_turns;
mod piece_fetch;
mod piece_plan;
mod piece_ranks;
mod piece_server;
mod shelf;
mod slot_state;
mod switch_turn;
mod switcher;

pub(crate) use crate::slot::life::run;
pub use crate::slot::{
    manifest::{Manifest, PieceDigest},
    piece_plan::{Fetch, Holder, PiecePlan, Source},
    piece_ranks::PieceRanks,
    shelf::Shelf,
    switch_turn::{fallback_delay, switch_delay},
};
