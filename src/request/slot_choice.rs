//! Chooses the slot for each attempt of one request.

use std::sync::Arc;

use crate::{
    ids::HostId,
    membership,
    request::{
        attempt_error::AttemptError,
        eligible_slots::{no_eligible_slot, EligibleSlots},
        route::Route,
        slot_loads::{SlotGuard, SlotLoads},
    },
};

/// Chooses slots for one request; hosts that were tried before come last.
pub(crate) struct SlotChoice<'a> {
    loads: &'a Arc<SlotLoads>,
    route: &'a Route,
    /// Hosts at which the request was already attempted.
    tried_hosts: Vec<HostId>,
}

impl<'a> SlotChoice<'a> {
    /// Creates the choice for a request that was not attempted yet.
    pub(crate) fn new(loads: &'a Arc<SlotLoads>, route: &'a Route) -> SlotChoice<'a> {
        SlotChoice { loads, route, tried_hosts: Vec::new() }
    }

    /// Picks a slot for the next attempt and counts its host as tried.
    pub(crate) fn pick(&mut self, eligible: &EligibleSlots) -> Result<SlotGuard, AttemptError> {
        let slot = self.next_slot(eligible);
        let slot = slot.ok_or_else(|| no_eligible_slot(self.route.target()))?;
        self.tried_hosts.push(slot.host.clone());
        Ok(slot)
    }

    fn next_slot(&self, eligible: &EligibleSlots) -> Option<SlotGuard> {
        let is_untried = |it: &&HostId| !self.tried_hosts.contains(it);
        if let Some(first) = eligible.attempt_order.first() {
            let next = eligible.attempt_order.iter().find(is_untried).unwrap_or(first).clone();
            return self.loads.pick(&[next], None);
        }
        let all_hosts: Vec<HostId> = eligible.slots.iter().map(|it| it.host.clone()).collect();
        let untried: Vec<HostId> = all_hosts.iter().filter(is_untried).cloned().collect();
        let hosts = if untried.is_empty() { &all_hosts } else { &untried };
        self.loads.pick(hosts, self.preferred_host(hosts).as_deref())
    }

    /// Returns the host whose engine most likely has the prompt's prefix in its cache.
    ///
    /// It ranks the hosts by a rendezvous hash of the prefix, so that all entry hosts agree.
    fn preferred_host(&self, hosts: &[HostId]) -> Option<HostId> {
        let Route::Chat { prefix_digest, .. } = self.route else { return None };
        membership::rank(&prefix_digest.to_string(), hosts).into_iter().next()
    }
}
