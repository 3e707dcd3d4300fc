//! The HTTP endpoints for the directory, which lists entry hosts for callers, and for the readiness
//! checks of the platform.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    entry::entry_host::EntryHost,
    fleet::{CallerLocation, EntryState},
    http1::SmallResponse,
    platform::wire_directory,
};

/// Seconds for which callers may cache the addresses.
const MAX_AGE_S: u32 = 2;

/// Returns the addresses of the ready entry hosts nearest to the caller, or status 503 if there are
/// none.
pub(crate) fn directory_response(host: &Rc<EntryHost>, target: &str) -> SmallResponse {
    let Some(query) = wire_directory::decode_query(target) else {
        return SmallResponse::status(404);
    };
    if host.state() == EntryState::Starting {
        return SmallResponse::status(503);
    }
    let own = host.next_beacon(Duration::ZERO);
    let charter = host.charter.borrow().clone();
    let preferred = charter.map(|it| it.preferred_regions(&query.name)).unwrap_or_default();
    let location = CallerLocation { region: &query.region, zone: &query.zone };
    let addresses = host.peers.borrow().addresses(&own, location, &preferred, Instant::now());
    if addresses.is_empty() {
        return SmallResponse::status(503);
    }
    wire_directory::encode_response(&addresses, MAX_AGE_S)
}

/// Returns status 200 if this host accepts callers, else 503.
pub(crate) fn readiness_response(host: &Rc<EntryHost>) -> SmallResponse {
    match host.state() {
        EntryState::Ready => SmallResponse::status(200),
        EntryState::Starting | EntryState::Leaving => SmallResponse::status(503),
    }
}
