//! Routes that show and patch the charter.

use http_types::{Request, Response, StatusCode};
use quick_error::quick_error;
use serde_bytes::ByteBuf;
use serde_json::{json, Value};

use crate::{
    charter::{AcceptedPatch, Charter, RECENT_PATCHES},
    ids::DocumentNumber,
    net::read_request_body,
    node::Node,
    operator::answer::{error_answer, json_answer},
    peer::{Document, DocumentName},
    platform::{Object, PlatformError, Precondition},
    verdict::Verdict,
};

/// Name of the charter's object.
const CHARTER_OBJECT: &str = "charter";
/// Longest patch.
const MAX_PATCH_BYTES: usize = 1 << 20;

quick_error! {
    /// Why a patch did not take effect.
    #[derive(Debug)]
    enum PatchRefusal {
        /// The patch builds on another charter than the one in force.
        Stale(base: DocumentNumber, current: DocumentNumber) {
            display("the patch builds on charter {base}, but {current} is in force; read it and patch again")
        }
        /// The patch doesn't make a charter.
        Malformed(reason: String) {
            display("{reason}")
        }
        /// The platform did not answer.
        Platform(err: PlatformError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

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
    match apply(node, &id, base_number, &patch).await {
        Ok(number) => accepted(&id, number),
        Err(refusal) => refusal.answer(),
    }
}

/// `GET /v1/charter/patches/<id>`.
pub(crate) async fn patch_state(node: &Node, id: &str) -> Response {
    let charter = node.documents.charter();
    let patch = charter.as_ref().and_then(|it| it.recent_patches.iter().find(|it| it.id == id));
    match patch {
        Some(patch) => accepted(id, patch.number),
        None => json_answer(StatusCode::Ok, &json!({ "id": id, "state": "unknown" })),
    }
}

impl PatchRefusal {
    fn answer(&self) -> Response {
        let (status, verdict) = match self {
            PatchRefusal::Stale(..) => (StatusCode::PreconditionFailed, Verdict::NotRun),
            PatchRefusal::Malformed(_) => (StatusCode::UnprocessableEntity, Verdict::NotRun),
            PatchRefusal::Platform(err) if err.verdict() == Verdict::NotRun => {
                (StatusCode::ServiceUnavailable, Verdict::NotRun)
            }
            PatchRefusal::Platform(_) => (StatusCode::GatewayTimeout, Verdict::MayHaveRun),
        };
        let mut response = error_answer(status, &self.to_string(), verdict);
        if let PatchRefusal::Stale(_, current) = self {
            response.insert_header("ETag", current.to_string());
        }
        response
    }
}

async fn apply(
    node: &Node,
    id: &str,
    base_number: DocumentNumber,
    patch: &Value,
) -> Result<DocumentNumber, PatchRefusal> {
    let object = node.platform.get(CHARTER_OBJECT).await?;
    let charter = read(object.as_ref())?;
    if let Some(known) = charter.recent_patches.iter().find(|it| it.id == id) {
        return Ok(known.number);
    }
    if charter.number != base_number {
        return Err(PatchRefusal::Stale(base_number, charter.number));
    }
    let charter = merged(charter, id, patch)?;
    let json = serde_json::to_vec(&charter).expect("a charter has only string keys");
    let precondition = match object {
        Some(object) => Precondition::Revision(object.revision),
        None => Precondition::Absent,
    };
    match node.platform.put(CHARTER_OBJECT, &json, precondition).await {
        Ok(_) => {}
        Err(PlatformError::Conflict(_)) => {
            return Err(PatchRefusal::Stale(base_number, charter.number))
        }
        Err(err) => return Err(err.into()),
    }
    let document =
        Document { name: DocumentName::Charter, number: charter.number, json: ByteBuf::from(json) };
    node.documents.offer(document).map_err(|err| PatchRefusal::Malformed(err.to_string()))?;
    Ok(charter.number)
}

fn read(object: Option<&Object>) -> Result<Charter, PatchRefusal> {
    let Some(object) = object else { return Ok(Charter::default()) };
    serde_json::from_slice(&object.value)
        .map_err(|err| PatchRefusal::Malformed(format!("the stored charter can't be read: {err}")))
}

fn merged(charter: Charter, id: &str, patch: &Value) -> Result<Charter, PatchRefusal> {
    let number = charter.number + 1;
    let mut recent = charter.recent_patches.clone();
    let mut value = serde_json::to_value(charter).expect("a charter has only string keys");
    json_patch::merge(&mut value, patch);
    let mut charter: Charter =
        serde_json::from_value(value).map_err(|err| PatchRefusal::Malformed(err.to_string()))?;
    recent.push(AcceptedPatch { id: id.to_owned(), number });
    let n_old = recent.len().saturating_sub(RECENT_PATCHES);
    charter.recent_patches = recent.split_off(n_old);
    charter.number = number;
    Ok(charter)
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
