//! A request that gets no answer from a backend server, and the text that says what to do.

use std::time::Duration;

use http_types::{Body, Response, StatusCode};
use serde::Serialize;

use crate::{
    ids::SwitchNumber,
    net::{BodyError, CallError},
    request::headers,
    verdict::Verdict,
};

/// Why a request failed, as its sender is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// What happened and what to do.
    pub(crate) message: String,
    /// Time after which the request may be sent again.
    pub(crate) retry_after_s: Option<Duration>,
    /// Switch number of the slot that refused.
    pub(crate) switch_number: Option<SwitchNumber>,
    /// Whether the connection ends with this answer.
    pub(crate) closes_connection: bool,
    /// Whether the backend server broke the connection while the request was in progress.
    pub(crate) is_crash: bool,
    /// Whether the platform could not be asked, which another slot would meet as well.
    pub(crate) is_platform_out: bool,
    /// Addresses of entry hosts to ask instead.
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
    /// A failure before any byte reached a backend server.
    pub(crate) fn not_run(status: StatusCode, message: impl Into<String>) -> Failure {
        Failure::new(status, Verdict::NotRun, message.into())
    }

    /// A failure after which the request may have run.
    pub(crate) fn may_have_run(status: StatusCode, message: impl Into<String>) -> Failure {
        Failure::new(status, Verdict::MayHaveRun, message.into())
    }

    /// A failure of a request that ran.
    pub(crate) fn ran(status: StatusCode, message: impl Into<String>) -> Failure {
        Failure::new(status, Verdict::Ran, message.into())
    }

    /// The failure of a call to a slot or backend server.
    pub(crate) fn of_call(err: &CallError) -> Failure {
        let is_timeout = matches!(err, CallError::TimedOut(..));
        let status = if is_timeout { StatusCode::GatewayTimeout } else { StatusCode::BadGateway };
        let hint = match err.verdict() {
            Verdict::NotRun => "send it again",
            Verdict::Ran | Verdict::MayHaveRun => "send it again only if it may run twice",
        };
        let mut failure = Failure::new(status, err.verdict(), format!("{err}; {hint}"));
        failure.is_crash = !is_timeout && err.verdict() == Verdict::MayHaveRun;
        failure
    }

    /// The failure of a sender whose body could not be read.
    pub(crate) fn of_body(err: &BodyError) -> Failure {
        let status = match err {
            BodyError::TooLong(_) => StatusCode::PayloadTooLarge,
            BodyError::Truncated(..) | BodyError::Io(_) => StatusCode::BadRequest,
        };
        Failure::not_run(status, err.to_string()).closing()
    }

    /// Ends the connection after this answer.
    pub(crate) fn closing(mut self) -> Failure {
        self.closes_connection = true;
        self
    }

    /// Names the time after which the request may be sent again.
    pub(crate) fn retry_after(mut self, pause: Duration) -> Failure {
        self.retry_after_s = Some(pause);
        self
    }

    /// The HTTP answer.
    pub(crate) fn into_response(self, request_id: &str) -> Response {
        let mut response = Response::new(self.status);
        response.insert_header(headers::REQUEST_ID, request_id);
        response.insert_header(headers::VERDICT, self.verdict.as_str());
        if let Some(pause) = self.retry_after_s {
            let whole_s = pause.as_millis().div_ceil(1000).max(1);
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
        if self.is_platform_out {
            response.insert_header(headers::PLATFORM_OUT, "1");
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
            is_platform_out: false,
            entry_hosts: Vec::new(),
        }
    }
}

/// A JSON body of `value`.
pub(crate) fn json_body(value: &impl Serialize) -> Body {
    let text = serde_json::to_string(value).expect("answers have only string keys");
    let mut body = Body::from_string(text);
    body.set_mime("application/json");
    body
}
