//! What this host has seen of the servers of plain services: how late each responds now.
//!
//! Load pattern: a server is slow for a part of a second or for some seconds, alone or with all that
//! it shares a machine with. Each host sends few requests to each server, so one late response, or
//! one that is overdue, must tell, and sizes with a long tail must not look like a slow server: a
//! response counts by how unusual it is for its route. What it showed fades, so that a slow server is
//! tried again soon.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    ids::{BackendId, RouteId},
    placement::{
        hedging::{self, HedgeAllowance},
        server_slowness::{Call, CallNumber, Evidence, ServerSlowness},
        usual_latency::UsualLatency,
    },
};

/// Time after its last response for which the usual latency of a route is remembered.
const ROUTE_MEMORY: Duration = Duration::from_secs(600);

/// The servers of plain services by the responses to this host's calls.
#[derive(Clone, Debug, Default)]
pub struct PlainServers {
    servers: HashMap<BackendId, ServerSlowness>,
    usual: HashMap<RouteId, UsualLatency>,
    hedges: HedgeAllowance,
    n_calls: CallNumber,
}

impl PlainServers {
    /// Records that a call is sent to a server.
    pub fn begin(&mut self, server: &BackendId, route: &RouteId, now: Instant) -> CallNumber {
        self.n_calls += 1;
        self.hedges.count_call();
        let call = Call { number: self.n_calls, route: route.clone(), begun: now };
        self.servers.entry(server.clone()).or_insert_with(|| ServerSlowness::new(now)).begin(call);
        self.n_calls
    }

    /// Records the complete response to a call.
    pub fn record_response(&mut self, server: &str, number: CallNumber, now: Instant) {
        let Some(record) = self.servers.get_mut(server) else { return };
        let Some(call) = record.end(number) else { return };
        let latency = now.saturating_duration_since(call.begun);
        let Some(usual) = self.usual.get_mut(&call.route) else {
            self.usual.insert(call.route, UsualLatency::new(latency, now));
            return;
        };
        if usual.is_known() {
            record.record(Evidence::new(usual.excess(latency), usual.variance()), now);
        }
        usual.record(latency, record.evidence(now).slowness(), now);
    }

    /// Records that a call ended without a response that tells its latency. It would have taken longer,
    /// which tells something only if it is overdue.
    pub fn record_lost(&mut self, server: &str, number: CallNumber, now: Instant) {
        let Some(record) = self.servers.get_mut(server) else { return };
        let Some(call) = record.end(number) else { return };
        if let Some(evidence) = overdue(&self.usual, &call, now) {
            record.record(evidence, now);
        }
    }

    /// Records that a call wasn't sent.
    pub fn record_unsent(&mut self, server: &str, number: CallNumber) {
        if let Some(record) = self.servers.get_mut(server) {
            record.end(number);
        }
    }

    /// Returns the time in which a server is expected to respond to a call of a route; zero while the
    /// usual latency of the route is unknown.
    pub fn expected_latency(&self, server: &str, route: &str, now: Instant) -> Duration {
        let usual = self.usual.get(route).filter(|it| it.is_known());
        usual.map_or(Duration::ZERO, |it| it.expected(self.evidence(server, now).slowness()))
    }

    /// Returns what the latest calls to a server show.
    fn evidence(&self, server: &str, now: Instant) -> Evidence {
        let Some(record) = self.servers.get(server) else { return Evidence::default() };
        let overdue = record.calls().iter().filter_map(|it| overdue(&self.usual, it, now));
        overdue.fold(record.evidence(now), |sum, it| sum.plus(it))
    }

    /// Returns the time without a response after which a repeatable call of a route may be sent to a
    /// second server, if that one can respond before `time_to_objective` is over.
    pub fn hedge_delay(&self, route: &str, time_to_objective: Duration) -> Option<Duration> {
        let usual = self.usual.get(route).filter(|it| it.is_known())?;
        hedging::delay(usual, time_to_objective)
    }

    /// Takes a hedged request to `server` from the allowance of this host, if the server is expected to
    /// respond before `time_to_objective` is over.
    pub fn try_hedge(
        &mut self,
        server: &str,
        route: &str,
        time_to_objective: Duration,
        now: Instant,
    ) -> bool {
        self.expected_latency(server, route, now) <= time_to_objective && self.hedges.try_spend()
    }

    /// Forgets servers that were removed, and routes without responses for long.
    pub fn forget_removed(&mut self, is_registered: impl Fn(&str) -> bool, now: Instant) {
        self.servers.retain(|id, it| is_registered(id) || !it.calls().is_empty());
        self.usual.retain(|_, it| now.saturating_duration_since(it.last_response()) < ROUTE_MEMORY);
    }
}

/// Returns what a call without a response shows, if it takes longer than usual.
fn overdue(usual: &HashMap<RouteId, UsualLatency>, call: &Call, now: Instant) -> Option<Evidence> {
    let usual = usual.get(&call.route).filter(|it| it.is_known())?;
    let excess = usual.excess(now.saturating_duration_since(call.begun));
    (excess > 0.0).then(|| Evidence::new(excess, usual.variance()))
}
