//! Routes one request of a caller: authorizes it, finds its service and sends it to backend servers.

use std::time::{Duration, Instant};

use crate::{
    entry::{
        attempts,
        crash_tries::{self, CrashDecision},
        cut_reason::CutReason,
        error_response::ErrorResponse,
        exchange::{ConnectionReuse, Exchange},
        reservation_error::STARTING_RETRY_AFTER,
    },
    ids::ServiceId,
    placement::can_finish_before_exit,
    routing::{Customer, Route, RoutingCharter},
    runtime,
};

/// Time after the deadline for which the engine's own response is still accepted.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(40);

/// Where the charter sends a request, and whose it is.
struct Destination<'a> {
    route: &'a Route,
    service: &'a ServiceId,
    /// `None` on a public route, or if the charter names no customers.
    customer: Option<&'a Customer>,
}

/// Authorizes the request, sends it to backend servers and responds to the caller, all within the
/// deadline of the request.
pub(crate) async fn run(exchange: &Exchange) -> ConnectionReuse {
    let Some(charter) = exchange.host.charter.borrow().clone() else {
        let message = "this entry host has no charter yet; retry at another one";
        let response = ErrorResponse::not_run(503, message);
        return exchange.send_error(response.with_retry_after(STARTING_RETRY_AFTER)).await;
    };
    exchange.trace.set_charter(charter.number);
    let destination = match find_destination(exchange, &charter) {
        Ok(destination) => destination,
        Err(response) => return exchange.send_error(response).await,
    };
    exchange.set_fingerprint(destination.customer.map(|it| &it.id));
    match crash_tries::decide(&exchange.host, exchange.fingerprint.get()).await {
        CrashDecision::Allow => {}
        CrashDecision::Try(crash_try) => exchange.begin_try(crash_try),
        CrashDecision::Refuse => {
            let message =
                "backend servers crashed while running this request; do not retry it unchanged";
            return exchange.send_error(ErrorResponse::not_run(503, message)).await;
        }
    }
    if let Some(quarantined) = exchange.quarantined_part() {
        return exchange.refuse_quarantined_part(&quarantined).await;
    }
    exchange.host.retry_budgets.borrow_mut().count_request(destination.service, Instant::now());
    run_attempts(exchange, &destination).await
}

fn find_destination<'a>(
    exchange: &Exchange,
    charter: &'a RoutingCharter,
) -> Result<Destination<'a>, ErrorResponse> {
    let Some(route) = charter.route(&exchange.request.host, exchange.head.path()) else {
        let message = "no route matches; check the host and path";
        return Err(ErrorResponse::not_run(404, message));
    };
    let customer = customer_of(exchange, charter, route)?;
    let time_until_exit = exchange.host.departure.time_until_exit();
    let time_left = exchange.time_left(route);
    if time_until_exit.is_some_and(|it| !can_finish_before_exit(it, time_left)) {
        let message = "this entry host is shutting down; retry at another one";
        return Err(ErrorResponse::not_run(503, message).with_retry_after(Duration::ZERO));
    }
    let Some(service) = route.choose_service(fastrand::f64()) else {
        let message = "the route has no target; add one in the charter";
        return Err(ErrorResponse::not_run(503, message));
    };
    Ok(Destination { route, service, customer })
}

fn customer_of<'a>(
    exchange: &Exchange,
    charter: &'a RoutingCharter,
    route: &Route,
) -> Result<Option<&'a Customer>, ErrorResponse> {
    let Some(customers) = charter.customers.as_ref().filter(|_| !route.is_public) else {
        return Ok(None);
    };
    match exchange.request.key.as_ref().and_then(|it| customers.get(it)) {
        Some(customer) => Ok(Some(customer)),
        None => {
            let message = "unknown API key; send the key of a customer";
            Err(ErrorResponse::not_run(401, message))
        }
    }
}

async fn run_attempts(exchange: &Exchange, destination: &Destination<'_>) -> ConnectionReuse {
    let Destination { route, service, customer } = destination;
    let timeout = exchange.time_left(route) + TIMEOUT_MARGIN;
    match runtime::timeout(timeout, attempts::run(exchange, route, service, *customer)).await {
        Ok(reuse) => reuse,
        Err(_) => {
            exchange
                .send_timeout(
                    CutReason::Deadline,
                    "the deadline passed before the request was sent to a backend server; retry",
                    "the deadline passed; retry only if the request is idempotent",
                )
                .await
        }
    }
}
