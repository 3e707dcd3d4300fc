//! What is wrong with a charter that can be decoded.

use std::{collections::HashMap, fmt, time::Duration};

use serde::Serialize;

use crate::{
    ids::{CustomerId, DocumentNumber, RouteId, ServiceId},
    routing::{CharterDraft, Route},
};

/// One thing that an operator should look at before the charter is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum CharterFinding {
    /// The number isn't greater than that of the charter in force, so that it isn't applied.
    NumberNotGreater { number: DocumentNumber, in_force: DocumentNumber },
    /// Two services have the same name; only the last one counts.
    DuplicateService { service: ServiceId },
    /// A route names a service that the charter lacks.
    UnknownService { route: RouteId, service: ServiceId },
    /// A route sends its requests nowhere.
    NoTarget { route: RouteId },
    /// A route allows no attempt.
    NoAttempt { route: RouteId },
    /// An earlier route has the same host and prefix.
    HiddenRoute { route: RouteId },
    /// No request has the host, as a port isn't compared and a name isn't empty.
    HostNeverMatches { route: RouteId },
    /// No path begins with the prefix.
    PrefixNeverMatches { route: RouteId },
    /// The timeout of a route is shorter than its latency objective.
    TimeoutUnderObjective { route: RouteId, timeout_ms: u64, objective_ms: u64 },
    /// No region is allowed by both a route and a customer.
    RegionsExclude { route: RouteId, customer: CustomerId },
    /// Two customers have the same key; only the last one is known by it.
    SharedKey { first: CustomerId, second: CustomerId },
    /// A customer has no key, so that no request is its.
    NoKey { customer: CustomerId },
    /// A limit is zero, so that no request is accepted.
    ZeroLimit { limit: &'static str },
    /// An idle connection is closed before a head may be complete.
    IdleUnderHeader { idle_ms: u64, header_ms: u64 },
}

/// Returns what is wrong with a charter, also compared with the one in force.
pub fn find_in_charter(
    draft: &CharterDraft,
    in_force: Option<&CharterDraft>,
) -> Vec<CharterFinding> {
    let mut findings = Vec::new();
    if let Some(in_force) = in_force.filter(|it| it.number >= draft.number) {
        let (number, in_force) = (draft.number, in_force.number);
        findings.push(CharterFinding::NumberNotGreater { number, in_force });
    }
    findings.extend(find_in_services(draft));
    for (idx, route) in draft.routes.iter().enumerate() {
        findings.extend(find_in_route(draft, route, &draft.routes[..idx]));
    }
    findings.extend(find_in_customers(draft));
    findings.extend(find_in_limits(draft));
    findings
}

fn find_in_services(draft: &CharterDraft) -> Vec<CharterFinding> {
    let is_repeated = |idx: usize| {
        let name = &draft.services[idx].0;
        draft.services[..idx].iter().any(|it| it.0 == *name)
    };
    let repeated = (0..draft.services.len()).filter(|it| is_repeated(*it));
    let finding =
        |idx: usize| CharterFinding::DuplicateService { service: draft.services[idx].0.clone() };
    repeated.map(finding).collect()
}

fn find_in_route(draft: &CharterDraft, route: &Route, earlier: &[Route]) -> Vec<CharterFinding> {
    let mut findings = Vec::new();
    let id = || route.id();
    if route.host.is_empty() || route.host.contains(':') {
        findings.push(CharterFinding::HostNeverMatches { route: id() });
    }
    if !route.prefix.starts_with('/') || route.prefix.contains('?') {
        findings.push(CharterFinding::PrefixNeverMatches { route: id() });
    }
    if earlier.iter().any(|it| it.host == route.host && it.prefix == route.prefix) {
        findings.push(CharterFinding::HiddenRoute { route: id() });
    }
    if route.targets.iter().all(|it| it.weight == 0) {
        findings.push(CharterFinding::NoTarget { route: id() });
    }
    let is_known = |service: &ServiceId| draft.services.iter().any(|it| it.0 == *service);
    let unknown = route.targets.iter().filter(|it| !is_known(&it.service));
    findings.extend(
        unknown
            .map(|it| CharterFinding::UnknownService { route: id(), service: it.service.clone() }),
    );
    if route.max_attempts == 0 {
        findings.push(CharterFinding::NoAttempt { route: id() });
    }
    if route.timeout < route.latency_objective {
        findings.push(CharterFinding::TimeoutUnderObjective {
            route: id(),
            timeout_ms: millis(route.timeout),
            objective_ms: millis(route.latency_objective),
        });
    }
    if !route.is_public {
        findings.extend(find_excluding_regions(draft, route));
    }
    findings
}

fn find_excluding_regions(draft: &CharterDraft, route: &Route) -> Vec<CharterFinding> {
    let customers = draft.customers.iter().flatten().map(|it| &it.customer);
    let excluded = customers.filter(|it| it.regions.intersection(&route.regions).allows_none());
    let finding =
        |customer: CustomerId| CharterFinding::RegionsExclude { route: route.id(), customer };
    excluded.map(|it| finding(it.id.clone())).collect()
}

fn find_in_customers(draft: &CharterDraft) -> Vec<CharterFinding> {
    let mut findings = Vec::new();
    let mut owners: HashMap<&str, &CustomerId> = HashMap::new();
    for it in draft.customers.iter().flatten() {
        let customer = &it.customer.id;
        if it.keys.is_empty() {
            findings.push(CharterFinding::NoKey { customer: customer.clone() });
        }
        for key in &it.keys {
            let first = owners.insert(key, customer).filter(|it| *it != customer);
            findings.extend(first.map(|first| CharterFinding::SharedKey {
                first: first.clone(),
                second: customer.clone(),
            }));
        }
    }
    findings
}

fn find_in_limits(draft: &CharterDraft) -> Vec<CharterFinding> {
    let limits = &draft.limits;
    let zeros = [
        ("max-header-bytes", limits.max_head_bytes == 0),
        ("header-timeout-ms", limits.head_timeout.is_zero()),
        ("idle-timeout-ms", limits.idle_timeout.is_zero()),
    ];
    let zeros = zeros.into_iter().filter(|it| it.1);
    let mut findings: Vec<CharterFinding> =
        zeros.map(|it| CharterFinding::ZeroLimit { limit: it.0 }).collect();
    if limits.idle_timeout < limits.head_timeout {
        findings.push(CharterFinding::IdleUnderHeader {
            idle_ms: millis(limits.idle_timeout),
            header_ms: millis(limits.head_timeout),
        });
    }
    findings
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl fmt::Display for CharterFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CharterFinding::NumberNotGreater { number, in_force } => {
                write!(f, "version {number} isn't greater than {in_force}, which is in force")
            }
            CharterFinding::DuplicateService { service } => {
                write!(f, "service {service} occurs twice; only the last one counts")
            }
            CharterFinding::UnknownService { route, service } => {
                write!(f, "route {route}: no service {service}")
            }
            CharterFinding::NoTarget { route } => write!(f, "route {route}: no service"),
            CharterFinding::NoAttempt { route } => write!(f, "route {route}: max-attempts is 0"),
            CharterFinding::HiddenRoute { route } => {
                write!(f, "route {route}: hidden by an earlier one with the same host and prefix")
            }
            CharterFinding::HostNeverMatches { route } => {
                write!(f, "route {route}: no request has this host; give a name without a port")
            }
            CharterFinding::PrefixNeverMatches { route } => {
                write!(f, "route {route}: no path begins so; begin with a slash, without a query")
            }
            CharterFinding::TimeoutUnderObjective { route, timeout_ms, objective_ms } => write!(
                f,
                "route {route}: timeout-ms {timeout_ms} is less than goal-ms {objective_ms}"
            ),
            CharterFinding::RegionsExclude { route, customer } => {
                write!(f, "route {route}: no region is allowed by it and by customer {customer}")
            }
            CharterFinding::SharedKey { first, second } => {
                write!(
                    f,
                    "customers {first} and {second} share a key; only {second} is known by it"
                )
            }
            CharterFinding::NoKey { customer } => write!(f, "customer {customer}: no key"),
            CharterFinding::ZeroLimit { limit } => write!(f, "limit {limit} is 0"),
            CharterFinding::IdleUnderHeader { idle_ms, header_ms } => {
                write!(f, "idle-timeout-ms {idle_ms} is less than header-timeout-ms {header_ms}")
            }
        }
    }
}
