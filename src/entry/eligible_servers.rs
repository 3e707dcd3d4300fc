//! The backend servers that may get a request for a pool or service now: the filter of all paths, by
//! state, weights, regions and evacuated zones.

use crate::{
    clock,
    entry::entry_host::EntryHost,
    fleet::BackendTable,
    ids::{BackendId, ServiceId, WeightsVersion},
    placement::{AllowedZones, NoAllowedServer, RegionConstraint},
    routing::BackendServer,
};

/// Returns the backend servers of a pool or service that accept requests and have not said that they
/// leave, in zones that the request may use; for a pool those with all layers of `model` in a version
/// that requests may still start on.
pub(crate) fn eligible_servers<'a>(
    host: &EntryHost,
    servers: &'a BackendTable,
    service: &'a ServiceId,
    model: Option<&str>,
    regions: &RegionConstraint,
) -> Vec<&'a BackendServer> {
    let allowed = allowed_zones(host, regions);
    let ready = servers
        .ready_of(service)
        .filter(|it| !host.server_notices.is_leaving(it) && allowed.allows(&it.zone));
    let (Some(model), Some(n_layers)) = (model, n_layers(host, service)) else {
        return ready.collect();
    };
    let oldest = host.versions.borrow().oldest_allowed(model, clock::now());
    let serves =
        |it: &&BackendServer| it.complete_version(model, n_layers).is_some_and(|it| it >= oldest);
    ready.filter(serves).collect()
}

/// Returns the zones whose backend servers may get a request with this constraint now.
pub(crate) fn allowed_zones<'a>(
    host: &'a EntryHost,
    regions: &'a RegionConstraint,
) -> AllowedZones<'a> {
    let evacuated = host.knows_evacuations().then(|| host.evacuated.borrow().names());
    AllowedZones::new(regions, &host.settings.zones, evacuated)
}

/// Returns the reason why no backend server of a pool or service may get a request with this constraint
/// now, whatever their load and weights.
pub(crate) fn refusal(
    host: &EntryHost,
    service: &ServiceId,
    regions: &RegionConstraint,
) -> Option<NoAllowedServer> {
    let allowed = allowed_zones(host, regions);
    if allowed.allows_all() {
        return None;
    }
    let servers = host.backends.borrow();
    let ready = servers.ready_of(service).filter(|it| !host.server_notices.is_leaving(it));
    allowed.refusal(ready.map(|it| &it.zone))
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
