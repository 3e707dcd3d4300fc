//! Where a request may go: the slots of its pool or service.

use std::{sync::Arc, time::Duration};

use http_types::StatusCode;

use crate::{
    charter::Charter,
    ids::{HostId, SwitchNumber, VersionId},
    membership::{self, HostRole, MemberRecord},
    node::Node,
    request::{
        attempt::{AttemptError, Retry},
        claim_key::{shard_rank_key, ClaimKey},
        failure::Failure,
        incoming::Incoming,
        route::Route,
    },
};

/// Pause that a caller without a serving host is asked to make.
const NO_HOST_PAUSE: Duration = Duration::from_secs(1);

/// Slots that may take a request now.
pub(crate) struct Places {
    /// The slots.
    pub(crate) slots: Vec<Arc<MemberRecord>>,
    /// Hosts in the order in which they are to be tried; empty where the load decides.
    pub(crate) order: Vec<HostId>,
    /// Switch number that the request is admitted under.
    pub(crate) switch_number: Option<SwitchNumber>,
    /// Version that must answer.
    pub(crate) version: Option<VersionId>,
}

impl Places {
    /// The slots for `route` now, or why there are none.
    pub(crate) fn find(
        node: &Node,
        incoming: &Incoming,
        route: &Route,
        customer: &str,
    ) -> Result<Places, AttemptError> {
        let charter = node.documents.charter().unwrap_or_default();
        match route {
            Route::Chat { pool, .. } => pool_places(node, &charter, pool, customer),
            Route::Service { service, .. } => {
                service_places(node, &charter, service, customer, incoming)
            }
        }
    }
}

/// The failure while no host can take a request for `name`.
pub(crate) fn no_place(name: &str) -> AttemptError {
    let message = format!("no host serves \"{name}\" now; send it again later");
    let failure = Failure::not_run(StatusCode::ServiceUnavailable, message);
    AttemptError { failure: failure.retry_after(NO_HOST_PAUSE), retry: Retry::AfterChange }
}

fn pool_places(
    node: &Node,
    charter: &Charter,
    pool: &str,
    customer: &str,
) -> Result<Places, AttemptError> {
    let Some(spec) = charter.pools.get(pool) else {
        let message = format!("no pool \"{pool}\" in the charter; name another model");
        return Err(refused(StatusCode::NotFound, message));
    };
    if !spec.customers.iter().any(|it| it == customer) {
        let message = format!("the customer does not share pool \"{pool}\"; ask an operator");
        return Err(refused(StatusCode::Forbidden, message));
    }
    let document = node.documents.pool(pool);
    let Some((serving, number)) =
        document.and_then(|it| Some((it.serving.clone()?, it.switch_number)))
    else {
        return Err(no_place(pool));
    };
    let mut slots = node.membership.live();
    slots.retain(|it| it.role == HostRole::Engine(pool.to_owned()));
    slots.retain(|it| spec.hosts.is_empty() || spec.hosts.contains(&it.host));
    slots.retain(|it| it.weights.loaded == Some(serving.manifest_digest));
    let is_switched = |it: &Arc<MemberRecord>| it.weights.switch_number == number;
    if slots.iter().any(is_switched) {
        slots.retain(is_switched);
    }
    Ok(Places {
        slots,
        order: Vec::new(),
        switch_number: Some(number),
        version: Some(serving.version),
    })
}

fn service_places(
    node: &Node,
    charter: &Charter,
    service: &str,
    customer: &str,
    incoming: &Incoming,
) -> Result<Places, AttemptError> {
    let Some(spec) = charter.services.get(service) else {
        let message = format!("no service \"{service}\" in the charter; name another one");
        return Err(refused(StatusCode::NotFound, message));
    };
    if !spec.customers.is_empty() && !spec.customers.iter().any(|it| it == customer) {
        let message = format!("the customer may not call \"{service}\"; ask an operator");
        return Err(refused(StatusCode::Forbidden, message));
    }
    let mut slots = node.membership.live();
    slots.retain(|it| it.role == HostRole::Service(service.to_owned()));
    let mut order = Vec::new();
    if !spec.repeatable {
        let Some(key) = &incoming.idempotency_key else {
            let message = "calls of this service take effect at most once; send Idempotency-Key";
            return Err(refused(StatusCode::BadRequest, message));
        };
        let shard = ClaimKey::shard_of(customer, key, spec.claim_shards);
        let hosts: Vec<HostId> = slots.iter().map(|it| it.host.clone()).collect();
        order = membership::rank(&shard_rank_key(service, shard), &hosts);
    }
    Ok(Places { slots, order, switch_number: None, version: None })
}

fn refused(status: StatusCode, message: impl Into<String>) -> AttemptError {
    AttemptError { failure: Failure::not_run(status, message), retry: Retry::Never }
}
