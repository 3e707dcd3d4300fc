//! Keeps the owner of each engine, as all entry hosts compute it from the engines and the ready hosts.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    entry::{eligible_servers, entry_host::EntryHost},
    fleet::{Beacon, EntryState},
    ids::{BackendId, HostId, ZoneId},
    placement::{AllowedZones, CellMap, OwnerCandidate, PartDigest},
};

/// Time for which a leaving host still owns its engines, until the other hosts know that it leaves.
const HANDOVER_TIME: Duration = Duration::from_secs(1);

/// The owner of each engine.
#[derive(Debug, Default)]
pub(crate) struct EngineOwners {
    cell_map: RefCell<CellMap>,
}

impl EngineOwners {
    /// Recomputes the owner of each engine, after a change of engines or entry hosts.
    pub(crate) fn update(&self, host: &EntryHost) {
        let cell_map = CellMap::new(&engines(host), &candidates(host));
        let owned = cell_map.engines_of(&host.settings.host.id).cloned().collect();
        let now = Instant::now();
        let newly_owned = host.cell_owner.update_engines(owned, now);
        host.cold_servers.borrow_mut().note_owned(&newly_owned, now);
        *self.cell_map.borrow_mut() = cell_map;
        host.cell_owner.decide_waiting(host);
    }

    /// Returns the address of the owner of an engine.
    pub(crate) fn address(&self, host: &EntryHost, engine: &BackendId) -> Option<SocketAddr> {
        let owner = self.cell_map.borrow().owner(engine).cloned()?;
        host.peer_address(&owner)
    }

    /// Returns the owners to ask for a request of a zone, in this order, beginning at `position`.
    pub(crate) fn to_ask(
        &self,
        zone: &ZoneId,
        position: f64,
        allowed: &AllowedZones<'_>,
    ) -> Vec<HostId> {
        let cell_map = self.cell_map.borrow();
        match allowed.allows_all() {
            true => cell_map.owners_to_ask(zone, position),
            false => cell_map.allowed_owners_to_ask(zone, position, allowed),
        }
    }

    /// Returns the owners to ask for a request with a suspected part, in this order.
    pub(crate) fn for_part(&self, part: PartDigest, allowed: &AllowedZones<'_>) -> Vec<HostId> {
        let cell_map = self.cell_map.borrow();
        let mut owners = cell_map.owners_for_part(part);
        owners.retain(|it| allowed.allows_all() || cell_map.owns_allowed(it, allowed));
        owners
    }
}

/// Returns the entry hosts that can own engines now.
fn candidates(host: &EntryHost) -> Vec<OwnerCandidate> {
    let mut candidates: Vec<OwnerCandidate> = {
        let peers = host.peers.borrow();
        let live = peers.live_beacons(Instant::now());
        live.filter(|it| it.state == EntryState::Ready).map(Beacon::owner_candidate).collect()
    };
    let leaving_for = host.departure.since().map(|it| it.elapsed());
    let has_handed_over = leaving_for.is_some_and(|it| it >= HANDOVER_TIME);
    if !has_handed_over || candidates.is_empty() {
        candidates.push(host.own_candidate());
    }
    candidates
}

/// Returns all engines with their zones.
fn engines(host: &EntryHost) -> BTreeMap<BackendId, ZoneId> {
    let servers = host.backends.borrow();
    let engines =
        servers.iter().filter(|it| eligible_servers::n_layers(host, &it.service).is_some());
    engines.map(|it| (it.id.clone(), it.zone.clone())).collect()
}
