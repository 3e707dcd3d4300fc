//! Customers: whose requests the charter allows.

use crate::{ids::CustomerId, placement::RegionConstraint};

/// A customer of the charter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Id by which backend servers know the customer.
    pub id: CustomerId,
    /// Priority of its requests, which goes before that of their routes; 0 is the most urgent. Without one,
    /// that of the route counts.
    pub priority: Option<u32>,
    /// Regions in which its requests may be served.
    pub regions: RegionConstraint,
}
