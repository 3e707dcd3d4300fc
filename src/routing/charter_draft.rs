//! A charter as its operator wrote it, before entries that exclude each other are resolved.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use crate::{
    ids::{DocumentNumber, ServiceId},
    routing::{ranked_services, CallerLimits, Customer, Route, RoutingCharter, Service},
};

/// A charter with all entries, also those that others hide.
#[derive(Clone, Debug, PartialEq)]
pub struct CharterDraft {
    /// Number of the charter.
    pub number: DocumentNumber,
    /// Routes in the order written.
    pub routes: Vec<Route>,
    /// Pools, plain services and origins in the order written.
    pub services: Vec<(ServiceId, Service)>,
    /// Customers with their keys; `None` if callers need no key.
    pub customers: Option<Vec<DraftCustomer>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// A customer with its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct DraftCustomer {
    /// The customer.
    pub customer: Customer,
    /// Its keys.
    pub keys: Vec<String>,
}

impl CharterDraft {
    /// Returns the charter in the form that routing uses.
    pub fn into_charter(self) -> RoutingCharter {
        let mut routes: HashMap<String, Vec<Route>> = HashMap::new();
        for route in self.routes {
            routes.entry(route.host.clone()).or_default().push(route);
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|it| Reverse(it.prefix.len()));
        }
        let services: BTreeMap<ServiceId, Service> = self.services.into_iter().collect();
        let with_keys = |it: DraftCustomer| {
            let customer = it.customer;
            it.keys.into_iter().map(move |key| (key, customer.clone()))
        };
        let customers: Option<HashMap<String, Customer>> =
            self.customers.map(|it| it.into_iter().flat_map(with_keys).collect());
        let ranked_services = ranked_services(routes.values().flatten(), customers.as_ref());
        RoutingCharter {
            number: self.number,
            routes,
            services,
            ranked_services,
            customers,
            limits: self.limits,
        }
    }
}
