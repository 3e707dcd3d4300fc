//! The backend servers that an entry host can use.
//!
//! During an outage the store may lose the leases of servers that still run. The table keeps such
//! entries until a short time after its return, so that an outage does not remove the capacity of a
//! pool; a store that was not away loses no leases. When the store comes back from an older copy,
//! entries in it don't take back that a server leaves or has left.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    fleet::{beacon::EngineNotice, ExpiredEntries},
    ids::{BackendId, ServiceId},
    routing::{BackendServer, BackendState, LoadedLayers},
};

/// Time after the store's return until which lapsed entries are kept; servers that still run register
/// again within it.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);
/// Share of the ready backend servers above which simultaneous removals shortly after an outage mean
/// that the store lost their leases, not that the servers stopped.
const MASS_LAPSE_SHARE: f64 = 0.3;
/// Minimum number of simultaneous removals that counts as a loss of leases.
const MIN_MASS_LAPSE: usize = 3;
/// Time for which an entry of a server that has left is unconfirmed after the store came back from an
/// older copy; by then the store has removed the entries of servers that don't renew them.
const CONFIRMATION_TIME: Duration = Duration::from_secs(5);
/// Time for which servers that have left are remembered, longer than the age of a copy.
const DEPARTED_MEMORY: Duration = Duration::from_secs(120);
/// Time for which a notice takes precedence over entries that report other weights, as an engine
/// writes its entry at intervals and the store reports it later still.
const NOTICE_PRECEDENCE: Duration = Duration::from_millis(2500);

/// A table of backend servers by id.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    servers: BTreeMap<BackendId, BackendServer>,
    /// The weights in the entries, which notices override in `servers`.
    entry_weights: HashMap<BackendId, Vec<LoadedLayers>>,
    /// Entries whose leases may have lapsed, with the times until which they are kept.
    lapsed: HashMap<BackendId, Instant>,
    /// Servers whose entries were removed, by id.
    departed: HashMap<BackendId, DepartedServer>,
    /// Entries in an older copy of servers that have left, with the time since which they are there.
    unconfirmed: HashMap<BackendId, (BackendServer, Instant)>,
    notices: HashMap<SocketAddr, ReceivedNotice>,
}

/// A start of a server whose entry was removed.
#[derive(Clone, Copy, Debug)]
struct DepartedServer {
    started_ms: u64,
    removed: Instant,
}

/// A notice of a slot process, with the time at which it arrived.
#[derive(Clone, Debug)]
struct ReceivedNotice {
    notice: EngineNotice,
    received: Instant,
    /// The weights in the engine's entry when the notice arrived.
    entry_weights: Vec<LoadedLayers>,
}

impl BackendTable {
    /// Replaces all entries with a complete list. Entries that the list lacks shortly after the store
    /// `returned` from an outage are kept for a short time, as their leases may have lapsed in it.
    pub fn replace_all(
        &mut self,
        servers: Vec<BackendServer>,
        returned: Option<Instant>,
        now: Instant,
    ) {
        let listed: BTreeMap<BackendId, BackendServer> =
            servers.into_iter().map(|it| (it.id.clone(), it)).collect();
        let missing: Vec<BackendId> =
            self.servers.keys().filter(|it| !listed.contains_key(*it)).cloned().collect();
        for id in missing {
            match grace_end(returned, now) {
                Some(until) => self.remove_lapsed(id, until, now),
                None => self.remove_departed(&id, now),
            }
        }
        for server in listed.into_values() {
            self.insert(server, now);
        }
    }

    /// Returns the entries of an older copy as they may be used: a server that this table knows to
    /// leave keeps leaving, a later start of it stays, and one that has left is unconfirmed for a while.
    pub fn accept_restored(
        &mut self,
        restored: Vec<BackendServer>,
        now: Instant,
    ) -> Vec<BackendServer> {
        let unconfirmed_before = std::mem::take(&mut self.unconfirmed);
        let mut accepted = Vec::new();
        for server in restored {
            let departed = self.departed.get(&server.id);
            if departed.is_some_and(|it| it.started_ms >= server.started_ms) {
                log::info!(
                    "fleet: held back a restored entry until it is renewed backend={}",
                    server.id
                );
                let since = unconfirmed_before.get(&server.id).map_or(now, |it| it.1);
                self.unconfirmed.insert(server.id.clone(), (server, since));
            } else {
                accepted.push(self.newest_known(server));
            }
        }
        accepted
    }

    fn newest_known(&self, restored: BackendServer) -> BackendServer {
        match self.servers.get(&restored.id) {
            Some(known) if known.started_ms > restored.started_ms => {
                let weights = self.entry_weights.get(&known.id).cloned().unwrap_or_default();
                BackendServer { weights, ..known.clone() }
            }
            Some(known) if known.started_ms == restored.started_ms => {
                let is_leaving = known.state == BackendState::Draining;
                let state = if is_leaving { BackendState::Draining } else { restored.state };
                BackendServer { state, ..restored }
            }
            _ => restored,
        }
    }

    /// Inserts or replaces an entry. The weights in a notice of the same engine take precedence over
    /// those in the entry, until the entry changes later than `NOTICE_PRECEDENCE` after the notice.
    pub fn insert(&mut self, server: BackendServer, now: Instant) {
        let id = server.id.clone();
        self.lapsed.remove(&id);
        self.departed.remove(&id);
        self.unconfirmed.remove(&id);
        self.entry_weights.insert(id.clone(), server.weights.clone());
        self.servers.insert(id.clone(), server);
        self.update_weights(&id, now);
    }

    /// Applies a slot process's notice about its engine, unless a newer one has arrived; returns
    /// `true` if the weights changed.
    pub fn apply_notice(&mut self, notice: &EngineNotice, now: Instant) -> bool {
        let version = |it: &EngineNotice| (it.started_ms, it.n_orders);
        let previous = self.notices.get(&notice.engine);
        if previous.is_some_and(|it| version(&it.notice) > version(notice)) {
            return false;
        }
        let is_repeated = previous.is_some_and(|it| it.notice == *notice);
        let server = self.servers.values().find(|it| it.address == notice.engine);
        let Some(id) = server.map(|it| it.id.clone()) else {
            self.store_notice(notice, Vec::new(), now);
            return false;
        };
        if !is_repeated {
            let entry_weights = self.entry_weights.get(&id).cloned().unwrap_or_default();
            self.store_notice(notice, entry_weights, now);
        }
        self.update_weights(&id, now)
    }

    fn store_notice(
        &mut self,
        notice: &EngineNotice,
        entry_weights: Vec<LoadedLayers>,
        now: Instant,
    ) {
        let received = ReceivedNotice { notice: notice.clone(), received: now, entry_weights };
        self.notices.insert(notice.engine, received);
    }

    /// Recomputes the weights of one server from its entry and the notice about its engine; returns
    /// `true` if they changed.
    fn update_weights(&mut self, id: &str, now: Instant) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        let entry_weights = self.entry_weights.get(id).cloned().unwrap_or_default();
        let notice = self.notices.get(&server.address);
        let notice = notice.filter(|it| it.takes_precedence(server, &entry_weights, now));
        let weights = match notice {
            Some(it) => weights_of(&it.notice, &entry_weights),
            None => entry_weights,
        };
        server.is_switching = notice.is_some_and(|it| it.notice.serves.is_none());
        let has_changed = server.weights != weights;
        server.weights = weights;
        has_changed
    }

    /// Removes entries whose removal was reported in one update. If they are a large share of the
    /// ready servers shortly after the store `returned` from an outage, it has probably lost leases, so
    /// the entries are kept for a short time.
    pub fn remove_all(&mut self, ids: Vec<BackendId>, returned: Option<Instant>, now: Instant) {
        let n_ready = self.servers.values().filter(|it| it.state == BackendState::Ready).count();
        let was_ready = |it: &&BackendId| {
            self.servers.get(*it).is_some_and(|it| it.state == BackendState::Ready)
        };
        let n_ready_removed = ids.iter().filter(was_ready).count();
        let is_mass_lapse = n_ready_removed >= MIN_MASS_LAPSE
            && n_ready_removed as f64 > MASS_LAPSE_SHARE * n_ready as f64;
        let kept_until = grace_end(returned, now).filter(|_| is_mass_lapse);
        for id in ids {
            match kept_until {
                Some(until) => self.remove_lapsed(id, until, now),
                None => self.remove_departed(&id, now),
            }
        }
    }

    /// Removes the entry of a server that has left, and remembers that.
    fn remove_departed(&mut self, id: &str, now: Instant) {
        self.unconfirmed.remove(id);
        self.lapsed.remove(id);
        if let Some(server) = self.servers.get(id) {
            let departed = DepartedServer { started_ms: server.started_ms, removed: now };
            self.departed.insert(id.to_owned(), departed);
        }
        self.remove(id);
    }

    /// Keeps an entry whose lease may have lapsed in an outage until that time. A draining server is
    /// removed at once.
    fn remove_lapsed(&mut self, id: BackendId, until: Instant, now: Instant) {
        if self.servers.get(&id).is_some_and(|it| it.state == BackendState::Draining) {
            self.remove_departed(&id, now);
            return;
        }
        log::info!("fleet: kept a lapsed entry for a short time backend={id}");
        self.unconfirmed.remove(&id);
        self.lapsed.entry(id).or_insert(until);
    }

    /// Removes lapsed entries that were not registered again in time, and inserts unconfirmed ones that
    /// the store has kept.
    pub fn expire(&mut self, now: Instant) -> ExpiredEntries {
        let is_over = |it: &(&BackendId, &Instant)| now >= *it.1;
        let expired: Vec<BackendId> =
            self.lapsed.iter().filter(is_over).map(|it| it.0.clone()).collect();
        for id in &expired {
            self.remove_departed(id, now);
        }
        self.departed.retain(|_, it| now < it.removed + DEPARTED_MEMORY);
        let is_trusted = |it: &&(BackendServer, Instant)| now >= it.1 + CONFIRMATION_TIME;
        let trusted: Vec<BackendServer> =
            self.unconfirmed.values().filter(is_trusted).map(|it| it.0.clone()).collect();
        let confirmed = trusted.clone();
        trusted.into_iter().for_each(|it| self.insert(it, now));
        ExpiredEntries { removed: expired, confirmed }
    }

    /// Recomputes the weights of all servers, as notices lose their precedence with time.
    pub fn refresh_weights(&mut self, now: Instant) {
        let ids: Vec<BackendId> = self.servers.keys().cloned().collect();
        for id in ids {
            self.update_weights(&id, now);
        }
    }

    fn remove(&mut self, id: &str) {
        self.servers.remove(id);
        self.entry_weights.remove(id);
    }

    /// Returns the backend server with this id.
    pub fn get(&self, id: &str) -> Option<&BackendServer> {
        self.servers.get(id)
    }

    /// Returns `true` if an engine has stopped serving to load other weights.
    pub fn is_switching(&self, id: &str) -> bool {
        self.get(id).is_some_and(|it| it.is_switching)
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

impl ReceivedNotice {
    /// Returns `true` if the notice, not the entry, tells the weights of the engine now. A notice of
    /// another start of the engine never does.
    fn takes_precedence(
        &self,
        server: &BackendServer,
        entry_weights: &[LoadedLayers],
        now: Instant,
    ) -> bool {
        let is_same_start = server.started_ms == 0 || self.notice.started_ms == server.started_ms;
        let is_entry_unchanged = self.entry_weights == entry_weights;
        let is_recent = now.duration_since(self.received) < NOTICE_PRECEDENCE;
        is_same_start && (is_entry_unchanged || is_recent)
    }
}

/// Returns the time until which entries that lapsed before the store `returned` are kept, unless it has
/// passed.
fn grace_end(returned: Option<Instant>, now: Instant) -> Option<Instant> {
    returned.map(|it| it + LAPSE_GRACE).filter(|it| now < *it)
}

/// Returns the weights of an engine after a notice about one of its models.
fn weights_of(notice: &EngineNotice, entry_weights: &[LoadedLayers]) -> Vec<LoadedLayers> {
    let others = entry_weights.iter().filter(|it| it.model != notice.model).cloned();
    let loaded = notice.serves.map(|version| LoadedLayers {
        model: notice.model.clone(),
        version,
        first_layer: 0,
        end_layer: u32::MAX,
    });
    others.chain(loaded).collect()
}
