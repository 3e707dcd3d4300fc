//! The objects by which entry hosts are found: our own kind in the platform's store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    ids::{HostId, ZoneId},
    platform::store::{Store, StoreError, StoredObject},
};

/// Kind of the objects.
pub(crate) const KIND: &str = "entry-hosts";

/// What an entry host writes at its start.
#[derive(Debug, Serialize, Deserialize)]
struct Registration {
    /// Where it takes datagrams and connections of the system's own processes.
    peers: SocketAddr,
    /// Its availability zone.
    zone: ZoneId,
}

/// Writes the own address for datagrams.
pub(crate) async fn register(
    store: &Store,
    host: &HostId,
    peers: SocketAddr,
    zone: &ZoneId,
) -> Result<(), StoreError> {
    let spec: Value = serde_json::to_value(Registration { peers, zone: zone.clone() })?;
    match store.create(KIND, host, spec.clone()).await {
        Err(StoreError::Conflict) => store.replace(KIND, host, spec).await,
        res => res,
    }
}

/// The addresses in a list of entry hosts: those of `zone` and the others, gone ones included.
pub(crate) fn addresses_of(
    objects: &[StoredObject],
    zone: &ZoneId,
) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let registrations = objects.iter().filter_map(decode);
    let (near, far): (Vec<Registration>, Vec<Registration>) =
        registrations.partition(|it| it.zone == *zone);
    let peers = |of: Vec<Registration>| of.into_iter().map(|it| it.peers).collect();
    (peers(near), peers(far))
}

/// The address in the object of one entry host.
pub(crate) fn address_of(object: &StoredObject) -> Option<SocketAddr> {
    decode(object).map(|it| it.peers)
}

fn decode(object: &StoredObject) -> Option<Registration> {
    match Registration::deserialize(&object.spec) {
        Ok(registration) => Some(registration),
        Err(err) => {
            log::warn!(
                "fleet: registration left out host={} error=\"{err}\"",
                object.metadata.name
            );
            None
        }
    }
}
