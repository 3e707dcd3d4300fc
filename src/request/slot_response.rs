//! Reads values from a slot's response at an entry host and builds the failures that result.

use std::{net::SocketAddr, time::Duration};

use http_types::{Response, StatusCode};

use crate::request::failure::Failure;

/// Turns a slot's refusal for its switch number into one that the caller may retry after 1 s.
///
/// The caller receives it if slots at other switch numbers refused the request until its deadline.
pub(crate) fn into_unavailable(mut failure: Failure) -> Failure {
    failure.status = StatusCode::ServiceUnavailable;
    failure.retry_after_s = Some(Duration::from_secs(1));
    failure
}

/// Returns the failure for a response that did not arrive in time.
pub(crate) fn response_timeout() -> Failure {
    let message = "the response did not arrive in time; retry only if the request may run twice";
    Failure::may_have_run(StatusCode::GatewayTimeout, message)
}

/// Returns the failure for a response without a verdict, which no slot sends.
pub(crate) fn missing_verdict(address: SocketAddr) -> Failure {
    let message = format!(
        "the host at {address} responded without X-Verdict; check that a slot listens there"
    );
    Failure::may_have_run(StatusCode::BadGateway, message)
}

/// Returns the duration in a header of `response` in milliseconds; 0 if it is missing or malformed.
pub(crate) fn header_duration(response: &Response, name: &str) -> Duration {
    let text = response.header(name).map(|it| it.as_str());
    Duration::from_millis(text.and_then(|it| it.parse().ok()).unwrap_or(0))
}

/// Returns the message in a JSON error body, or a default message.
pub(crate) fn error_message(body: &[u8]) -> String {
    let json: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let message = json.as_ref().and_then(|it| it["error"]["message"].as_str());
    message.unwrap_or("the slot refused the request").to_owned()
}
