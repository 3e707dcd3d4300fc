//! The life of a slot process.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};

use crate::{
    fleet::{
        apply_versions, entry_registry, KindUpdate, KindWatch, StoreProbe, StoreRetry, StoreSource,
    },
    platform::{store::StoredObject, wire_config, wire_server},
    runtime,
    settings::{DeployedSettings, EngineSettings},
    slot::{
        messages,
        piece_ranks::address_hash,
        piece_server::PieceServer,
        slot_state::{PoolFacts, SlotState},
        switcher::Switcher,
    },
    weights::rank::score,
};

/// Longest pause between two calls of a store that is away.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1200);
/// Pause between two questions whether the store answers.
const CANARY_INTERVAL: Duration = Duration::from_millis(2000);
/// Sources that are asked for one list, the store last.
const MAX_SOURCES: usize = 4;
/// Pause between two reads of the lists.
const READ_INTERVAL: Duration = Duration::from_secs(12);

/// Runs a slot process until it is stopped.
pub(crate) async fn run(settings: DeployedSettings, engine: EngineSettings) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let slot = SlotState::new(settings, engine)?;
    let server = PieceServer::listen(&slot)?;
    log::info!("daemon: started host={} role=backend", slot.settings.host.id);
    let outage = StoreRetry::new(MAX_RETRY_DELAY);
    let sources = slot.sources.clone();
    let watch = KindWatch::new(sources.clone(), wire_server::VERSION_KIND, outage.clone());
    let versions = {
        let slot = slot.clone();
        runtime::spawn_local(watch.run(move |update| follow_versions(&slot, update)))
    };
    let canary =
        StoreProbe::new(sources, wire_server::VERSION_KIND, CANARY_INTERVAL, outage.clone());
    let tasks = [
        runtime::spawn_local(canary.run()),
        versions,
        runtime::spawn_local(read_lists(slot.clone(), outage)),
        runtime::spawn_local(messages::receive(slot.clone())),
        runtime::spawn_local(Switcher::new(slot).run()),
    ];
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => log::info!("daemon: settings are read at the next start"),
            Ok(_) => break,
            Err(err) => log::warn!("daemon: signal not read error=\"{err}\""),
        }
    }
    server.close().await;
    for task in tasks {
        task.cancel().await;
    }
    log::info!("daemon: ended");
    Ok(())
}

fn follow_versions(slot: &SlotState, update: KindUpdate) {
    if apply_versions(&slot.versions, update) {
        slot.version_named.notify(usize::MAX);
    }
    slot.changed.notify(usize::MAX);
}

/// Reads the charter and the lists of backend servers and entry hosts from time to time.
async fn read_lists(slot: Rc<SlotState>, outage: StoreRetry) {
    loop {
        let is_read =
            read_entries(&slot).await && read_members(&slot).await && read_pool(&slot).await;
        slot.changed.notify(usize::MAX);
        if !is_read {
            outage.wait().await;
            continue;
        }
        outage.reset();
        // All slots must rank the pieces of a new version by the same list.
        let pause = runtime::sleep(READ_INTERVAL.mul_f64(0.8 + 0.4 * fastrand::f64()));
        slot.version_named.listen().or(pause).await;
    }
}

/// Reads a list, from the next source when one does not answer.
async fn objects_of(slot: &SlotState, kind: &str) -> Option<Vec<StoredObject>> {
    for _ in 0..MAX_SOURCES {
        let source = slot.sources.choose(Instant::now());
        match slot.sources.client(source).list(kind).await {
            Ok(listing) => {
                slot.sources.mark_available(source);
                return Some(listing.objects);
            }
            Err(err) => {
                log::warn!("store: list failed kind={kind} source={source:?} error=\"{err}\"");
                slot.sources.mark_unavailable(source, Instant::now());
            }
        }
        if source == StoreSource::Store {
            break;
        }
    }
    None
}

async fn read_pool(slot: &SlotState) -> bool {
    let Some(objects) = objects_of(slot, wire_config::KIND).await else { return false };
    let charter = objects.iter().find_map(|it| match wire_config::decode(it) {
        Ok(charter) => charter,
        Err(err) => {
            log::error!("charter: not readable error=\"{err}\"");
            None
        }
    });
    let Some(charter) = charter else { return false };
    let service = charter.services.get(&slot.engine_settings.service);
    let Some(figures) = service.and_then(|it| it.engine.clone()) else { return false };
    let Some(model) = figures.models.first().map(|it| it.name.clone()) else { return false };
    let origin = charter.origin().cloned();
    *slot.pool.borrow_mut() = Some(PoolFacts { model, figures, origin });
    true
}

async fn read_members(slot: &SlotState) -> bool {
    let Some(objects) = objects_of(slot, wire_server::SERVER_KIND).await else {
        return false;
    };
    let port = slot.settings.peers.port();
    let mut members = slot.members.borrow_mut();
    members.clear();
    members.insert(slot.settings.peers, slot.settings.host.zone.clone());
    for object in &objects {
        match wire_server::decode_server(object) {
            Ok(server) if server.service == slot.engine_settings.service => {
                members.insert((server.address.ip(), port).into(), server.zone);
            }
            Ok(_) => {}
            Err(err) => log::debug!("fleet: entry left out error=\"{err}\""),
        }
    }
    drop(members);
    slot.update_ranks();
    true
}

/// Reads the list of entry hosts; each slot follows the store through another one.
async fn read_entries(slot: &SlotState) -> bool {
    let Some(objects) = objects_of(slot, entry_registry::KIND).await else { return false };
    let zone = &slot.settings.host.zone;
    let (near, far) = entry_registry::addresses_of(&objects, zone);
    *slot.entry_hosts.borrow_mut() = [near.clone(), far.clone()].concat();
    let relays = [near, far].map(|mut it| {
        it.sort_by_key(|it| score(address_hash(&slot.settings.peers), address_hash(it)));
        it
    });
    slot.sources.update(false, relays.concat());
    true
}
