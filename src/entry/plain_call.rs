//! One call to a server of a plain service, whose latency is recorded.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    ids::{BackendId, RouteId},
    placement::{CallNumber, PlainServers},
};

/// A call that is sent or will be; dropping it records that its latency stays unknown.
pub(crate) struct PlainCall {
    plain_servers: Rc<RefCell<PlainServers>>,
    backend: BackendId,
    route: RouteId,
    /// Present while the call is in flight.
    number: Cell<Option<CallNumber>>,
}

impl PlainCall {
    /// Creates a call that is not sent yet.
    pub(crate) fn new(
        plain_servers: &Rc<RefCell<PlainServers>>,
        backend: &BackendId,
        route: &RouteId,
    ) -> PlainCall {
        PlainCall {
            plain_servers: plain_servers.clone(),
            backend: backend.clone(),
            route: route.clone(),
            number: Cell::new(None),
        }
    }

    /// Takes a hedged request to the server from the allowance of this host, if the server is expected
    /// to respond before `time_to_objective` is over.
    pub(crate) fn try_hedge(&self, time_to_objective: Duration) -> bool {
        let mut plain_servers = self.plain_servers.borrow_mut();
        plain_servers.try_hedge(&self.backend, &self.route, time_to_objective, Instant::now())
    }

    /// Records whether the server may have got the call.
    pub(crate) fn record_sent(&self, is_sent: bool) {
        let mut plain_servers = self.plain_servers.borrow_mut();
        if is_sent {
            self.number.set(Some(plain_servers.begin(&self.backend, &self.route, Instant::now())));
        } else if let Some(number) = self.number.take() {
            plain_servers.record_unsent(&self.backend, number);
        }
    }

    /// Records that the response is complete.
    pub(crate) fn record_response(&self) {
        if let Some(number) = self.number.take() {
            let mut plain_servers = self.plain_servers.borrow_mut();
            plain_servers.record_response(&self.backend, number, Instant::now());
        }
    }
}

impl Drop for PlainCall {
    fn drop(&mut self) {
        if let Some(number) = self.number.take() {
            let mut plain_servers = self.plain_servers.borrow_mut();
            plain_servers.record_lost(&self.backend, number, Instant::now());
        }
    }
}
