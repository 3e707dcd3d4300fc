//! Keeps the state of an entry host up to date with the store: charters, backend servers, versions
//! and the other entry hosts.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use async_executor::Task;

use crate::{
    clock,
    entry::entry_host::EntryHost,
    fleet::{
        apply_versions, entry_registry, KindUpdate, KindWatch, StoreProbe, StoreRetry,
        TURN_INTERVAL,
    },
    ids::BackendId,
    placement::ColdChanges,
    platform::{
        skipped_objects::decode_or_skip,
        store::{Change, StoredObject},
        wire_config, wire_evacuation, wire_server,
    },
    routing::{BackendServer, RoutingCharter},
    runtime,
};

/// Longest mean delay between two calls of an unavailable store.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time over which changes of backend servers are batched; slot processes report the urgent ones
/// directly.
const SERVER_BATCH_INTERVAL: Duration = Duration::from_millis(400);
/// Time over which registrations of entry hosts are batched, as all of a deployment may start at
/// once.
const REGISTRATION_BATCH_INTERVAL: Duration = Duration::from_millis(400);
/// Time over which changes of the charter are batched, as its transfer may occupy the link of a
/// small host for a tenth of a second.
const CHARTER_BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// The kinds whose changes must be in force soonest.
const URGENT_KINDS: [&str; 2] = [wire_server::SERVER_KIND, wire_config::CONFIG_KIND];
/// The same if the platform evacuates zones.
const URGENT_KINDS_WITH_EVACUATIONS: [&str; 3] =
    [wire_server::SERVER_KIND, wire_config::CONFIG_KIND, wire_evacuation::EVACUATION_KIND];
/// Mean interval between two probes of the store.
const STORE_PROBE_INTERVAL: Duration = Duration::from_millis(600);

/// Returns the pacing of retries that all watches of a process share.
pub(crate) fn new_retry() -> StoreRetry {
    StoreRetry::new(MAX_RETRY_DELAY)
}

/// Starts to watch all kinds of objects that an entry host uses, and to probe the store.
pub(crate) fn start(host: &Rc<EntryHost>, retry: &StoreRetry) -> Vec<Task<()>> {
    let charter = {
        let host = host.clone();
        let watch =
            watch(&host, wire_config::CONFIG_KIND, retry).with_batch_delay(CHARTER_BATCH_INTERVAL);
        runtime::spawn_local(watch.run(move |update| apply_charters(&host, update)))
    };
    let servers = {
        let host = host.clone();
        let watch =
            watch(&host, wire_server::SERVER_KIND, retry).with_batch_delay(SERVER_BATCH_INTERVAL);
        runtime::spawn_local(watch.run(move |update| apply_servers(&host, update)))
    };
    let versions = {
        let host = host.clone();
        let watch = watch(&host, wire_server::VERSION_KIND, retry);
        runtime::spawn_local(watch.run(move |update| apply_version_update(&host, update)))
    };
    let entries = {
        let host = host.clone();
        let watch =
            watch(&host, entry_registry::KIND, retry).with_batch_delay(REGISTRATION_BATCH_INTERVAL);
        runtime::spawn_local(watch.run(move |update| apply_entry_hosts(&host, update)))
    };
    let sources = host.sources.clone();
    let listed = wire_server::VERSION_KIND;
    let urgent = match host.settings.bounds.evacuation {
        Some(_) => URGENT_KINDS_WITH_EVACUATIONS.as_slice(),
        None => URGENT_KINDS.as_slice(),
    };
    let probe = StoreProbe::new(sources, listed, urgent, STORE_PROBE_INTERVAL, retry.clone());
    let probe = runtime::spawn_local(probe.run());
    let turns = runtime::spawn_local(record_turns(host.clone()));
    vec![charter, servers, versions, entries, probe, turns]
}

/// Records that the process runs, until the task is dropped.
async fn record_turns(host: Rc<EntryHost>) {
    loop {
        host.stalls.borrow_mut().record_turn(clock::now());
        runtime::sleep(TURN_INTERVAL).await;
    }
}

/// Creates the watch of a kind that other processes can follow through this host.
pub(crate) fn watch(host: &EntryHost, kind: &'static str, retry: &StoreRetry) -> KindWatch {
    KindWatch::new(host.sources.clone(), kind, retry.clone())
        .with_cache(host.cache.clone())
        .with_stall_detector(host.stalls.clone())
}

/// Adds the addresses of entry hosts to the targets of beacons. Entry hosts that were removed from
/// the store stay targets.
fn apply_entry_hosts(host: &EntryHost, update: KindUpdate) {
    let objects: Vec<StoredObject> = match update {
        KindUpdate::Listed { objects, .. } => {
            host.registration.apply_listing(&objects);
            host.knows_entry_hosts.set(true);
            objects
        }
        KindUpdate::Changed { changes, .. } => changes.into_iter().map(|it| it.object).collect(),
    };
    let listed = objects.iter().filter_map(entry_registry::registration_of);
    host.beacon_targets.borrow_mut().extend(listed);
    log::info!("fleet: updated the list of entry hosts n={}", host.beacon_targets.borrow().len());
}

/// Puts the charter in an update into force, if it is newer.
pub(crate) fn apply_charters(host: &EntryHost, update: KindUpdate) {
    let objects = match update {
        KindUpdate::Listed { objects, .. } => objects,
        KindUpdate::Changed { changes, .. } => changes.into_iter().map(|it| it.object).collect(),
    };
    for object in objects {
        let charter = decode_or_skip(wire_config::CONFIG_KIND, &object, wire_config::decode_config);
        if let Some(charter) = charter.flatten() {
            apply_charter(host, charter);
        }
    }
}

/// Puts a charter into force, unless one with the same or a greater number is in force.
fn apply_charter(host: &EntryHost, charter: RoutingCharter) {
    let mut in_force = host.charter.borrow_mut();
    let before = in_force.as_ref().map_or(0, |it| it.number);
    if charter.number <= before && in_force.is_some() {
        return;
    }
    log::info!("charter: in force number={} before={before}", charter.number);
    host.cold_servers.borrow_mut().update_services(&charter.services);
    *in_force = Some(Rc::new(charter));
    drop(in_force);
    host.allowed_changed.notify(usize::MAX);
    update_cold_servers(host, &BTreeSet::new(), Instant::now());
    host.engine_owners.update(host);
}

fn apply_servers(host: &EntryHost, update: KindUpdate) {
    let now = Instant::now();
    let renewed = match update {
        KindUpdate::Listed { objects, restored_until, .. } => {
            let (restored, current): (Vec<StoredObject>, Vec<StoredObject>) =
                objects.into_iter().partition(|it| it.metadata.revision <= restored_until);
            let restored = restored.iter().filter_map(decode_server).collect();
            let mut backends = host.backends.borrow_mut();
            let mut servers = backends.accept_restored(restored, now);
            servers.extend(current.iter().filter_map(decode_server));
            log::info!("fleet: replaced the list of backend servers n={}", servers.len());
            backends.replace_all(servers, host.sources.contact().returned(), now);
            host.has_backends.set(true);
            BTreeSet::new()
        }
        KindUpdate::Changed { changes, .. } => apply_server_changes(host, changes, now),
    };
    update_cold_servers(host, &renewed, now);
    host.backends.borrow().iter().for_each(|it| host.server_notices.note_listed(it));
    host.engine_owners.update(host);
}

/// Applies changed entries; returns the servers that have written theirs.
fn apply_server_changes(
    host: &EntryHost,
    changes: Vec<Change>,
    now: Instant,
) -> BTreeSet<BackendId> {
    let mut backends = host.backends.borrow_mut();
    let mut removed = Vec::new();
    let mut renewed = BTreeSet::new();
    for change in changes {
        let id = change.object.metadata.name.clone();
        removed.retain(|it| *it != id);
        match decode_server(&change.object) {
            _ if change.deleted => removed.push(id),
            Some(server) => {
                renewed.insert(id);
                backends.insert(server, now);
            }
            // A backend server whose entry is invalid cannot be used.
            None => removed.push(id),
        }
    }
    backends.remove_all(removed, host.sources.contact().returned(), now);
    renewed
}

/// Notes which servers are cold after an update, in which the entries of `renewed` changed.
fn update_cold_servers(host: &EntryHost, renewed: &BTreeSet<BackendId>, now: Instant) {
    if !host.has_backends.get() {
        return;
    }
    let mut cold_servers = host.cold_servers.borrow_mut();
    cold_servers.update_servers(host.backends.borrow().iter(), renewed, now);
    let ColdChanges { limited, warm } = cold_servers.take_changes(now);
    if !limited.is_empty() || !warm.is_empty() {
        log::info!("cold: servers changed limited={limited:?} warm={warm:?}");
    }
}

fn decode_server(object: &StoredObject) -> Option<BackendServer> {
    decode_or_skip(wire_server::SERVER_KIND, object, wire_server::decode_server)
}

/// Applies an update of the intended versions; decides on the waiting requests, as other engines may
/// be eligible now.
pub(crate) fn apply_version_update(host: &EntryHost, update: KindUpdate) {
    if apply_versions(&host.versions, update) {
        host.version_published.notify(usize::MAX);
        host.cell_owner.decide_waiting(host);
    }
}
