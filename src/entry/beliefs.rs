//! Keeps the beliefs of an entry host up to date from the store.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use async_executor::Task;

use crate::{
    entry::entry_host::EntryHost,
    fleet::{apply_versions, entry_registry, KindUpdate, KindWatch, StoreProbe, StoreRetry},
    platform::{
        store::{Change, StoredObject},
        wire_config, wire_server,
    },
    routing::{BackendServer, RoutingCharter},
    runtime,
};

/// Longest pause between two calls of a store that is away.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Pause in which changes of backend servers gather; slot processes tell the urgent ones.
const SERVER_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two questions whether the store answers.
const CANARY_INTERVAL: Duration = Duration::from_millis(600);

/// Starts to follow everything that an entry host goes by.
pub(crate) fn follow(host: &Rc<EntryHost>) -> Vec<Task<()>> {
    let outage = StoreRetry::new(MAX_RETRY_DELAY);
    let charter = {
        let host = host.clone();
        let watch = watch(&host, wire_config::KIND, &outage);
        runtime::spawn_local(watch.run(move |update| take_charters(&host, update)))
    };
    let servers = {
        let host = host.clone();
        let watch = watch(&host, wire_server::SERVER_KIND, &outage).with_batch_delay(SERVER_PAUSE);
        runtime::spawn_local(watch.run(move |update| take_servers(&host, update)))
    };
    let versions = {
        let host = host.clone();
        let watch = watch(&host, wire_server::VERSION_KIND, &outage);
        runtime::spawn_local(watch.run(move |update| follow_versions(&host, update)))
    };
    let entries = {
        let host = host.clone();
        let watch = watch(&host, entry_registry::KIND, &outage);
        runtime::spawn_local(watch.run(move |update| take_entry_hosts(&host, update)))
    };
    let sources = host.sources.clone();
    let canary = StoreProbe::new(sources, wire_server::VERSION_KIND, CANARY_INTERVAL, outage);
    let canary = runtime::spawn_local(canary.run());
    vec![charter, servers, versions, entries, canary]
}

fn watch(host: &EntryHost, kind: &'static str, outage: &StoreRetry) -> KindWatch {
    KindWatch::new(host.sources.clone(), kind, outage.clone()).with_cache(host.cache.clone())
}

/// Takes the addresses at which beacons reach entry hosts; those that are gone included.
fn take_entry_hosts(host: &EntryHost, update: KindUpdate) {
    let objects: Vec<StoredObject> = match update {
        KindUpdate::Listed { objects, .. } => objects,
        KindUpdate::Changed(changes) => changes.into_iter().map(|it| it.object).collect(),
    };
    let listed = objects.iter().filter_map(entry_registry::address_of);
    host.beacon_targets.borrow_mut().extend(listed);
    log::info!("fleet: entry hosts listed n={}", host.beacon_targets.borrow().len());
}

fn take_charters(host: &EntryHost, update: KindUpdate) {
    let objects = match update {
        KindUpdate::Listed { objects, .. } => objects,
        KindUpdate::Changed(changes) => changes.into_iter().map(|it| it.object).collect(),
    };
    for object in objects {
        match wire_config::decode(&object) {
            Ok(Some(charter)) => take_charter(host, charter),
            Ok(None) => {}
            Err(err) => log::error!("charter: not readable error=\"{err}\""),
        }
    }
}

/// Takes a charter unless one with a greater number is in force.
fn take_charter(host: &EntryHost, charter: RoutingCharter) {
    let mut held = host.charter.borrow_mut();
    let before = held.as_ref().map_or(0, |it| it.number);
    if charter.number <= before && held.is_some() {
        return;
    }
    log::info!("charter: in force number={} before={before}", charter.number);
    *held = Some(Rc::new(charter));
}

fn take_servers(host: &EntryHost, update: KindUpdate) {
    let now = Instant::now();
    match update {
        KindUpdate::Listed { objects, is_after_outage, .. } => {
            let servers: Vec<BackendServer> = objects.iter().filter_map(readable_server).collect();
            log::info!("fleet: backend servers listed n={}", servers.len());
            host.backends.borrow_mut().replace_all(servers, is_after_outage, now);
            host.has_backends.set(true);
        }
        KindUpdate::Changed(changes) => take_server_changes(host, changes, now),
    }
    host.update_engine_owners();
}

fn take_server_changes(host: &EntryHost, changes: Vec<Change>, now: Instant) {
    let mut backends = host.backends.borrow_mut();
    let mut gone = Vec::new();
    for change in changes {
        let id = change.object.metadata.name.clone();
        gone.retain(|it| *it != id);
        match readable_server(&change.object) {
            _ if change.deleted => gone.push(id),
            Some(server) => backends.insert(server),
            // An entry that has become unreadable names no backend server to use.
            None => gone.push(id),
        }
    }
    backends.remove_all(gone, now);
}

fn readable_server(object: &StoredObject) -> Option<BackendServer> {
    match wire_server::decode_server(object) {
        Ok(server) => Some(server),
        Err(err) => {
            log::warn!("fleet: entry left out backend={} error=\"{err}\"", object.metadata.name);
            None
        }
    }
}

/// Takes named versions; requests may have to go to other engines from now on.
fn follow_versions(host: &EntryHost, update: KindUpdate) {
    if apply_versions(&host.versions, update) {
        host.places_changed.notify(usize::MAX);
    }
}
