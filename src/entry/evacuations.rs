//! Keeps the evacuated zones of an entry host up to date with the store, if the platform evacuates
//! zones.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use async_executor::Task;

use crate::{
    entry::{entry_host::EntryHost, store_sync},
    fleet::{EvacuatedZones, KindUpdate, LostEvacuation, StoreRetry},
    platform::wire_evacuation,
    runtime,
};

/// Time after its start for which a host learns evacuations from others.
const EVACUATION_LEARNING_TIME: Duration = Duration::from_secs(3);

/// Starts to watch the evacuations; `None` if the settings have no bound for them.
pub(crate) fn start(host: &Rc<EntryHost>, retry: &StoreRetry) -> Option<Task<()>> {
    host.settings.bounds.evacuation?;
    let watch = store_sync::watch(host, wire_evacuation::EVACUATION_KIND, retry);
    let host = host.clone();
    Some(runtime::spawn_local(watch.run(move |update| apply(&host, update))))
}

fn apply(host: &EntryHost, update: KindUpdate) {
    let generation = host.sources.generation();
    change(host, |it| it.apply(update, generation, Instant::now()));
}

/// Learns the evacuations that the store has lost, if this host has just started: any other one has seen
/// itself what the store had.
pub(crate) fn learn(host: &EntryHost, lost: &[LostEvacuation]) {
    let is_watched = host.settings.bounds.evacuation.is_some();
    if is_watched && host.started.elapsed() < EVACUATION_LEARNING_TIME {
        change(host, |it| it.learn(lost, Instant::now()));
    }
}

/// Ends the evacuations whose entries were lost with the store and not written again.
pub(crate) fn expire(host: &EntryHost) {
    change(host, |it| it.expire(Instant::now()));
}

/// Applies a change, which says whether it made a difference. The servers of a zone that is taken back
/// may be cold.
fn change(host: &EntryHost, apply: impl FnOnce(&mut EvacuatedZones) -> bool) {
    let before = host.evacuated.borrow().names();
    if !apply(&mut host.evacuated.borrow_mut()) {
        return;
    }
    let evacuated = host.evacuated.borrow().names();
    for zone in before.iter().filter(|it| !evacuated.contains(it)) {
        host.cold_servers.borrow_mut().note_zone_returned(zone, Instant::now());
    }
    decide_again(host);
}

/// Decides on the waiting requests of this host and of its engines again, and closes what it holds open
/// to evacuated zones.
fn decide_again(host: &EntryHost) {
    let evacuated = host.evacuated.borrow().names();
    for server in host.backends.borrow().iter().filter(|it| evacuated.contains(&it.zone)) {
        host.connections.close_idle(&server.id);
    }
    host.allowed_changed.notify(usize::MAX);
    host.cell_owner.decide_waiting(host);
}
