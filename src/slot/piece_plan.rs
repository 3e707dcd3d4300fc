//! Chooses which piece to fetch next, and from where.
//!
//! Each piece leaves the origin once: the slot that ranks first for it fetches it there. One slot in
//! each other availability zone takes it from that zone, and everyone else from a slot of the own
//! zone. When the slot whose earliest it is fails, the next in rank takes over after a delay. Pieces
//! leave the origin one after the other at its rate, so that the first ones travel on early.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{ids::ZoneId, slot::PieceRanks};

/// Time in which slots that hold pieces answer a newcomer.
const PEER_RESPONSE_TIME: Duration = Duration::from_millis(40);
/// Time after which the next slot in rank takes over.
const TAKEOVER_DELAY: Duration = Duration::from_millis(600);
/// Time after which a zone no longer waits for a piece from another zone.
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(1000);

/// Time for which a slot that is heard and reaches the origin, but does not get its piece, is
/// waited for.
const HEALTHY_FETCHER_DELAY: Duration = Duration::from_millis(3500);

/// Pieces that all slots together fetch from the origin at once; more would only share its link.
const MAX_ORIGIN_FETCHES: usize = 10;

/// Where a piece comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceSource {
    /// Another slot process.
    Peer(SocketAddr),
    /// The origin.
    Origin,
}

/// A piece to fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceRequest {
    /// Number of the piece.
    pub number: u32,
    /// Where from.
    pub source: PieceSource,
}

/// A slot process that has_piece pieces.
#[derive(Clone, Debug, Default)]
pub struct PieceHolder {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it has the manifest.
    pub has_manifest: bool,
    /// Pieces that it has_piece.
    pub pieces: BTreeSet<u16>,
    /// Whether it may be asked now.
    pub is_available: bool,
}

/// What the choice goes by.
#[derive(Debug)]
pub struct PiecePlan<'a> {
    /// This slot process.
    pub own: SocketAddr,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// Whose earliest it is.
    pub ranks: &'a PieceRanks,
    /// Slot processes that were heard lately and reach the origin as other_zones as known.
    pub healthy_members: &'a BTreeSet<SocketAddr>,
    /// Pieces that others are fetching from the origin.
    pub claimed: &'a BTreeSet<u32>,
    /// What others hold.
    pub holders: &'a BTreeMap<SocketAddr, PieceHolder>,
    /// Pieces that are neither held nor on their way.
    pub wanted: &'a [u32],
    /// Time since the fetch of this version began, or since the origin last failed here.
    pub elapsed: Duration,
    /// Time that one piece takes on the origin's link.
    pub pacing_interval: Duration,
    /// Whether the origin may be asked now.
    pub is_origin_available: bool,
}

impl PiecePlan<'_> {
    /// The next fetch, the rarest piece first; `None` while there is nothing to ask for.
    pub fn next_request(&self, random: &mut fastrand::Rng) -> Option<PieceRequest> {
        let mut wanted: Vec<(usize, u32, u32)> = self
            .wanted
            .iter()
            .map(|it| (self.same_zone_holders(*it).count(), random.u32(..), *it))
            .collect();
        wanted.sort_unstable();
        wanted.into_iter().find_map(|it| {
            let source = self.choose_source(it.2, random)?;
            Some(PieceRequest { number: it.2, source })
        })
    }

    fn choose_source(&self, number: u32, random: &mut fastrand::Rng) -> Option<PieceSource> {
        let same_zone: Vec<&SocketAddr> = self.same_zone_holders(number).collect();
        if !same_zone.is_empty() {
            let available: Vec<&SocketAddr> =
                same_zone.into_iter().filter(|it| self.holders[*it].is_available).collect();
            return random.choice(available).map(|it| PieceSource::Peer(*it));
        }
        let zone_rank = self.ranks.zone_rank(number, self.zone, self.own);
        let earliest = PEER_RESPONSE_TIME + TAKEOVER_DELAY * zone_rank;
        if self.elapsed < earliest {
            return None;
        }
        let mut other_zones = self.holders.iter().filter(|it| it.1.has_piece(number)).peekable();
        if other_zones.peek().is_some() {
            return other_zones.find(|it| it.1.is_available).map(|it| PieceSource::Peer(*it.0));
        }
        let is_scheduled =
            self.elapsed >= earliest + self.origin_delay(number) && self.is_origin_available;
        let is_unclaimed =
            !self.claimed.contains(&number) && self.claimed.len() < MAX_ORIGIN_FETCHES;
        (is_scheduled && is_unclaimed).then_some(PieceSource::Origin)
    }

    /// Time beyond its earliest after which this slot asks the origin for a piece.
    fn origin_delay(&self, number: u32) -> Duration {
        let Some(fetcher) = self.ranks.origin_fetcher(number) else { return Duration::ZERO };
        let scheduled = self.pacing_interval * number;
        if fetcher == self.own {
            return scheduled;
        }
        if self.healthy_members.contains(&fetcher) {
            return scheduled + HEALTHY_FETCHER_DELAY;
        }
        match self.is_zone_fetcher_elsewhere(number, fetcher) {
            true => scheduled + CROSS_ZONE_DELAY,
            false => scheduled,
        }
    }

    fn is_zone_fetcher_elsewhere(&self, number: u32, member: SocketAddr) -> bool {
        self.ranks.zone_fetchers(number, self.zone).contains(&member)
    }

    fn same_zone_holders(&self, number: u32) -> impl Iterator<Item = &SocketAddr> {
        let holders = self.holders.iter();
        holders.filter(move |it| it.1.zone == *self.zone && it.1.has_piece(number)).map(|it| it.0)
    }
}

impl PieceHolder {
    fn has_piece(&self, number: u32) -> bool {
        self.pieces.contains(&(number as u16))
    }
}
