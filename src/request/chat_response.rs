//! Tells a whole answer of a model engine from a short one.

use http_types::StatusCode;
use serde::Deserialize;

use crate::request::{failure::Failure, route::Route};

/// Whether an engine's answer is a whole JSON object; a length alone does not show that.
pub(crate) fn check_complete(
    route: &Route,
    status: StatusCode,
    body: &[u8],
) -> Result<(), Failure> {
    let is_chat = matches!(route, Route::Chat { .. });
    if !is_chat || !status.is_success() || serde_json::from_slice::<ChatResponse>(body).is_ok() {
        return Ok(());
    }
    let message = "the engine's answer is not whole, so it was dropped";
    Err(Failure::may_have_run(StatusCode::BadGateway, message))
}

/// The part of an engine's answer that every whole one has.
#[derive(Deserialize)]
struct ChatResponse {
    #[serde(rename = "choices")]
    _choices: Vec<serde_json::Value>,
}
