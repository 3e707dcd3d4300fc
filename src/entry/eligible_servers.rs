//! The backend servers that may get a request for a pool or service now.

use crate::{
    clock,
    entry::entry_host::EntryHost,
    fleet::BackendTable,
    ids::{BackendId, ServiceId, WeightsVersion},
    routing::BackendServer,
};

/// Returns the backend servers of a pool or service that accept requests and have not said that they
/// leave, for a pool those with all layers of `model` in a version that requests may still start on.
pub(crate) fn eligible_servers<'a>(
    host: &EntryHost,
    servers: &'a BackendTable,
    service: &'a ServiceId,
    model: Option<&str>,
) -> Vec<&'a BackendServer> {
    let ready = servers.ready_of(service).filter(|it| !host.server_notices.is_leaving(it));
    let (Some(model), Some(n_layers)) = (model, n_layers(host, service)) else {
        return ready.collect();
    };
    let oldest = host.versions.borrow().oldest_allowed(model, clock::now());
    let serves =
        |it: &&BackendServer| it.complete_version(model, n_layers).is_some_and(|it| it >= oldest);
    ready.filter(serves).collect()
}

/// Returns the number of layers of a pool's models; `None` for a plain service.
pub(crate) fn n_layers(host: &EntryHost, service: &ServiceId) -> Option<u32> {
    let charter = host.charter.borrow();
    Some(charter.as_ref()?.engine(service)?.n_layers)
}

/// Returns the version of the weights that an engine serves.
pub(crate) fn version_served(host: &EntryHost, engine: &BackendId) -> Option<WeightsVersion> {
    let servers = host.backends.borrow();
    let server = servers.get(engine)?;
    let n_layers = n_layers(host, &server.service)?;
    let model = &server.weights.first()?.model;
    server.complete_version(model, n_layers)
}
