//! Start, main tasks and shutdown of a slot process.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;

use crate::{
    fleet::{
        apply_versions, entry_registry, KindUpdate, KindWatch, StoreProbe, StoreRetry, StoreSource,
    },
    platform::{skipped_objects::decode_or_skip, store::StoredObject, wire_config, wire_server},
    runtime,
    settings::{DeployedSettings, EngineSettings},
    slot::{
        engine_driver::EngineDriver,
        peer_messages,
        piece_ranks::address_hash,
        piece_server::PieceServer,
        slot_state::{OwnPool, SlotState},
    },
    stop_signals::StopSignals,
    weights::rank::score,
};

/// Longest mean delay between two calls of an unavailable store.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1200);
/// Mean interval between two probes of the store.
const STORE_PROBE_INTERVAL: Duration = Duration::from_millis(2000);
/// The maximum number of sources tried for one list; the store is the last of them.
const MAX_SOURCES: usize = 4;
/// Mean interval between two reads of the lists.
const READ_INTERVAL: Duration = Duration::from_secs(12);

/// Runs a slot process until it receives SIGTERM or SIGINT.
pub(crate) async fn run(settings: DeployedSettings, engine: EngineSettings) -> io::Result<()> {
    let mut signals = StopSignals::listen()?;
    let slot = SlotState::new(settings, engine)?;
    let server = PieceServer::listen(&slot)?;
    log::info!("daemon: started host={} role=backend", slot.settings.host.id);
    let store_retry = StoreRetry::new(MAX_RETRY_DELAY);
    let sources = slot.sources.clone();
    let watch = KindWatch::new(sources.clone(), wire_server::VERSION_KIND, store_retry.clone());
    let versions = {
        let slot = slot.clone();
        runtime::spawn_local(async move {
            // The versions are then watched through an entry host, not at the store.
            slot.wait_for_entry_hosts().await;
            watch.run(move |update| apply_version_update(&slot, update)).await;
        })
    };
    let store_probe = StoreProbe::new(
        sources,
        wire_server::VERSION_KIND,
        &[wire_server::VERSION_KIND],
        STORE_PROBE_INTERVAL,
        store_retry.clone(),
    );
    let tasks = [
        runtime::spawn_local(store_probe.run()),
        versions,
        runtime::spawn_local(read_lists(slot.clone(), store_retry)),
        runtime::spawn_local(peer_messages::receive(slot.clone())),
        runtime::spawn_local(EngineDriver::new(slot).run()),
    ];
    signals.wait().await;
    server.close().await;
    for task in tasks {
        task.cancel().await;
    }
    log::info!("daemon: stopped");
    Ok(())
}

fn apply_version_update(slot: &SlotState, update: KindUpdate) {
    if apply_versions(&slot.versions, update) {
        slot.version_published.notify(usize::MAX);
    }
    slot.changed.notify(usize::MAX);
}

/// Reads the charter and the lists of backend servers and entry hosts at intervals, and the list of
/// backend servers also after each new version.
async fn read_lists(slot: Rc<SlotState>, store_retry: StoreRetry) {
    let mut next_full_read = Instant::now();
    loop {
        let published = slot.version_published.listen();
        let is_full_read = Instant::now() >= next_full_read;
        let has_read = match is_full_read {
            true => {
                read_entry_hosts(&slot).await && read_members(&slot).await && read_pool(&slot).await
            }
            false => read_members(&slot).await,
        };
        slot.changed.notify(usize::MAX);
        if !has_read {
            store_retry.wait().await;
            continue;
        }
        store_retry.reset();
        if is_full_read {
            next_full_read = Instant::now() + READ_INTERVAL.mul_f64(0.8 + 0.4 * fastrand::f64());
        }
        // A new version ends the pause, as all slots must rank its pieces by the same list of
        // members. The charter can be long, and its transfer would delay the first pieces.
        let pause = runtime::sleep_until(next_full_read);
        published.or(pause).await;
    }
}

/// Lists the objects of `kind`, trying the next source when one fails; `None` if all fail.
async fn list_objects(slot: &SlotState, kind: &str) -> Option<Vec<StoredObject>> {
    for _ in 0..MAX_SOURCES {
        let source = slot.sources.choose(Instant::now());
        match slot.sources.client(source).list(kind).await {
            // An entry host that hasn't noticed yet that the store came back from an older copy.
            Ok(listing) if listing.at.generation < slot.sources.generation() => {
                slot.sources.mark_unavailable(source, Instant::now());
            }
            Ok(listing) => {
                slot.sources.record_generation(listing.at.generation);
                slot.sources.mark_available(source);
                return Some(listing.objects);
            }
            Err(err) => {
                log::warn!(
                    "store: failed to list objects kind={kind} source={source:?} error=\"{err}\""
                );
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
    let Some(objects) = list_objects(slot, wire_config::CONFIG_KIND).await else { return false };
    let charter = objects.iter().find_map(|it| {
        decode_or_skip(wire_config::CONFIG_KIND, it, wire_config::decode_config).flatten()
    });
    let Some(charter) = charter else { return false };
    let service = charter.services.get(&slot.engine_settings.service);
    let Some(engine_spec) = service.and_then(|it| it.engine.clone()) else { return false };
    let Some(model) = engine_spec.models.first().map(|it| it.name.clone()) else { return false };
    let origin = charter.origin().cloned();
    *slot.pool.borrow_mut() = Some(OwnPool { model, engine_spec, origin });
    true
}

async fn read_members(slot: &SlotState) -> bool {
    let Some(objects) = list_objects(slot, wire_server::SERVER_KIND).await else {
        return false;
    };
    let port = slot.settings.peers.port();
    let mut members = slot.members.borrow_mut();
    members.clear();
    members.insert(slot.settings.peers, slot.settings.host.zone.clone());
    for object in &objects {
        let server = decode_or_skip(wire_server::SERVER_KIND, object, wire_server::decode_server);
        if let Some(server) = server.filter(|it| it.service == slot.engine_settings.service) {
            members.insert((server.address.ip(), port).into(), server.zone);
        }
    }
    drop(members);
    slot.update_ranks();
    true
}

/// Reads the list of entry hosts and ranks them as relays of the store, those of the own zone
/// first.
///
/// The order depends on the slot's address, which spreads the slots over the entry hosts.
async fn read_entry_hosts(slot: &SlotState) -> bool {
    let Some(objects) = list_objects(slot, entry_registry::KIND).await else { return false };
    let zone = &slot.settings.host.zone;
    let (same_zone, other_zones) = entry_registry::addresses_of(&objects, zone);
    // The owners of the engine are in its own zone, unless that has no entry host.
    let informed = if same_zone.is_empty() { &other_zones } else { &same_zone };
    *slot.entry_hosts.borrow_mut() = informed.clone();
    let relays = [same_zone, other_zones].map(|mut it| {
        it.sort_by_key(|it| score(address_hash(&slot.settings.peers), address_hash(it)));
        it
    });
    slot.sources.update(false, relays.concat());
    slot.has_entry_hosts.set(true);
    slot.changed.notify(usize::MAX);
    true
}
