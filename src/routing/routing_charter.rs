//! The charter in force: numbered settings of routes, services, customers and limits.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    ids::{DocumentNumber, ServiceId},
    placement::RegionConstraint,
    routing::{Customer, EngineSpec, Origin, Route, Service},
};

/// A charter in the form that routing uses; a charter replaces those with smaller numbers.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingCharter {
    /// Number of the charter.
    pub number: DocumentNumber,
    /// Routes by host name, those with longer prefixes first.
    pub routes: HashMap<String, Vec<Route>>,
    /// Pools, plain services and origins.
    pub services: BTreeMap<ServiceId, Service>,
    /// Those of them whose requests differ in priority or latency objective.
    pub ranked_services: BTreeSet<ServiceId>,
    /// Customers by key; `None` if callers need no key.
    pub customers: Option<HashMap<String, Customer>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// Limits on the size and duration of what a caller sends.
///
/// They bound the memory and time that one request or connection uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum length of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum length of a request body in bytes.
    pub max_body_bytes: usize,
    /// Half of the timeout for a complete request: one share for the head and one for the body.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl RoutingCharter {
    /// Returns the route of a host with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes_of(host).iter().find(|it| path.starts_with(&it.prefix))
    }

    /// Returns the regions in which entry hosts suit callers of a host name, the best ones first: those
    /// that all of its constrained routes allow, then those that some of them allow.
    pub fn preferred_regions(&self, host: &str) -> Vec<RegionConstraint> {
        let constraints = self.routes_of(host).iter().map(|it| &it.regions);
        let constrained: Vec<&RegionConstraint> =
            constraints.filter(|it| **it != RegionConstraint::Any).collect();
        let Some((first, others)) = constrained.split_first() else { return Vec::new() };
        let all = others.iter().fold((*first).clone(), |all, it| all.intersection(it));
        let some = others.iter().fold((*first).clone(), |some, it| some.union(it));
        vec![all, some]
    }

    /// Returns the routes of a host name, which may have a port; those with longer prefixes first.
    fn routes_of(&self, host: &str) -> &[Route] {
        let name = host.rsplit_once(':').map_or(host, |it| it.0).to_ascii_lowercase();
        self.routes.get(&name).map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns the parameters of a pool's engines; `None` for a plain service.
    pub fn engine(&self, service: &ServiceId) -> Option<&EngineSpec> {
        self.services.get(service)?.engine.as_ref()
    }

    /// Returns the origin of weights, if the charter names one.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.values().find_map(|it| it.origin.as_ref())
    }
}
