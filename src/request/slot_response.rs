//! What an entry host reads from a slot's answer, and the failures that follow from it.

use std::{net::SocketAddr, time::Duration};

use http_types::{Response, StatusCode};

use crate::request::failure::Failure;

/// The failure of a request that met slots at other switch numbers until its deadline.
pub(crate) fn into_unavailable(mut failure: Failure) -> Failure {
    failure.status = StatusCode::ServiceUnavailable;
    failure.retry_after_s = Some(Duration::from_secs(1));
    failure
}

/// The failure of an answer that did not arrive in time.
pub(crate) fn response_timeout() -> Failure {
    let message = "the answer did not arrive in time; send it again only if it may run twice";
    Failure::may_have_run(StatusCode::GatewayTimeout, message)
}

/// The failure of an answer that no slot sent.
pub(crate) fn missing_verdict(address: SocketAddr) -> Failure {
    let message = format!("the host at {address} answered without a verdict");
    Failure::may_have_run(StatusCode::BadGateway, message)
}

/// The milliseconds in a header of `response`; 0 without it.
pub(crate) fn header_duration(response: &Response, name: &str) -> Duration {
    let text = response.header(name).map(|it| it.as_str());
    Duration::from_millis(text.and_then(|it| it.parse().ok()).unwrap_or(0))
}

/// The text of an error body.
pub(crate) fn error_message(body: &[u8]) -> String {
    let json: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let message = json.as_ref().and_then(|it| it["error"]["message"].as_str());
    message.unwrap_or("the slot refused the request").to_owned()
}
