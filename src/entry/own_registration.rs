//! Keeps this host registered in the store: writes its registration at the start, and again if the
//! store has come back from a copy without it.

use std::rc::Rc;

use crate::{
    entry::entry_host::EntryHost,
    fleet::{entry_registry, registration_delay, registration_retry_delay},
    platform::store::Store,
    runtime,
};

/// Registers this host, and again whenever a list lacks it, until the task is dropped.
pub(crate) async fn keep(host: Rc<EntryHost>, store: Store) {
    register(&host, &store).await;
    loop {
        host.registration.wait_until_missing().await;
        runtime::sleep(registration_delay(n_hosts(&host), fastrand::f64())).await;
        // A list after the delay may have the registration.
        if host.registration.is_missing() {
            log::info!("fleet: registering again, the store has lost the registration");
            register(&host, &store).await;
        }
    }
}

/// Registers this host in the store, so that other entry hosts send it beacons.
async fn register(host: &EntryHost, store: &Store) {
    let own = &host.settings.host;
    let mut n_failures = 0;
    while let Err(err) =
        entry_registry::register(store, &own.id, host.settings.peers, &own.zone).await
    {
        log::warn!("fleet: failed to register, retrying error=\"{err}\"");
        n_failures += 1;
        let delay = registration_retry_delay(n_hosts(host), n_failures, fastrand::f64());
        runtime::sleep(delay).await;
    }
    host.registration.record_registered();
}

fn n_hosts(host: &EntryHost) -> usize {
    host.beacon_targets.borrow().len()
}
