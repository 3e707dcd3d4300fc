//! The regions in which one request may be served, while charters may change.

use crate::{
    placement::RegionConstraint,
    routing::{Customer, Route, RoutingCharter},
};

/// The regions of one request, by the charter under which it arrived and by the one in force.
///
/// Both bind: an operator who narrows the regions expects that of waiting requests too, and the caller
/// sent the request under the former ones.
#[derive(Clone, Debug)]
pub struct RequestRegions {
    on_arrival: RegionConstraint,
    host: String,
    path: String,
    key: Option<String>,
}

impl RequestRegions {
    /// Creates the regions of a request for a host and path with a customer's key, which arrived for
    /// `route` and `customer`.
    pub fn new(
        route: &Route,
        customer: Option<&Customer>,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> RequestRegions {
        RequestRegions {
            on_arrival: combine(route, customer),
            host: host.to_owned(),
            path: path.to_owned(),
            key: key.map(str::to_owned),
        }
    }

    /// Returns the regions that are allowed while this charter is in force. One without the route or
    /// the customer adds no bound.
    pub fn allowed(&self, charter: Option<&RoutingCharter>) -> RegionConstraint {
        let Some(route) = charter.and_then(|it| it.route(&self.host, &self.path)) else {
            return self.on_arrival.clone();
        };
        let customers = charter.and_then(|it| it.customers.as_ref()).filter(|_| !route.is_public);
        let customer = customers.zip(self.key.as_ref()).and_then(|it| it.0.get(it.1));
        self.on_arrival.intersection(&combine(route, customer))
    }
}

fn combine(route: &Route, customer: Option<&Customer>) -> RegionConstraint {
    customer.map_or(&RegionConstraint::Any, |it| &it.regions).intersection(&route.regions)
}
