//! Builders for the responses of the operator address.

use http_types::{Response, StatusCode};
use serde::Serialize;
use serde_json::json;

use crate::verdict::Verdict;

/// Returns a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> Response {
    let mut response = Response::new(status);
    let bytes = serde_json::to_vec(body).expect("response bodies have only string keys");
    response.set_body(bytes);
    response.set_content_type(http_types::mime::JSON);
    response
}

/// Returns a response with a plain-text body.
pub(crate) fn text_response(status: StatusCode, text: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(text);
    response
}

/// Returns an error response.
///
/// `message` says what to do, `verdict` whether the request may have taken effect.
pub(crate) fn error_response(status: StatusCode, message: &str, verdict: Verdict) -> Response {
    let body = json!({ "error": { "message": message, "verdict": verdict } });
    let mut response = json_response(status, &body);
    response.insert_header("X-Verdict", verdict.as_str());
    response
}
