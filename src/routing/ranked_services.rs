//! Finds the services whose requests differ in priority or latency objective.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    ids::ServiceId,
    routing::{Customer, Route},
};

/// Returns the services whose requests differ in priority or latency objective.
pub(crate) fn ranked_services<'a>(
    routes: impl Iterator<Item = &'a Route>,
    customers: Option<&HashMap<String, Customer>>,
) -> BTreeSet<ServiceId> {
    let own: BTreeSet<Option<u32>> =
        customers.into_iter().flat_map(HashMap::values).map(|it| it.priority).collect();
    let mut ranks: BTreeMap<&ServiceId, BTreeSet<(u32, Duration)>> = BTreeMap::new();
    for route in routes {
        // Requests on public routes have no customer.
        let of_customers = own.iter().filter(|_| !route.is_public).map(|it| route.rank_at(*it));
        let is_open = route.is_public || own.is_empty();
        let all: BTreeSet<u32> = of_customers.chain(is_open.then(|| route.rank(None))).collect();
        for target in &route.targets {
            let ranks = ranks.entry(&target.service).or_default();
            ranks.extend(all.iter().map(|it| (*it, route.latency_objective)));
        }
    }
    ranks.into_iter().filter(|it| it.1.len() > 1).map(|it| it.0.clone()).collect()
}
