//! Distinguishes a complete response of a model engine from a truncated one.

use http_types::StatusCode;
use serde::Deserialize;

use crate::request::{failure::Failure, route::Route};

/// Checks that an engine's successful response is a complete JSON object.
///
/// The length alone does not show that the response is complete.
pub(crate) fn check_complete(
    route: &Route,
    status: StatusCode,
    body: &[u8],
) -> Result<(), Failure> {
    let is_chat = matches!(route, Route::Chat { .. });
    if !is_chat || !status.is_success() || serde_json::from_slice::<ChatResponse>(body).is_ok() {
        return Ok(());
    }
    let message = "the engine's response is incomplete and was dropped; retry the request";
    Err(Failure::may_have_run(StatusCode::BadGateway, message))
}

/// The part that every complete response of an engine has.
#[derive(Deserialize)]
struct ChatResponse {
    #[serde(rename = "choices")]
    _choices: Vec<serde_json::Value>,
}
