//! The rank of a request, by the priorities of its customer and its route.

use std::time::Duration;

use crocustiller::{
    placement::RegionConstraint,
    routing::{Customer, Route, RouteKind},
};

fn route(priority: u32) -> Route {
    Route {
        host: "lots.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Stream { is_resumable: true },
        timeout: Duration::from_secs(6),
        latency_objective: Duration::from_millis(400),
        priority,
        targets: Vec::new(),
        max_attempts: 2,
        is_public: false,
        regions: RegionConstraint::Any,
    }
}

fn customer(priority: Option<u32>) -> Customer {
    Customer { id: "weavers".to_owned(), priority, regions: RegionConstraint::Any }
}

/// Guards against routes that all rank alike where every customer has a priority.
#[test]
fn routes_differ_within_customers() {
    let ranks = |priority| [0, 1, 2].map(|it| route(it).rank(Some(&customer(priority))));
    let first = ranks(Some(0));
    let second = ranks(Some(1));
    assert!(first.is_sorted_by(|a, b| a < b), "{first:?}");
    assert!(second.is_sorted_by(|a, b| a < b), "{second:?}");
    assert!(first[2] < second[0], "the customer's priority goes first");
}

#[test]
fn missing_priority_is_that_of_route() {
    assert_eq!(route(2).rank(None), route(2).rank(Some(&customer(None))));
    assert!(route(1).rank(None) < route(2).rank(None));
    assert!(route(0).rank(Some(&customer(Some(u32::MAX)))) <= 99);
}
