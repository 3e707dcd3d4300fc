//! Chooses which piece to fetch next, and from where.
//!
//! Each piece leaves the origin once: the slot that ranks first for it fetches it there. One slot in
//! each other availability zone takes it from that zone, and everyone else from a slot of the own
//! zone. When the slot whose turn it is fails, the next in rank takes over after a delay. Pieces
//! leave the origin one after the other at its rate, so that the first ones travel on early.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{ids::ZoneId, slot::PieceRanks};

/// Time in which slots that hold pieces answer a newcomer.
const ASK_TIME: Duration = Duration::from_millis(40);
/// Time after which the next slot in rank takes over.
const TAKEOVER_DELAY: Duration = Duration::from_millis(600);
/// Time after which a zone no longer waits for a piece from another zone.
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(1000);

/// Time for which a slot that is heard and reaches the origin, but does not get its piece, is
/// waited for.
const ABLE_ROOT_DELAY: Duration = Duration::from_millis(3500);

/// Pieces that all slots together fetch from the origin at once; more would only share its link.
const MAX_ORIGIN_FETCHES: usize = 10;

/// Where a piece comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Another slot process.
    Peer(SocketAddr),
    /// The origin.
    Origin,
}

/// A piece to fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Number of the piece.
    pub number: u32,
    /// Where from.
    pub source: Source,
}

/// A slot process that holds pieces.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it has the manifest.
    pub has_manifest: bool,
    /// Pieces that it holds.
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
    /// Whose turn it is.
    pub ranks: &'a PieceRanks,
    /// Slot processes that were heard lately and reach the origin as far as known.
    pub able: &'a BTreeSet<SocketAddr>,
    /// Pieces that others are fetching from the origin.
    pub claimed: &'a BTreeSet<u32>,
    /// What others hold.
    pub holders: &'a BTreeMap<SocketAddr, Holder>,
    /// Pieces that are neither held nor on their way.
    pub wanted: &'a [u32],
    /// Time since the fetch of this version began, or since the origin last failed here.
    pub elapsed: Duration,
    /// Time that one piece takes on the origin's link.
    pub origin_pace: Duration,
    /// Whether the origin may be asked now.
    pub is_origin_available: bool,
}

impl PiecePlan<'_> {
    /// The next fetch, the rarest piece first; `None` while there is nothing to ask for.
    pub fn next(&self, random: &mut fastrand::Rng) -> Option<Fetch> {
        let mut wanted: Vec<(usize, u32, u32)> = self
            .wanted
            .iter()
            .map(|it| (self.near_holders(*it).count(), random.u32(..), *it))
            .collect();
        wanted.sort_unstable();
        wanted.into_iter().find_map(|it| {
            let source = self.source(it.2, random)?;
            Some(Fetch { number: it.2, source })
        })
    }

    fn source(&self, number: u32, random: &mut fastrand::Rng) -> Option<Source> {
        let near: Vec<&SocketAddr> = self.near_holders(number).collect();
        if !near.is_empty() {
            let free: Vec<&SocketAddr> =
                near.into_iter().filter(|it| self.holders[*it].is_available).collect();
            return random.choice(free).map(|it| Source::Peer(*it));
        }
        let zone_rank = self.ranks.zone_rank(number, self.zone, self.own);
        let turn = ASK_TIME + TAKEOVER_DELAY * zone_rank;
        if self.elapsed < turn {
            return None;
        }
        let mut far = self.holders.iter().filter(|it| it.1.holds(number)).peekable();
        if far.peek().is_some() {
            return far.find(|it| it.1.is_available).map(|it| Source::Peer(*it.0));
        }
        let is_due = self.elapsed >= turn + self.origin_delay(number) && self.is_origin_available;
        let is_free = !self.claimed.contains(&number) && self.claimed.len() < MAX_ORIGIN_FETCHES;
        (is_due && is_free).then_some(Source::Origin)
    }

    /// Time beyond its turn after which this slot asks the origin for a piece.
    fn origin_delay(&self, number: u32) -> Duration {
        let Some(root) = self.ranks.root(number) else { return Duration::ZERO };
        let turn_of_root = self.origin_pace * number;
        if root == self.own {
            return turn_of_root;
        }
        if self.able.contains(&root) {
            return turn_of_root + ABLE_ROOT_DELAY;
        }
        match self.is_importer_elsewhere(number, root) {
            true => turn_of_root + CROSS_ZONE_DELAY,
            false => turn_of_root,
        }
    }

    fn is_importer_elsewhere(&self, number: u32, member: SocketAddr) -> bool {
        self.ranks.importers(number, self.zone).contains(&member)
    }

    fn near_holders(&self, number: u32) -> impl Iterator<Item = &SocketAddr> {
        let holders = self.holders.iter();
        holders.filter(move |it| it.1.zone == *self.zone && it.1.holds(number)).map(|it| it.0)
    }
}

impl Holder {
    fn holds(&self, number: u32) -> bool {
        self.pieces.contains(&(number as u16))
    }
}
