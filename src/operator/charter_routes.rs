//! Routes that show and patch the charter.

use std::time::{Duration, Instant};

use http_types::{Request, Response, StatusCode};
use serde_json::json;

use crate::{
    charter::{self, FieldError, PatchOutcome, PatchRequest, PatchState},
    ids::DocumentNumber,
    net::read_request_body,
    node::Node,
    operator::response::{error_response, json_response},
    verdict::Verdict,
};

/// The maximum length of a patch in bytes.
const MAX_PATCH_BYTES: usize = 1 << 20;
/// The timeout of a patch request without an `X-Deadline-Ms` header.
const PATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum timeout of a patch request; longer ones are shortened to it.
const MAX_PATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Handles `GET /v1/charter`.
pub(crate) fn show(node: &Node) -> Response {
    let Some(charter) = node.documents.charter() else { return no_charter() };
    let mut response = json_response(StatusCode::Ok, &*charter);
    response.insert_header("ETag", charter.number.to_string());
    response
}

/// Returns the response for a process that has not received a charter yet.
pub(crate) fn no_charter() -> Response {
    let message = "no charter yet; make the first one with `crocustiller charter patch --base 0`";
    error_response(StatusCode::NotFound, message, Verdict::NotRun)
}

/// Handles `PATCH /v1/charter`.
pub(crate) async fn patch(node: &Node, mut request: Request) -> Response {
    let patch_request = match read_patch_request(&mut request).await {
        Ok(patch_request) => patch_request,
        Err(err) => return err.to_response(),
    };
    let (id, base_number) = (patch_request.id.clone(), patch_request.base_number);
    match charter::patch(node, patch_request).await {
        PatchOutcome::Accepted(number) => state_response(&id, PatchState::Accepted(number)),
        PatchOutcome::Stale { current } => stale_response(base_number, current),
        PatchOutcome::Invalid(fields) => invalid_response(&fields),
        PatchOutcome::Unavailable(reason) => {
            let message = format!("{reason}; send the patch again");
            error_response(StatusCode::ServiceUnavailable, &message, Verdict::NotRun)
        }
        PatchOutcome::Unsettled(reason) => {
            let message = format!(
                "the patch may have taken effect ({reason}); check with `GET /v1/charter/patches/{id}`"
            );
            error_response(StatusCode::GatewayTimeout, &message, Verdict::MayHaveRun)
        }
    }
}

/// Handles `GET /v1/charter/patches/<id>`.
pub(crate) async fn patch_state(node: &Node, id: &str) -> Response {
    state_response(id, charter::patch_state(node, id).await)
}

/// Handles `GET /v1/charter/status`.
pub(crate) async fn status(node: &Node) -> Response {
    json_response(StatusCode::Ok, &charter::charter_status(node).await)
}

/// The reason why a patch request was rejected before it was applied.
struct PatchRequestError {
    status: StatusCode,
    message: String,
}

impl PatchRequestError {
    fn new(status: StatusCode, message: impl Into<String>) -> PatchRequestError {
        PatchRequestError { status, message: message.into() }
    }

    fn to_response(&self) -> Response {
        error_response(self.status, &self.message, Verdict::NotRun)
    }
}

async fn read_patch_request(request: &mut Request) -> Result<PatchRequest, PatchRequestError> {
    let required = StatusCode::PreconditionRequired;
    let Some(base_number) = number_header(request, "If-Match") else {
        let message = "send `If-Match: <number>` with the charter number that the patch builds on";
        return Err(PatchRequestError::new(required, message));
    };
    let Some(id) = request.header("Idempotency-Key").map(|it| it.as_str().to_owned()) else {
        let message = "send `Idempotency-Key: <id>` so that the patch can be looked up";
        return Err(PatchRequestError::new(required, message));
    };
    let timeout = number_header(request, "X-Deadline-Ms").map(Duration::from_millis);
    let deadline = Instant::now() + timeout.unwrap_or(PATCH_TIMEOUT).min(MAX_PATCH_TIMEOUT);
    let body = read_request_body(request, MAX_PATCH_BYTES)
        .await
        .map_err(|err| PatchRequestError::new(StatusCode::BadRequest, err.to_string()))?;
    let patch = serde_json::from_slice(&body).map_err(|err| {
        let message = format!("the patch is not JSON: {err}; send a JSON merge patch (RFC 7396)");
        PatchRequestError::new(StatusCode::UnprocessableEntity, message)
    })?;
    Ok(PatchRequest { id, base_number, patch, deadline })
}

fn state_response(id: &str, state: PatchState) -> Response {
    let (name, number) = match state {
        PatchState::Accepted(number) => ("accepted", Some(number)),
        PatchState::Refused => ("refused", None),
        PatchState::Unknown => ("unknown", None),
    };
    let body = json!({ "id": id, "state": name, "number": number });
    let mut response = json_response(StatusCode::Ok, &body);
    if let Some(number) = number {
        response.insert_header("ETag", number.to_string());
    }
    response
}

fn stale_response(base: DocumentNumber, current: DocumentNumber) -> Response {
    let message = format!(
        "the patch builds on charter {base}, but {current} is in force; read it and send a new patch"
    );
    let body = json!({
        "error": { "message": message, "verdict": Verdict::NotRun, "current_number": current }
    });
    let mut response = json_response(StatusCode::PreconditionFailed, &body);
    response.insert_header("X-Verdict", Verdict::NotRun.as_str());
    response.insert_header("ETag", current.to_string());
    response
}

fn invalid_response(fields: &[FieldError]) -> Response {
    let lines: Vec<String> = fields.iter().map(|it| format!("  {it}")).collect();
    let message = format!("the charter with the patch applied is invalid:\n{}", lines.join("\n"));
    let body = json!({
        "error": { "message": message, "verdict": Verdict::NotRun, "fields": fields }
    });
    let mut response = json_response(StatusCode::UnprocessableEntity, &body);
    response.insert_header("X-Verdict", Verdict::NotRun.as_str());
    response
}

fn number_header(request: &Request, name: &str) -> Option<u64> {
    request.header(name)?.as_str().trim().trim_matches('"').parse().ok()
}
