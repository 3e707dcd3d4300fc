//! Chooses which piece to fetch next, and from where.
//!
//! Each piece is sent by the origin once, to its origin fetcher, which is the slot that ranks first
//! for it. In each other availability zone one slot, the zone fetcher, copies it across zones. All
//! other slots copy it from a slot of their own zone. When a fetcher fails, the next slot in rank
//! takes over after a delay. Origin fetches are scheduled one after the other at the rate of the
//! origin's link, so that slots can copy the first pieces while later ones are still fetched.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{ids::ZoneId, slot::PieceRanks};

/// Minimum time for the holders of pieces to respond to a slot that starts a fetch.
const PEER_RESPONSE_TIME: Duration = Duration::from_millis(40);
/// Delay before the next slot in rank takes over from a fetcher.
const TAKEOVER_DELAY: Duration = Duration::from_millis(600);
/// Additional delay before slots of other zones replace an origin fetcher that has failed.
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(1000);

/// Delay, after its scheduled time, before other slots replace an origin fetcher that is alive but
/// claims its piece neither then nor later. While it claims it, no other slot fetches it.
const HEALTHY_FETCHER_DELAY: Duration = Duration::from_millis(500);
/// Additional delay for each slot of another zone that comes before this one, so that they do not
/// replace the fetcher at the same time.
const HEALTHY_FETCHER_STEP: Duration = Duration::from_millis(150);

/// The maximum number of pieces that all slots together fetch from the origin at once; more would
/// only share its link.
const MAX_ORIGIN_FETCHES: usize = 10;

/// The source of a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceSource {
    /// Another slot process.
    Peer(SocketAddr),
    /// The origin.
    Origin,
}

/// A request for one piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceRequest {
    /// The number of the piece.
    pub number: u32,
    /// The source to request it from.
    pub source: PieceSource,
}

/// A slot process that has pieces of a version.
#[derive(Clone, Debug, Default)]
pub struct PieceHolder {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it has the manifest.
    pub has_manifest: bool,
    /// The numbers of the pieces that it has.
    pub pieces: BTreeSet<u16>,
}

/// The state from which a slot chooses its next request.
///
/// The choice limits the load on the origin and the traffic between zones when all slots of a fleet
/// fetch the same version, and replaces slots that fail.
#[derive(Debug)]
pub struct PiecePlan<'a> {
    /// This slot process.
    pub own: SocketAddr,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// The ranks of all slot processes for all pieces.
    pub ranks: &'a PieceRanks,
    /// Slot processes that sent a message recently and, by their last reports, reach the origin.
    pub healthy_members: &'a BTreeSet<SocketAddr>,
    /// Pieces that others are fetching from the origin.
    pub claimed: &'a BTreeSet<u32>,
    /// The slot processes that have pieces, by address.
    pub holders: &'a BTreeMap<SocketAddr, PieceHolder>,
    /// Holders to which no request may be sent now.
    pub unavailable: &'a BTreeSet<SocketAddr>,
    /// Pieces that are neither stored nor being fetched here.
    pub wanted: &'a [u32],
    /// Time since the fetch of this version began, or since the origin last failed here.
    pub elapsed: Duration,
    /// Interval between the scheduled origin fetches of two pieces.
    pub pacing_interval: Duration,
    /// Whether the origin may be called now.
    pub is_origin_available: bool,
}

impl PiecePlan<'_> {
    /// Returns the next request, for the piece that is rarest in the own zone; `None` if no piece
    /// can be requested now.
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
                same_zone.into_iter().filter(|it| !self.unavailable.contains(it)).collect();
            return random.choice(available).map(|it| PieceSource::Peer(*it));
        }
        let zone_rank = self.ranks.zone_rank(number, self.zone, self.own);
        let earliest = PEER_RESPONSE_TIME + TAKEOVER_DELAY * zone_rank;
        if self.elapsed < earliest {
            return None;
        }
        let mut other_zones = self.holders.iter().filter(|it| it.1.has_piece(number)).peekable();
        if other_zones.peek().is_some() {
            return other_zones
                .find(|it| !self.unavailable.contains(it.0))
                .map(|it| PieceSource::Peer(*it.0));
        }
        let is_scheduled =
            self.elapsed >= earliest + self.origin_delay(number) && self.is_origin_available;
        let may_claim = !self.claimed.contains(&number) && self.claimed.len() < MAX_ORIGIN_FETCHES;
        (is_scheduled && may_claim).then_some(PieceSource::Origin)
    }

    /// Returns the delay, beyond this slot's takeover delay, after which it may fetch a piece from
    /// the origin.
    fn origin_delay(&self, number: u32) -> Duration {
        let Some(fetcher) = self.ranks.origin_fetcher(number) else { return Duration::ZERO };
        let scheduled_time = self.pacing_interval * number;
        if fetcher == self.own {
            return scheduled_time;
        }
        if self.healthy_members.contains(&fetcher) {
            let order = self.ranks.takeover_order(number, self.own) as u32;
            return scheduled_time + HEALTHY_FETCHER_DELAY + HEALTHY_FETCHER_STEP * order;
        }
        match self.is_zone_fetcher_elsewhere(number, fetcher) {
            true => scheduled_time + CROSS_ZONE_DELAY,
            false => scheduled_time,
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
