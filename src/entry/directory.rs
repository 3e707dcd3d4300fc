//! Tells callers where to connect, and the platform whether the host is ready.

use std::{rc::Rc, time::Instant};

use crate::{
    entry::entry_host::EntryHost,
    fleet::{EntryState, Nearness},
    http1::SmallAnswer,
    platform::wire_directory,
};

/// Seconds for which callers may keep the addresses.
const MAX_AGE_S: u32 = 2;

/// Answers a query for addresses.
pub(crate) fn directory_response(host: &Rc<EntryHost>, target: &str) -> SmallAnswer {
    let Some(query) = wire_directory::decode(target) else {
        return SmallAnswer::status(404);
    };
    if host.state() == EntryState::Starting {
        return SmallAnswer::status(503);
    }
    let own = host.beacon();
    let location = Nearness { region: &query.region, zone: &query.zone };
    let addresses = host.peers.borrow().addresses(&own, location, Instant::now());
    if addresses.is_empty() {
        return SmallAnswer::status(503);
    }
    wire_directory::encode(&addresses, MAX_AGE_S)
}

/// Answers whether the host takes callers.
pub(crate) fn readiness_response(host: &Rc<EntryHost>) -> SmallAnswer {
    match host.state() {
        EntryState::Ready => SmallAnswer::status(200),
        EntryState::Starting | EntryState::Leaving => SmallAnswer::status(503),
    }
}
