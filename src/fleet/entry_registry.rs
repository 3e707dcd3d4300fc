//! The objects by which entry hosts are found: our own kind in the platform's store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    ids::HostId,
    platform::store::{Store, StoreError, StoredObject},
};

/// Kind of the objects.
const KIND: &str = "entry-hosts";

/// What an entry host writes at its start.
#[derive(Debug, Serialize, Deserialize)]
struct Registration {
    /// Where it takes datagrams.
    peers: SocketAddr,
}

/// Writes the own address for datagrams.
pub(crate) async fn register(
    store: &Store,
    host: &HostId,
    peers: SocketAddr,
) -> Result<(), StoreError> {
    let spec: Value = serde_json::to_value(Registration { peers })?;
    match store.create(KIND, host, spec.clone()).await {
        Err(StoreError::Conflict) => store.replace(KIND, host, spec).await,
        res => res,
    }
}

/// Reads the addresses of all entry hosts, those that are gone included.
pub(crate) async fn list(store: &Store) -> Result<Vec<SocketAddr>, StoreError> {
    let listing = store.list(KIND).await?;
    Ok(listing.objects.iter().filter_map(address_of).collect())
}

fn address_of(object: &StoredObject) -> Option<SocketAddr> {
    match Registration::deserialize(&object.spec) {
        Ok(registration) => Some(registration.peers),
        Err(err) => {
            log::warn!(
                "fleet: registration left out host={} error=\"{err}\"",
                object.metadata.name
            );
            None
        }
    }
}
