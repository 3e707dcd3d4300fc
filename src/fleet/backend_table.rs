//! The backend servers that an entry host can use.
//!
//! During an outage the store may lose the leases of servers that still run. The table keeps such
//! entries for a short time, so that an outage does not remove the capacity of a pool.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    fleet::beacon::EngineNotice,
    ids::{BackendId, ServiceId},
    routing::{BackendServer, BackendState, LoadedLayers},
};

/// Time for which lapsed entries are kept; servers that still run register again within it.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);
/// Share of the ready backend servers above which simultaneous removals mean that the store lost
/// their leases, not that the servers stopped.
const MASS_LAPSE_SHARE: f64 = 0.3;
/// Minimum number of simultaneous removals that counts as a loss of leases.
const MIN_MASS_LAPSE: usize = 3;

/// A table of backend servers by id.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    servers: BTreeMap<BackendId, BackendServer>,
    lapsed: HashMap<BackendId, Instant>,
    notices: HashMap<SocketAddr, EngineNotice>,
}

impl BackendTable {
    /// Replaces all entries with a complete list. After an outage, entries that the list lacks are
    /// kept for a short time, as their leases may have lapsed in the outage.
    pub fn replace_all(
        &mut self,
        servers: Vec<BackendServer>,
        is_after_outage: bool,
        now: Instant,
    ) {
        let listed: BTreeMap<BackendId, BackendServer> =
            servers.into_iter().map(|it| (it.id.clone(), it)).collect();
        let missing: Vec<BackendId> =
            self.servers.keys().filter(|it| !listed.contains_key(*it)).cloned().collect();
        match is_after_outage {
            true => missing.into_iter().for_each(|it| self.remove_lapsed(it, now)),
            false => self.remove_all(missing, now),
        }
        for server in listed.into_values() {
            self.insert(server);
        }
    }

    /// Inserts or replaces an entry. Weights from a newer notice of the same engine take precedence
    /// over those in the entry.
    pub fn insert(&mut self, mut server: BackendServer) {
        self.lapsed.remove(&server.id);
        if let Some(notice) = self.notices.get(&server.address) {
            if is_newer(notice, &server) {
                server.weights = weights_of(notice, &server);
                server.is_switching = notice.serves.is_none();
            }
        }
        self.servers.insert(server.id.clone(), server);
    }

    /// Applies a slot process's notice about its engine; returns `true` if the weights changed.
    pub fn apply_notice(&mut self, notice: &EngineNotice) -> bool {
        self.notices.insert(notice.engine, notice.clone());
        let Some(server) = self.servers.values_mut().find(|it| it.address == notice.engine) else {
            return false;
        };
        if !is_newer(notice, server) {
            return false;
        }
        let weights = weights_of(notice, server);
        let has_changed = server.weights != weights;
        server.weights = weights;
        server.is_switching = notice.serves.is_none();
        has_changed
    }

    /// Removes entries whose removal was reported in one update. If they are a large share of the
    /// ready servers, the store has probably lost leases, so the entries are kept for a short time.
    pub fn remove_all(&mut self, ids: Vec<BackendId>, now: Instant) {
        let n_ready = self.servers.values().filter(|it| it.state == BackendState::Ready).count();
        let was_ready = |it: &&BackendId| {
            self.servers.get(*it).is_some_and(|it| it.state == BackendState::Ready)
        };
        let n_ready_removed = ids.iter().filter(was_ready).count();
        let is_mass_lapse = n_ready_removed >= MIN_MASS_LAPSE
            && n_ready_removed as f64 > MASS_LAPSE_SHARE * n_ready as f64;
        for id in ids {
            match is_mass_lapse {
                true => self.remove_lapsed(id, now),
                false => drop(self.servers.remove(&id)),
            }
        }
    }

    /// Keeps an entry whose lease may have lapsed in an outage until `LAPSE_GRACE` has passed. A
    /// draining server is removed at once.
    fn remove_lapsed(&mut self, id: BackendId, now: Instant) {
        if self.servers.get(&id).is_some_and(|it| it.state == BackendState::Draining) {
            self.servers.remove(&id);
            return;
        }
        log::info!("fleet: kept a lapsed entry for a short time backend={id}");
        self.lapsed.entry(id).or_insert(now);
    }

    /// Removes lapsed entries that were not registered again in time; returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<BackendId> {
        let expired: Vec<BackendId> = self
            .lapsed
            .iter()
            .filter(|it| now >= *it.1 + LAPSE_GRACE)
            .map(|it| it.0.clone())
            .collect();
        for id in &expired {
            self.lapsed.remove(id);
            self.servers.remove(id);
        }
        expired
    }

    /// Returns the backend server with this id.
    pub fn get(&self, id: &str) -> Option<&BackendServer> {
        self.servers.get(id)
    }

    /// Returns an iterator over all backend servers, lapsed ones included.
    pub fn iter(&self) -> impl Iterator<Item = &BackendServer> {
        self.servers.values()
    }

    /// Returns the backend servers of a pool or service that accept new requests.
    pub fn ready_of<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a BackendServer> + 'a {
        let is_ready =
            move |it: &&BackendServer| it.service == *service && it.state == BackendState::Ready;
        self.servers.values().filter(is_ready)
    }
}

/// Returns `true` if a notice is from the same start of the engine as the entry and not older.
fn is_newer(notice: &EngineNotice, server: &BackendServer) -> bool {
    let is_same_start = server.started_ms == 0 || notice.started_ms == server.started_ms;
    is_same_start && notice.n_orders >= server.n_orders
}

fn weights_of(notice: &EngineNotice, server: &BackendServer) -> Vec<LoadedLayers> {
    let others = server.weights.iter().filter(|it| it.model != notice.model).cloned();
    let loaded = notice.serves.map(|version| LoadedLayers {
        model: notice.model.clone(),
        version,
        first_layer: 0,
        end_layer: u32::MAX,
    });
    others.chain(loaded).collect()
}
