//! Chooses which piece to fetch next, and from where.
//!
//! Each piece leaves the origin once: the slot that ranks first for it fetches it there. One slot in
//! each other availability zone takes it from that zone, and everyone else from a slot of the own
//! zone. When the slot whose turn it is fails, the next in rank takes over after a delay.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    ids::ZoneId,
    weights::rank::{digest_hash, score},
};

/// Time in which slots that hold pieces answer a newcomer.
const ASK_TIME: Duration = Duration::from_millis(100);
/// Time after which the next slot in rank takes over.
const TAKEOVER_DELAY: Duration = Duration::from_millis(900);
/// Time after which a zone no longer waits for a piece from another zone.
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(1800);

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
    /// All slot processes of the pool with their zones, this one included.
    pub members: &'a BTreeMap<SocketAddr, ZoneId>,
    /// What others hold.
    pub holders: &'a BTreeMap<SocketAddr, Holder>,
    /// Pieces that are neither held nor on their way.
    pub wanted: &'a [u32],
    /// Time since the fetch of this version began.
    pub elapsed: Duration,
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

    /// The slots outside the own zone that take a piece over for their zones.
    pub fn importers(&self, number: u32) -> Vec<SocketAddr> {
        let zones: BTreeSet<&ZoneId> =
            self.members.values().filter(|it| *it != self.zone).collect();
        zones.into_iter().filter_map(|it| self.ranked(number, Some(it)).first().copied()).collect()
    }

    fn source(&self, number: u32, random: &mut fastrand::Rng) -> Option<Source> {
        let near: Vec<&SocketAddr> = self.near_holders(number).collect();
        if !near.is_empty() {
            let free: Vec<&SocketAddr> =
                near.into_iter().filter(|it| self.holders[*it].is_available).collect();
            return random.choice(free).map(|it| Source::Peer(*it));
        }
        if self.elapsed < ASK_TIME {
            return None;
        }
        let waits = self.elapsed.saturating_sub(TAKEOVER_DELAY * self.zone_rank(number));
        if waits.is_zero() {
            return None;
        }
        let far = self.holders.iter().filter(|it| it.1.holds(number));
        let far: Vec<(&SocketAddr, &Holder)> = far.collect();
        if let Some(holder) = far.iter().find(|it| it.1.is_available) {
            return Some(Source::Peer(*holder.0));
        }
        let root = self.ranked(number, None).first().copied();
        let is_in_root_zone = root.is_none_or(|it| self.members.get(&it) == Some(self.zone));
        let is_due = is_in_root_zone || waits > CROSS_ZONE_DELAY;
        (is_due && self.is_origin_available && far.is_empty()).then_some(Source::Origin)
    }

    fn near_holders(&self, number: u32) -> impl Iterator<Item = &SocketAddr> {
        let holders = self.holders.iter();
        holders.filter(move |it| it.1.zone == *self.zone && it.1.holds(number)).map(|it| it.0)
    }

    /// Rank of this slot for a piece among those of its zone.
    fn zone_rank(&self, number: u32) -> u32 {
        let ranked = self.ranked(number, Some(self.zone));
        ranked.iter().position(|it| *it == self.own).unwrap_or(0) as u32
    }

    fn ranked(&self, number: u32, zone: Option<&ZoneId>) -> Vec<SocketAddr> {
        let of_zone = |it: &(&SocketAddr, &ZoneId)| zone.is_none_or(|zone| it.1 == zone);
        let members = self.members.iter().filter(of_zone).map(|it| *it.0);
        let mut ranked: Vec<(u64, SocketAddr)> =
            members.map(|it| (score(u64::from(number), address_hash(&it)), it)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|it| it.1).collect()
    }
}

impl Holder {
    fn holds(&self, number: u32) -> bool {
        self.pieces.contains(&(number as u16))
    }
}

/// Hash of an address for the ranking.
pub(crate) fn address_hash(address: &SocketAddr) -> u64 {
    digest_hash(&crate::digest::Digest::of(address.to_string().as_bytes()))
}
