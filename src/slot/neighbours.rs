//! Chooses the slots with which a slot exchanges the lists of its pieces.
//!
//! Load pattern: a new version on hundreds of hosts. If every slot told all others of its zone
//! about each piece, these messages would take a large share of each slot's link and processor.

use std::{cmp::Reverse, net::SocketAddr};

use crate::{slot::piece_ranks::address_hash, weights::rank::score};

/// Maximum number of neighbours of a slot.
const MAX_NEIGHBOURS: usize = 12;

/// Returns the neighbours of `own` among the other slots of its zone.
///
/// They differ from slot to slot, so that a piece that one slot has reaches all others within a few
/// steps.
pub fn choose_neighbours(own: SocketAddr, mut same_zone: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let own_hash = address_hash(&own);
    same_zone.sort_by_cached_key(|it| Reverse(score(own_hash, address_hash(it))));
    same_zone.truncate(MAX_NEIGHBOURS);
    same_zone
}
