//! The failure of a request, and the HTTP error response for it.

use std::time::Duration;

use http_types::{Body, Response, StatusCode};
use serde::Serialize;

use crate::{
    ids::SwitchNumber,
    net::{BodyError, CallError},
    request::headers,
    verdict::Verdict,
};

/// `Retry-After` of a response that reports that a slot can't serve the request now.
const SLOT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The failure of a request, as reported to its sender.
///
/// From the verdict the sender knows whether the request may have run, and so whether a retry is
/// safe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// What happened, and what the sender can do.
    pub(crate) message: String,
    /// Time after which the request may be sent again.
    pub(crate) retry_after_s: Option<Duration>,
    /// Switch number of the slot that refused the request.
    pub(crate) switch_number: Option<SwitchNumber>,
    /// Whether to close the connection after the response.
    pub(crate) closes_connection: bool,
    /// Whether the backend server broke the connection while the request was in progress.
    pub(crate) is_crash: bool,
    /// Whether the platform was unavailable; another slot would fail in the same way.
    pub(crate) is_platform_unavailable: bool,
    /// Addresses of other entry hosts to send the request to.
    pub(crate) entry_hosts: Vec<String>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    verdict: Verdict,
    request_id: &'a str,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    entry_hosts: &'a [String],
}

impl Failure {
    /// Returns a failure of a request that did not run.
    pub(crate) fn not_run(status: StatusCode, message: impl Into<String>) -> Failure {
        Failure::new(status, Verdict::NotRun, message.into())
    }

    /// Returns a failure of a request that did not run because its slot can't serve it now.
    pub(crate) fn slot_unavailable(message: impl Into<String>) -> Failure {
        Failure::not_run(StatusCode::ServiceUnavailable, message).with_retry_after(SLOT_RETRY_AFTER)
    }

    /// Returns a failure of a request that may have run.
    pub(crate) fn may_have_run(status: StatusCode, message: impl Into<String>) -> Failure {
        Failure::new(status, Verdict::MayHaveRun, message.into())
    }

    /// Returns a failure of a request that ran.
    pub(crate) fn ran(status: StatusCode, message: impl Into<String>) -> Failure {
        Failure::new(status, Verdict::Ran, message.into())
    }

    /// Converts the error of a call to a slot or backend server.
    pub(crate) fn from_call_error(err: &CallError) -> Failure {
        let is_timeout = matches!(err, CallError::TimedOut(..));
        let status = if is_timeout { StatusCode::GatewayTimeout } else { StatusCode::BadGateway };
        let hint = match err.verdict() {
            Verdict::NotRun => "retry the request",
            Verdict::Ran | Verdict::MayHaveRun => "retry only if the request may run twice",
        };
        let mut failure = Failure::new(status, err.verdict(), format!("{err}; {hint}"));
        failure.is_crash = !is_timeout && err.verdict() == Verdict::MayHaveRun;
        failure
    }

    /// Converts the error of reading a sender's body.
    pub(crate) fn from_body_error(err: &BodyError) -> Failure {
        let status = match err {
            BodyError::TooLong(_) => StatusCode::PayloadTooLarge,
            BodyError::Truncated(..) | BodyError::Io(_) => StatusCode::BadRequest,
        };
        Failure::not_run(status, err.to_string()).closing_connection()
    }

    /// Closes the connection after the response.
    pub(crate) fn closing_connection(mut self) -> Failure {
        self.closes_connection = true;
        self
    }

    /// Sets the time after which the request may be sent again.
    pub(crate) fn with_retry_after(mut self, delay: Duration) -> Failure {
        self.retry_after_s = Some(delay);
        self
    }

    /// Converts the failure into an HTTP error response.
    pub(crate) fn into_response(self, request_id: &str) -> Response {
        let mut response = Response::new(self.status);
        response.insert_header(headers::REQUEST_ID, request_id);
        response.insert_header(headers::VERDICT, self.verdict.as_str());
        if let Some(delay) = self.retry_after_s {
            let whole_s = delay.as_millis().div_ceil(1000).max(1);
            response.insert_header(headers::RETRY_AFTER, whole_s.to_string());
        }
        if let Some(number) = self.switch_number {
            response.insert_header(headers::SWITCH, number.to_string());
        }
        if self.closes_connection {
            response.insert_header("Connection", "close");
        }
        if self.is_crash {
            response.insert_header(headers::CRASHED, "1");
        }
        if self.is_platform_unavailable {
            response.insert_header(headers::PLATFORM_UNAVAILABLE, "1");
        }
        let detail = ErrorDetail {
            message: &self.message,
            verdict: self.verdict,
            request_id,
            entry_hosts: &self.entry_hosts,
        };
        response.set_body(json_body(&ErrorBody { error: detail }));
        response
    }

    fn new(status: StatusCode, verdict: Verdict, message: String) -> Failure {
        Failure {
            status,
            verdict,
            message,
            retry_after_s: None,
            switch_number: None,
            closes_connection: false,
            is_crash: false,
            is_platform_unavailable: false,
            entry_hosts: Vec::new(),
        }
    }
}

/// Returns `value` as a JSON body.
pub(crate) fn json_body(value: &impl Serialize) -> Body {
    let text = serde_json::to_string(value).expect("response bodies have only string keys");
    let mut body = Body::from_string(text);
    body.set_mime("application/json");
    body
}
