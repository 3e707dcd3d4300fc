//! Registrations of entry hosts, stored as objects of their own kind in the platform's store.
//!
//! Other processes read them to find the entry hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    ids::{HostId, ZoneId},
    platform::{
        skipped_objects::decode_or_skip,
        store::{Store, StoreError, StoredObject},
    },
};

/// Kind of the registration objects.
pub(crate) const KIND: &str = "entry-hosts";

/// The registration that an entry host stores at its start.
#[derive(Debug, Serialize, Deserialize)]
struct Registration {
    /// Address for datagrams and connections from the system's own processes.
    peers: SocketAddr,
    /// Its availability zone.
    zone: ZoneId,
}

/// Creates or replaces the registration of this entry host.
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

/// Returns the addresses of the registered entry hosts: those in `zone`, and the others. Both
/// include hosts that no longer run.
pub(crate) fn addresses_of(
    objects: &[StoredObject],
    zone: &ZoneId,
) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let registrations = objects.iter().filter_map(decode);
    let (same_zone, other_zones): (Vec<Registration>, Vec<Registration>) =
        registrations.partition(|it| it.zone == *zone);
    let addresses =
        |registrations: Vec<Registration>| registrations.into_iter().map(|it| it.peers).collect();
    (addresses(same_zone), addresses(other_zones))
}

/// Returns the address and the zone in a registration, or `None` if it cannot be decoded.
pub(crate) fn registration_of(object: &StoredObject) -> Option<(SocketAddr, ZoneId)> {
    decode(object).map(|it| (it.peers, it.zone))
}

fn decode(object: &StoredObject) -> Option<Registration> {
    decode_or_skip(KIND, object, |it| Registration::deserialize(&it.spec))
}
