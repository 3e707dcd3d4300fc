//! A request that an entry host did not read completely, so that it has not run.

use std::time::Duration;

use crate::{entry::error_response::ErrorResponse, http1::HttpError};

/// Value of `Retry-After` in the response of a host that has no memory for a request.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The reason why a request was not read completely.
#[derive(Debug)]
pub(crate) enum UnreadRequest {
    /// Its bytes are invalid, too many or too late, or the connection failed.
    Failed(HttpError),
    /// The process exits before the rest of the request is expected.
    HostExits,
}

impl UnreadRequest {
    /// Returns the response to the caller; `None` if the connection is lost.
    pub(crate) fn response(&self) -> Option<ErrorResponse> {
        let err = match self {
            UnreadRequest::Failed(err) => err,
            UnreadRequest::HostExits => {
                let message = "this entry host is shutting down; retry at another one";
                let response = ErrorResponse::not_run(503, message);
                return Some(response.with_retry_after(Duration::ZERO));
            }
        };
        let (status, message) = match err {
            HttpError::Malformed(_) => (400, "the request is not valid HTTP/1.1; correct it"),
            HttpError::HeadTooLong => {
                (431, "the request head is too long; shorten its URL or headers")
            }
            HttpError::BodyTooLong => (413, "the request body is too long; shorten it"),
            HttpError::BuffersFull => {
                let message =
                    "this entry host has no memory for the request now; retry at another one";
                let response = ErrorResponse::not_run(503, message);
                return Some(response.with_retry_after(FULL_RETRY_AFTER));
            }
            HttpError::TimedOut => {
                (408, "the request did not arrive in time; send the request again at a higher rate")
            }
            HttpError::Io(_) | HttpError::Closed | HttpError::Truncated => return None,
        };
        Some(ErrorResponse::not_run(status, message))
    }
}

impl From<HttpError> for UnreadRequest {
    fn from(err: HttpError) -> UnreadRequest {
        UnreadRequest::Failed(err)
    }
}

impl std::fmt::Display for UnreadRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            UnreadRequest::Failed(err) => err.fmt(f),
            UnreadRequest::HostExits => f.write_str("the process exits"),
        }
    }
}
