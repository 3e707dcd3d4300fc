//! Error responses that the entry host creates itself.

use std::time::Duration;

use serde_json::json;

use crate::{
    http1::{ConnectionWriter, HttpError, ResponseHead},
    verdict::Verdict,
};

/// An error response of the entry host, with the verdict whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ErrorResponse {
    /// Status code.
    pub(crate) status: u16,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// The cause of the error, and what the caller should do.
    pub(crate) message: &'static str,
    /// Time after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// Creates the response to a request that has not run and never will.
    pub(crate) fn not_run(status: u16, message: &'static str) -> ErrorResponse {
        ErrorResponse { status, verdict: Verdict::NotRun, message, retry_after: None }
    }

    /// Creates the response to a request that may have run.
    pub(crate) fn may_have_run(status: u16, message: &'static str) -> ErrorResponse {
        ErrorResponse { status, verdict: Verdict::MayHaveRun, message, retry_after: None }
    }

    /// Adds the time after which the caller may retry.
    pub(crate) fn with_retry_after(self, wait: Duration) -> ErrorResponse {
        ErrorResponse { retry_after: Some(wait), ..self }
    }

    /// Sends the response to the caller.
    pub(crate) async fn send(
        &self,
        caller: &ConnectionWriter,
        request_id: &str,
        closes_connection: bool,
    ) -> Result<(), HttpError> {
        let error = json!({
            "error": {
                "message": self.message,
                "verdict": self.verdict.as_str(),
                "request_id": request_id,
            }
        });
        let body = error.to_string();
        let mut head = ResponseHead::new(self.status, reason_phrase(self.status));
        head.headers.push("Content-Type", "application/json");
        head.headers.push("Content-Length", body.len().to_string());
        head.headers.push("X-Verdict", self.verdict.as_str());
        if !request_id.is_empty() {
            head.headers.push("X-Request-Id", request_id);
        }
        if let Some(wait) = self.retry_after {
            head.headers.push("Retry-After", format!("{:.3}", wait.as_secs_f64()));
        }
        if closes_connection {
            head.headers.push("Connection", "close");
        }
        let mut bytes = head.to_bytes();
        bytes.extend_from_slice(body.as_bytes());
        caller.write(&bytes).await
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
