//! Tells callers where to connect, and the platform whether the host is ready.

use std::{rc::Rc, time::Instant};

use crate::{
    entry::entry_host::EntryHost,
    fleet::{CallerLocation, EntryState},
    http1::SmallAnswer,
    platform::wire_directory,
};

/// Seconds for which callers may keep the addresses.
const MAX_AGE_S: u32 = 2;

/// Answers a question for addresses.
pub(crate) fn answer_directory(host: &Rc<EntryHost>, target: &str) -> SmallAnswer {
    let Some(question) = wire_directory::decode(target) else {
        return SmallAnswer::status(404);
    };
    if host.state() == EntryState::Starting {
        return SmallAnswer::status(503);
    }
    let own = host.beacon();
    let near = CallerLocation { region: &question.region, zone: &question.zone };
    let addresses = host.peers.borrow().addresses(&own, near, Instant::now());
    if addresses.is_empty() {
        return SmallAnswer::status(503);
    }
    wire_directory::encode(&addresses, MAX_AGE_S)
}

/// Answers whether the host takes callers.
pub(crate) fn answer_readiness(host: &Rc<EntryHost>) -> SmallAnswer {
    match host.state() {
        EntryState::Ready => SmallAnswer::status(200),
        EntryState::Starting | EntryState::Leaving => SmallAnswer::status(503),
    }
}
