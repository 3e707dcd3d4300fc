//! Routes that show and patch the charter.

use std::time::{Duration, Instant};

use http_types::{Request, Response, StatusCode};
use serde_json::json;

use crate::{
    charter::{self, FieldError, PatchOrder, PatchOutcome, PatchState},
    ids::DocumentNumber,
    net::read_request_body,
    node::Node,
    operator::answer::{error_answer, json_answer},
    verdict::Verdict,
};

/// Time within which a patch must be settled.
const PATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest patch.
const MAX_PATCH_BYTES: usize = 1 << 20;

/// `GET /v1/charter`.
pub(crate) fn show(node: &Node) -> Response {
    let Some(charter) = node.documents.charter() else { return no_charter() };
    let mut response = json_answer(StatusCode::Ok, &*charter);
    response.insert_header("ETag", charter.number.to_string());
    response
}

/// The answer while the process has seen no charter.
pub(crate) fn no_charter() -> Response {
    let message = "no charter yet; make the first one with `crocustiller charter patch --base 0`";
    error_answer(StatusCode::NotFound, message, Verdict::NotRun)
}

/// `PATCH /v1/charter`.
pub(crate) async fn patch(node: &Node, mut request: Request) -> Response {
    let Some(base_number) = number_header(&request, "If-Match") else {
        let message = "send `If-Match: <number>` with the charter number that the patch builds on";
        return error_answer(StatusCode::PreconditionRequired, message, Verdict::NotRun);
    };
    let Some(id) = request.header("Idempotency-Key").map(|it| it.as_str().to_owned()) else {
        let message = "send `Idempotency-Key: <id>` so that the patch can be looked up";
        return error_answer(StatusCode::PreconditionRequired, message, Verdict::NotRun);
    };
    let body = match read_request_body(&mut request, MAX_PATCH_BYTES).await {
        Ok(body) => body,
        Err(err) => return bad_patch(&err.to_string()),
    };
    let patch = match serde_json::from_slice(&body) {
        Ok(patch) => patch,
        Err(err) => return bad_patch(&format!("the patch is not JSON: {err}")),
    };
    let deadline = Instant::now() + PATCH_TIMEOUT;
    let order = PatchOrder { id, base_number, patch, deadline };
    outcome_answer(&order, charter::patch(node, order.clone()).await)
}

/// `GET /v1/charter/patches/<id>`.
pub(crate) async fn patch_state(node: &Node, id: &str) -> Response {
    match charter::patch_state(node, id).await {
        PatchState::Accepted(number) => accepted(id, number),
        PatchState::Refused => {
            json_answer(StatusCode::Ok, &json!({ "id": id, "state": "refused" }))
        }
        PatchState::Unknown => {
            json_answer(StatusCode::Ok, &json!({ "id": id, "state": "unknown" }))
        }
    }
}

fn outcome_answer(order: &PatchOrder, outcome: PatchOutcome) -> Response {
    let verdict = outcome.verdict();
    match outcome {
        PatchOutcome::Accepted(number) => accepted(&order.id, number),
        PatchOutcome::Stale { current } => {
            let message = format!(
                "the patch builds on charter {}, but {current} is in force; read it and patch again",
                order.base_number
            );
            let mut response = error_answer(StatusCode::PreconditionFailed, &message, verdict);
            response.insert_header("ETag", current.to_string());
            response
        }
        PatchOutcome::Invalid(errors) => {
            let lines: Vec<String> = errors.iter().map(FieldError::to_string).collect();
            error_answer(StatusCode::UnprocessableEntity, &lines.join("\n"), verdict)
        }
        PatchOutcome::Unavailable(reason) => {
            error_answer(StatusCode::ServiceUnavailable, &reason, verdict)
        }
        PatchOutcome::Unsettled(reason) => {
            error_answer(StatusCode::GatewayTimeout, &reason, verdict)
        }
    }
}

fn accepted(id: &str, number: DocumentNumber) -> Response {
    let body = json!({ "id": id, "state": "accepted", "number": number });
    let mut response = json_answer(StatusCode::Ok, &body);
    response.insert_header("ETag", number.to_string());
    response
}

fn bad_patch(message: &str) -> Response {
    error_answer(StatusCode::UnprocessableEntity, message, Verdict::NotRun)
}

fn number_header(request: &Request, name: &str) -> Option<u64> {
    request.header(name)?.as_str().trim().trim_matches('"').parse().ok()
}
