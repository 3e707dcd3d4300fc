//! Ranks slot processes for each piece, which determines the one that fetches it from the origin
//! and those that copy it into each availability zone.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    digest::Digest,
    ids::ZoneId,
    weights::rank::{digest_hash, score},
};

/// Additional delay per rank before a slot process requests a manifest from the origin.
const MANIFEST_DELAY_STEP: Duration = Duration::from_millis(150);
/// The maximum number of these delays for one slot process.
const MAX_MANIFEST_DELAY_STEPS: u32 = 4;

/// The ranks of all slot processes for all pieces.
///
/// Every process computes the same ranks from the same list of members, so the slots divide the
/// pieces among themselves without messages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceRanks {
    /// Slot processes by zone and piece number, in order of rank.
    ranked_by_zone: BTreeMap<ZoneId, Vec<Vec<SocketAddr>>>,
    /// The slot process that fetches each piece from the origin, by piece number.
    origin_fetchers: Vec<SocketAddr>,
}

impl PieceRanks {
    /// Ranks `members` for `n_pieces` pieces.
    pub fn new(members: &BTreeMap<SocketAddr, ZoneId>, n_pieces: u32) -> PieceRanks {
        let hashes: HashMap<SocketAddr, u64> =
            members.keys().map(|it| (*it, address_hash(it))).collect();
        let mut by_zone: BTreeMap<&ZoneId, Vec<SocketAddr>> = BTreeMap::new();
        for (address, zone) in members {
            by_zone.entry(zone).or_default().push(*address);
        }
        let ranked_by_zone: BTreeMap<ZoneId, Vec<Vec<SocketAddr>>> = by_zone
            .into_iter()
            .map(|(zone, members)| (zone.clone(), rank_zone(&members, &hashes, n_pieces)))
            .collect();
        let origin_fetcher = |number: u32| {
            let first_ranked = ranked_by_zone.values().filter_map(|it| it[number as usize].first());
            first_ranked.max_by_key(|it| score(u64::from(number), hashes[*it])).copied()
        };
        let origin_fetchers = (0..n_pieces).filter_map(origin_fetcher).collect();
        PieceRanks { ranked_by_zone, origin_fetchers }
    }

    /// Returns the slot process that fetches a piece from the origin.
    pub fn origin_fetcher(&self, number: u32) -> Option<SocketAddr> {
        self.origin_fetchers.get(number as usize).copied()
    }

    /// Returns the slot processes that copy a piece into the zones other than `zone`.
    pub fn zone_fetchers(&self, number: u32, zone: &ZoneId) -> Vec<SocketAddr> {
        let others = self.ranked_by_zone.iter().filter(|it| it.0 != zone);
        others.filter_map(|it| it.1.get(number as usize)?.first()).copied().collect()
    }

    /// Returns the position of a slot process among the first-ranked ones of all zones, in the order
    /// in which they replace the origin fetcher of a piece, whose position is 0.
    pub fn takeover_order(&self, number: u32, member: SocketAddr) -> usize {
        let first_ranked = self.ranked_by_zone.values().filter_map(|it| {
            let ranked = it.get(number as usize)?;
            ranked.first().copied()
        });
        let score_of = |it: &SocketAddr| score(u64::from(number), address_hash(it));
        let own_score = score_of(&member);
        first_ranked.filter(|it| score_of(it) > own_score).count()
    }

    /// Returns the time for which a slot process waits for a manifest from other slots before it
    /// requests one from the origin.
    ///
    /// The origin fetcher of the first piece does not wait. Load pattern: if all slots of a large
    /// fleet requested it at the same time, the manifests would take the origin longer than many
    /// pieces.
    pub fn manifest_delay(&self, zone: &ZoneId, member: SocketAddr) -> Duration {
        if self.origin_fetcher(0).is_none_or(|it| it == member) {
            return Duration::ZERO;
        }
        MANIFEST_DELAY_STEP * (self.zone_rank(0, zone, member) + 1).min(MAX_MANIFEST_DELAY_STEPS)
    }

    /// Returns the rank of a slot process for a piece within its zone, 0 for the first.
    pub fn zone_rank(&self, number: u32, zone: &ZoneId, member: SocketAddr) -> u32 {
        let ranked = self.ranked_by_zone.get(zone).and_then(|it| it.get(number as usize));
        ranked.and_then(|it| it.iter().position(|it| *it == member)).unwrap_or(0) as u32
    }
}

/// Ranks the members of one zone for each piece; each member is first for about the same number of
/// pieces.
fn rank_zone(
    members: &[SocketAddr],
    hashes: &HashMap<SocketAddr, u64>,
    n_pieces: u32,
) -> Vec<Vec<SocketAddr>> {
    let max_first = n_pieces.div_ceil(members.len().max(1) as u32);
    let mut n_first: HashMap<SocketAddr, u32> = HashMap::new();
    let rank = |number: u32| {
        let mut ranked = members.to_vec();
        ranked.sort_by_key(|it| std::cmp::Reverse((score(u64::from(number), hashes[it]), *it)));
        let is_below_limit = |it: &SocketAddr| n_first.get(it).copied().unwrap_or(0) < max_first;
        if let Some(pos) = ranked.iter().position(is_below_limit) {
            let first = ranked.remove(pos);
            ranked.insert(0, first);
            *n_first.entry(first).or_default() += 1;
        }
        ranked
    };
    (0..n_pieces).map(rank).collect()
}

/// Returns the hash of an address, for rendezvous hashing.
pub(crate) fn address_hash(address: &SocketAddr) -> u64 {
    digest_hash(&Digest::of(address.to_string().as_bytes()))
}
