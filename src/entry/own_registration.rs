//! Keeps this host registered in the store: writes its registration at the start, and again if the
//! store has come back from a copy without it.

use std::{cell::Cell, rc::Rc};

use event_listener::Event;

use crate::{
    entry::entry_host::EntryHost,
    fleet::{entry_registry, registration_delay, registration_retry_delay},
    platform::store::{Store, StoredObject},
    runtime,
};

/// Whether the store has the registration of this host.
#[derive(Debug, Default)]
pub(crate) struct OwnRegistration {
    is_missing: Cell<bool>,
    became_missing: Event,
}

impl OwnRegistration {
    /// Applies a complete list of registrations.
    pub(crate) fn apply_listing(&self, host: &EntryHost, objects: &[StoredObject]) {
        let own = &host.settings.host;
        let of_this_host = objects.iter().find(|it| it.metadata.name == own.id);
        let registered = of_this_host.and_then(entry_registry::registration_of);
        let is_registered =
            registered.is_some_and(|it| it == (host.settings.peers, own.zone.clone()));
        self.is_missing.set(!is_registered);
        self.became_missing.notify(usize::MAX);
    }

    async fn wait_until_missing(&self) {
        loop {
            let became_missing = self.became_missing.listen();
            if self.is_missing.get() {
                return;
            }
            became_missing.await;
        }
    }
}

/// Registers this host, and again whenever a list lacks it, until the task is dropped.
pub(crate) async fn keep(host: Rc<EntryHost>, store: Store) {
    register(&host, &store).await;
    loop {
        host.registration.wait_until_missing().await;
        runtime::sleep(registration_delay(n_hosts(&host), fastrand::f64())).await;
        // A list after the delay may have the registration.
        if host.registration.is_missing.get() {
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
    host.registration.is_missing.set(false);
}

fn n_hosts(host: &EntryHost) -> usize {
    host.beacon_targets.borrow().len()
}
