//! The slots of a pool or service that a request may be forwarded to.

use std::{sync::Arc, time::Duration};

use http_types::StatusCode;

use crate::{
    charter::Charter,
    ids::{HostId, SwitchNumber, VersionId},
    membership::{self, HostRole, MemberRecord},
    node::Node,
    request::{
        attempt_error::AttemptError,
        claim_key::{shard_rank_key, ClaimKey},
        failure::Failure,
        route::Route,
        validated_request::ValidatedRequest,
    },
};

/// `Retry-After` of a response that reports that no slot is eligible.
const NO_SLOT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The slots that a request may currently be forwarded to.
pub(crate) struct EligibleSlots {
    /// Member records of the slots' hosts.
    pub(crate) slots: Vec<Arc<MemberRecord>>,
    /// Hosts in the order in which to attempt them; empty if slots are picked by load.
    pub(crate) attempt_order: Vec<HostId>,
    /// Switch number that the request is admitted under.
    pub(crate) switch_number: Option<SwitchNumber>,
    /// Intended version of the pool; `None` for a service.
    pub(crate) version: Option<VersionId>,
}

impl EligibleSlots {
    /// Returns the slots for `route` if `customer` may use it and its pool or service is available.
    pub(crate) fn find(
        node: &Node,
        incoming: &ValidatedRequest,
        route: &Route,
        customer: &str,
    ) -> Result<EligibleSlots, AttemptError> {
        let charter = node.documents.charter().unwrap_or_default();
        match route {
            Route::Chat { pool, .. } => pool_slots(node, &charter, pool, customer),
            Route::Service { service, .. } => {
                service_slots(node, &charter, service, customer, incoming)
            }
        }
    }
}

/// Returns the error for a pool or service `name` that no host currently serves.
pub(crate) fn no_eligible_slot(name: &str) -> AttemptError {
    let message = format!("no host currently serves \"{name}\"; send the request again later");
    let failure = Failure::not_run(StatusCode::ServiceUnavailable, message);
    AttemptError::free_retry(failure.with_retry_after(NO_SLOT_RETRY_AFTER))
}

/// Returns the slots of a pool whose engine has loaded the version that the pool serves.
///
/// Slots at another switch number are eligible only while none is at the pool's switch number.
fn pool_slots(
    node: &Node,
    charter: &Charter,
    pool: &str,
    customer: &str,
) -> Result<EligibleSlots, AttemptError> {
    let Some(spec) = charter.pools.get(pool) else {
        let message = format!("the charter has no pool \"{pool}\"; set \"model\" to another pool");
        return Err(refusal(StatusCode::NotFound, message));
    };
    if !spec.customers.iter().any(|it| it == customer) {
        let message =
            format!("the customer may not use pool \"{pool}\"; ask an operator for access");
        return Err(refusal(StatusCode::Forbidden, message));
    }
    let document = node.documents.pool(pool);
    let Some((serving, switch_number)) =
        document.and_then(|it| Some((it.serving.clone()?, it.switch_number)))
    else {
        return Err(no_eligible_slot(pool));
    };
    let mut slots = node.membership.live();
    slots.retain(|it| it.role == HostRole::Engine(pool.to_owned()));
    slots.retain(|it| spec.hosts.is_empty() || spec.hosts.contains(&it.host));
    slots.retain(|it| it.weights.loaded == Some(serving.manifest_digest));
    let is_switched = |it: &Arc<MemberRecord>| it.weights.switch_number == switch_number;
    if slots.iter().any(is_switched) {
        slots.retain(is_switched);
    }
    Ok(EligibleSlots {
        slots,
        attempt_order: Vec::new(),
        switch_number: Some(switch_number),
        version: Some(serving.version),
    })
}

fn service_slots(
    node: &Node,
    charter: &Charter,
    service: &str,
    customer: &str,
    incoming: &ValidatedRequest,
) -> Result<EligibleSlots, AttemptError> {
    let Some(spec) = charter.services.get(service) else {
        let message =
            format!("the charter has no service \"{service}\"; use the path of another one");
        return Err(refusal(StatusCode::NotFound, message));
    };
    if !spec.customers.is_empty() && !spec.customers.iter().any(|it| it == customer) {
        let message =
            format!("the customer may not call service \"{service}\"; ask an operator for access");
        return Err(refusal(StatusCode::Forbidden, message));
    }
    let mut slots = node.membership.live();
    slots.retain(|it| it.role == HostRole::Service(service.to_owned()));
    let mut attempt_order = Vec::new();
    if !spec.repeatable {
        let Some(key) = &incoming.idempotency_key else {
            let message =
                "calls of this service take effect at most once; send an Idempotency-Key header";
            return Err(refusal(StatusCode::BadRequest, message));
        };
        let shard = ClaimKey::shard_of(customer, key, spec.claim_shards);
        let hosts: Vec<HostId> = slots.iter().map(|it| it.host.clone()).collect();
        attempt_order = membership::rank(&shard_rank_key(service, shard), &hosts);
    }
    Ok(EligibleSlots { slots, attempt_order, switch_number: None, version: None })
}

fn refusal(status: StatusCode, message: impl Into<String>) -> AttemptError {
    AttemptError::no_retry(Failure::not_run(status, message))
}
