//! The charter in force: routes, services, customers and limits under one number.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    ids::{CustomerId, DocumentNumber, ServiceId},
    routing::{Origin, Route, Service},
};

/// A numbered charter; a greater number replaces a smaller one.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingCharter {
    /// Number of the charter.
    pub number: DocumentNumber,
    /// Routes by host name, those with longer prefixes first.
    pub routes: HashMap<String, Vec<Route>>,
    /// Pools, plain services and origins.
    pub services: BTreeMap<ServiceId, Service>,
    /// Customers by key; absent when callers need none.
    pub customers: Option<HashMap<String, CustomerId>>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

/// Bounds on what a caller sends and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head.
    pub max_head_bytes: usize,
    /// Longest body.
    pub max_body_bytes: usize,
    /// Time for a head and for a body to arrive.
    pub head_timeout: Duration,
    /// Time that a connection may be idle.
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
    /// The route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |it| it.0).to_ascii_lowercase();
        self.routes.get(&name)?.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// The origin of weights.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.values().find_map(|it| it.origin.as_ref())
    }
}
