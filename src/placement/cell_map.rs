//! Divides the engines into cells, each with one entry host that owns it.
//!
//! Load pattern: deployments of any size. The owner of an engine admits all requests to it, so it
//! knows its load exactly. A cell has several engines, since a request that finds one of them full
//! is admitted to another one without a further message. The number of engines per owner is
//! bounded on average, so its work does not grow with the deployment.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use crate::{
    ids::{BackendId, HostId, ZoneId},
    placement::{AllowedZones, PartDigest},
    weights::rank::{host_hash, score},
};

/// Mean number of engines of a cell above which a zone gets one more owner.
const MAX_ENGINES_PER_CELL: usize = 16;
/// The number of cells of the own zone that a request is sent to, one after the other.
const MAX_NEAR_CELLS: usize = 2;

/// An entry host that may own engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// The entry host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Processor time that it gets, in thousandths of a core.
    pub processor_permille: u32,
}

impl OwnerCandidate {
    /// Returns the key by which entry hosts of a zone are preferred for common tasks: those with the
    /// most processor time first.
    pub fn preference(&self) -> (Reverse<u32>, &HostId) {
        (Reverse(self.processor_permille), &self.host)
    }
}

/// The owner of each engine, and the owners of each availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellMap {
    owners: BTreeMap<BackendId, HostId>,
    owners_by_zone: BTreeMap<ZoneId, Vec<HostId>>,
    /// The zones of each owner's engines.
    engine_zones: BTreeMap<HostId, BTreeSet<ZoneId>>,
}

impl CellMap {
    /// Assigns each engine to an owner in its zone, or to an owner of another zone if its own has no
    /// entry host.
    ///
    /// The owner is found by rendezvous hashing, so a change of engines or owners moves few engines.
    pub fn new(engines: &BTreeMap<BackendId, ZoneId>, entry_hosts: &[OwnerCandidate]) -> CellMap {
        let owners_by_zone = owners_by_zone(engines, entry_hosts);
        let hashed = |hosts: &mut dyn Iterator<Item = &HostId>| -> Vec<(u64, HostId)> {
            hosts.map(|it| (host_hash(it), it.clone())).collect()
        };
        let all_owners = hashed(&mut owners_by_zone.values().flatten());
        let zone_owners: BTreeMap<&ZoneId, Vec<(u64, HostId)>> =
            owners_by_zone.iter().map(|it| (it.0, hashed(&mut it.1.iter()))).collect();
        let owner_of = |engine: &BackendId, zone: &ZoneId| {
            let engine_hash = host_hash(engine);
            let owners = zone_owners.get(zone).unwrap_or(&all_owners);
            owners.iter().max_by_key(|it| score(engine_hash, it.0)).map(|it| it.1.clone())
        };
        let owners: BTreeMap<BackendId, HostId> = engines
            .iter()
            .filter_map(|(engine, zone)| Some((engine.clone(), owner_of(engine, zone)?)))
            .collect();
        let mut engine_zones: BTreeMap<HostId, BTreeSet<ZoneId>> = BTreeMap::new();
        for (engine, owner) in &owners {
            let zones = engine_zones.entry(owner.clone()).or_default();
            zones.extend(engines.get(engine).cloned());
        }
        CellMap { owners, owners_by_zone, engine_zones }
    }

    /// Returns the owner of an engine.
    pub fn owner(&self, engine: &str) -> Option<&HostId> {
        self.owners.get(engine)
    }

    /// Returns the engines that an entry host owns.
    pub fn engines_of<'a>(&'a self, host: &'a HostId) -> impl Iterator<Item = &'a BackendId> + 'a {
        self.owners.iter().filter(move |it| it.1 == host).map(|it| it.0)
    }

    /// Returns all owners in an order that depends on a part of a prompt only, so that all requests
    /// with it ask the same one first.
    pub fn owners_for_part(&self, part: PartDigest) -> Vec<HostId> {
        let mut owners: Vec<&HostId> = self.owners_by_zone.values().flatten().collect();
        owners.sort_by_key(|it| Reverse(score(part, host_hash(it))));
        owners.into_iter().cloned().collect()
    }

    /// Returns the owners that a request is sent to, one after the other: some of its own zone, then
    /// one of another zone. Both start at `position`, in 0 to 1 and evenly distributed over the requests.
    pub fn owners_to_ask(&self, zone: &ZoneId, position: f64) -> Vec<HostId> {
        let near = self.owners_by_zone.get(zone).map(Vec::as_slice).unwrap_or_default();
        let far: Vec<&HostId> =
            self.owners_by_zone.iter().filter(|it| it.0 != zone).flat_map(|it| it.1).collect();
        let index = |len: usize| ((position * len as f64) as usize).min(len.saturating_sub(1));
        let near_rotated = near.iter().cycle().skip(index(near.len())).take(near.len());
        let near = near_rotated.take(MAX_NEAR_CELLS);
        near.chain(far.get(index(far.len())).copied()).cloned().collect()
    }

    /// Returns the owners of engines in allowed zones that a request is sent to, one after the other: as
    /// `owners_to_ask`, but if its own zone has none, as many of other zones.
    pub fn allowed_owners_to_ask(
        &self,
        zone: &ZoneId,
        position: f64,
        allowed: &AllowedZones<'_>,
    ) -> Vec<HostId> {
        let owners = self.owners_by_zone.iter().flat_map(|(zone, owners)| {
            owners.iter().filter(|it| self.owns_allowed(it, allowed)).map(move |it| (zone, it))
        });
        let (near, far): (Vec<_>, Vec<_>) = owners.partition(|it| it.0 == zone);
        let n_near = near.len().min(MAX_NEAR_CELLS);
        let n_far = if n_near == 0 { MAX_NEAR_CELLS + 1 } else { 1 };
        rotated(&near, position)
            .take(n_near)
            .chain(rotated(&far, position).take(n_far))
            .map(|it| it.1.clone())
            .collect()
    }

    /// Returns `true` if an entry host owns engines in allowed zones.
    pub fn owns_allowed(&self, host: &HostId, allowed: &AllowedZones<'_>) -> bool {
        self.engine_zones.get(host).is_some_and(|it| it.iter().any(|it| allowed.allows(it)))
    }
}

/// Returns all items once, beginning at `position` in 0 to 1.
fn rotated<T>(items: &[T], position: f64) -> impl Iterator<Item = &T> {
    let first = ((position * items.len() as f64) as usize).min(items.len().saturating_sub(1));
    items.iter().cycle().skip(first).take(items.len())
}

/// Returns the owners of each zone that has entry hosts: as many as its engines need.
fn owners_by_zone(
    engines: &BTreeMap<BackendId, ZoneId>,
    entry_hosts: &[OwnerCandidate],
) -> BTreeMap<ZoneId, Vec<HostId>> {
    let mut n_engines: BTreeMap<&ZoneId, usize> = BTreeMap::new();
    for zone in engines.values() {
        *n_engines.entry(zone).or_default() += 1;
    }
    let mut by_preference: Vec<&OwnerCandidate> = entry_hosts.iter().collect();
    by_preference.sort_by_key(|it| it.preference());
    let mut owners: BTreeMap<ZoneId, Vec<HostId>> = BTreeMap::new();
    for candidate in by_preference {
        let n_engines = n_engines.get(&candidate.zone).copied().unwrap_or_default();
        let owners = owners.entry(candidate.zone.clone()).or_default();
        if owners.len() < n_engines.div_ceil(MAX_ENGINES_PER_CELL).max(1) {
            owners.push(candidate.host.clone());
        }
    }
    owners
}
