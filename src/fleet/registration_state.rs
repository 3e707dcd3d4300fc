//! Whether the store has the registration of an entry host.

use std::{cell::Cell, net::SocketAddr};

use event_listener::Event;

use crate::{
    fleet::entry_registry,
    ids::{HostId, ZoneId},
    platform::store::StoredObject,
};

/// Whether the store has the registration of an entry host, by the lists of the store.
#[derive(Debug)]
pub(crate) struct RegistrationState {
    host: HostId,
    /// Address and availability zone that the registration must name.
    expected: (SocketAddr, ZoneId),
    is_missing: Cell<bool>,
    became_missing: Event,
}

impl RegistrationState {
    /// Creates the state of a host whose registration is not known to be missing.
    pub(crate) fn new(host: HostId, address: SocketAddr, zone: ZoneId) -> RegistrationState {
        RegistrationState {
            host,
            expected: (address, zone),
            is_missing: Cell::new(false),
            became_missing: Event::new(),
        }
    }

    /// Applies a complete list of registrations.
    pub(crate) fn apply_listing(&self, objects: &[StoredObject]) {
        let of_this_host = objects.iter().find(|it| it.metadata.name == self.host);
        let registered = of_this_host.and_then(entry_registry::registration_of);
        self.is_missing.set(registered.as_ref() != Some(&self.expected));
        self.became_missing.notify(usize::MAX);
    }

    /// Records that the host has registered.
    pub(crate) fn record_registered(&self) {
        self.is_missing.set(false);
    }

    /// Returns `true` if the latest list lacks the registration.
    pub(crate) fn is_missing(&self) -> bool {
        self.is_missing.get()
    }

    /// Waits until a list lacks the registration.
    pub(crate) async fn wait_until_missing(&self) {
        loop {
            let became_missing = self.became_missing.listen();
            if self.is_missing.get() {
                return;
            }
            became_missing.await;
        }
    }
}
