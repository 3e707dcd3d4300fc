//! The backend servers that are known, through outages of the store.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    fleet::beacon::EngineNotice,
    ids::{BackendId, ServiceId},
    routing::{BackendServer, BackendState, HeldWeights},
};

/// Time after the store's return within which lapsed entries come back.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);
/// Share of the ready backend servers whose entries vanish at once only when the store lost leases.
const MASS_LAPSE_SHARE: f64 = 0.3;
/// Fewest vanished entries that count as a loss of leases.
const MASS_LAPSE_COUNT: usize = 3;

/// Backend servers by id.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    servers: BTreeMap<BackendId, BackendServer>,
    lapsed: HashMap<BackendId, Instant>,
    notices: HashMap<SocketAddr, EngineNotice>,
}

impl BackendTable {
    /// Takes a whole list; entries that lapsed in an outage are kept for a while.
    pub fn list(&mut self, servers: Vec<BackendServer>, is_after_outage: bool, now: Instant) {
        let listed: BTreeMap<BackendId, BackendServer> =
            servers.into_iter().map(|it| (it.id.clone(), it)).collect();
        let missing: Vec<BackendId> =
            self.servers.keys().filter(|it| !listed.contains_key(*it)).cloned().collect();
        match is_after_outage {
            true => missing.into_iter().for_each(|it| self.remove_lapsed(it, now)),
            false => self.remove_all(missing, now),
        }
        for server in listed.into_values() {
            self.set(server);
        }
    }

    /// Takes an entry; what a notice told of the same engine holds if it is newer.
    pub fn set(&mut self, mut server: BackendServer) {
        self.lapsed.remove(&server.id);
        if let Some(notice) = self.notices.get(&server.address) {
            if is_newer(notice, &server) {
                server.weights = weights_of(notice, &server);
                server.is_switching = notice.serves.is_none();
            }
        }
        self.servers.insert(server.id.clone(), server);
    }

    /// Takes what a slot process tells of its engine; says whether it changed anything.
    pub fn take_notice(&mut self, notice: &EngineNotice) -> bool {
        self.notices.insert(notice.engine, notice.clone());
        let Some(server) = self.servers.values_mut().find(|it| it.address == notice.engine) else {
            return false;
        };
        if !is_newer(notice, server) {
            return false;
        }
        let weights = weights_of(notice, server);
        let is_change = server.weights != weights;
        server.weights = weights;
        server.is_switching = notice.serves.is_none();
        is_change
    }

    /// Takes removals that became known together.
    pub fn remove_all(&mut self, ids: Vec<BackendId>, now: Instant) {
        let n_ready = self.servers.values().filter(|it| it.state == BackendState::Ready).count();
        let of_ready = |it: &&BackendId| {
            self.servers.get(*it).is_some_and(|it| it.state == BackendState::Ready)
        };
        let n_lost = ids.iter().filter(of_ready).count();
        let is_mass =
            n_lost >= MASS_LAPSE_COUNT && n_lost as f64 > MASS_LAPSE_SHARE * n_ready as f64;
        for id in ids {
            match is_mass {
                true => self.remove_lapsed(id, now),
                false => drop(self.servers.remove(&id)),
            }
        }
    }

    /// Keeps an entry that may have lapsed in an outage until it should be back.
    fn remove_lapsed(&mut self, id: BackendId, now: Instant) {
        if self.servers.get(&id).is_some_and(|it| it.state == BackendState::Draining) {
            self.servers.remove(&id);
            return;
        }
        log::info!("fleet: entry lapsed backend={id}");
        self.lapsed.entry(id).or_insert(now);
    }

    /// Drops lapsed entries that did not come back; gives their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<BackendId> {
        let gone: Vec<BackendId> = self
            .lapsed
            .iter()
            .filter(|it| now >= *it.1 + LAPSE_GRACE)
            .map(|it| it.0.clone())
            .collect();
        for id in &gone {
            self.lapsed.remove(id);
            self.servers.remove(id);
        }
        gone
    }

    /// A backend server that is known.
    pub fn get(&self, id: &str) -> Option<&BackendServer> {
        self.servers.get(id)
    }

    /// All that are known.
    pub fn iter(&self) -> impl Iterator<Item = &BackendServer> {
        self.servers.values()
    }

    /// Those of a pool or service that take new work.
    pub fn ready_of<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a BackendServer> + 'a {
        let is_ready =
            move |it: &&BackendServer| it.service == *service && it.state == BackendState::Ready;
        self.servers.values().filter(is_ready)
    }
}

/// Whether a notice is of the same start of the engine and not older than the entry.
fn is_newer(notice: &EngineNotice, server: &BackendServer) -> bool {
    let is_same_start = server.started_ms == 0 || notice.started_ms == server.started_ms;
    is_same_start && notice.n_orders >= server.n_orders
}

fn weights_of(notice: &EngineNotice, server: &BackendServer) -> Vec<HeldWeights> {
    let others = server.weights.iter().filter(|it| it.model != notice.model).cloned();
    let served = notice.serves.map(|version| HeldWeights {
        model: notice.model.clone(),
        version,
        first_layer: 0,
        end_layer: u32::MAX,
    });
    others.chain(served).collect()
}
