//! Reads requests completely and validates their framing and headers.

use std::time::{Duration, Instant};

use http_types::{Method, Request, StatusCode};

use crate::{
    ids::RequestId,
    net::read_request_body,
    request::{failure::Failure, headers},
    runtime,
};

/// Maximum length of a request id and of an idempotency key, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Timeout for reading the body from its sender.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with validated headers and a complete body.
#[derive(Clone, Debug)]
pub(crate) struct ValidatedRequest {
    /// Id that the sender chose, or a generated one.
    pub(crate) id: RequestId,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path with the query, if any.
    pub(crate) path: String,
    /// Media type of the body.
    pub(crate) content_type: Option<String>,
    /// Idempotency key of a call that must take effect at most once.
    pub(crate) idempotency_key: Option<String>,
    /// Priority, passed on to the engine.
    pub(crate) priority: Option<String>,
    /// Instant at which the sender stops waiting.
    pub(crate) deadline: Instant,
    /// Complete body.
    pub(crate) body: Vec<u8>,
}

/// Limits on the requests of a sender.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestLimits {
    /// Maximum size of a body, in bytes.
    pub(crate) max_body_bytes: usize,
    /// Maximum duration of a request; a sender may set a shorter one.
    pub(crate) request_timeout_ms: Duration,
}

impl ValidatedRequest {
    /// Reads `request` completely and validates its headers.
    pub(crate) async fn read(
        id: RequestId,
        mut request: Request,
        limits: RequestLimits,
    ) -> Result<ValidatedRequest, Failure> {
        let request_timeout = request_timeout_of(&request, limits.request_timeout_ms)?;
        let deadline = Instant::now() + request_timeout;
        let idempotency_key = idempotency_key_of(&request)?;
        let read_body = read_request_body(&mut request, limits.max_body_bytes);
        let body = match runtime::timeout(request_timeout.min(BODY_TIMEOUT), read_body).await {
            Ok(res) => res.map_err(|err| Failure::from_body_error(&err))?,
            Err(_) => return Err(body_timeout()),
        };
        let url = request.url();
        let path = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        };
        Ok(ValidatedRequest {
            id,
            method: request.method(),
            path,
            content_type: header_value(&request, "Content-Type"),
            idempotency_key,
            priority: header_value(&request, headers::PRIORITY),
            deadline,
            body,
        })
    }

    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Returns the sender's request id, or a generated one if there is none.
///
/// A malformed id is refused; the error has a generated id for the response.
pub(crate) fn request_id_of(request: &Request) -> Result<RequestId, (RequestId, Failure)> {
    let new_id = || uuid::Uuid::new_v4().to_string();
    let Some(values) = request.header(headers::REQUEST_ID) else { return Ok(new_id()) };
    let id = values.as_str();
    if values.iter().count() == 1 && is_valid_id(id) {
        return Ok(id.to_owned());
    }
    let message =
        format!("X-Request-Id must be one value of 1 to {MAX_ID_BYTES} visible ASCII characters");
    Err((new_id(), Failure::not_run(StatusCode::BadRequest, message)))
}

/// Refuses requests whose body length is ambiguous, which would allow request smuggling.
pub(crate) fn check_framing(request: &Request) -> Result<(), Failure> {
    let refuse =
        |message: &str| Err(Failure::not_run(StatusCode::BadRequest, message).closing_connection());
    let n_content_lengths = request.header("Content-Length").map_or(0, |it| it.iter().count());
    let transfer_codings = request.header("Transfer-Encoding");
    if n_content_lengths > 1 {
        return refuse("the request has more than one Content-Length; send one");
    }
    if n_content_lengths == 1 && transfer_codings.is_some() {
        return refuse(
            "the request has both Content-Length and Transfer-Encoding; send one of the two",
        );
    }
    let is_chunked = |it: &http_types::headers::HeaderValues| {
        it.iter().count() == 1 && it.as_str().eq_ignore_ascii_case("chunked")
    };
    if transfer_codings.is_some_and(|it| !is_chunked(it)) {
        return refuse(
            "unsupported Transfer-Encoding; send a single \"chunked\" or a Content-Length",
        );
    }
    Ok(())
}

/// Returns the value of the header `name` of `request`, if present.
pub(crate) fn header_value(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|it| it.as_str().to_owned())
}

fn is_valid_id(text: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(|it| it.is_ascii_graphic())
}

fn idempotency_key_of(request: &Request) -> Result<Option<String>, Failure> {
    let Some(values) = request.header(headers::IDEMPOTENCY_KEY) else { return Ok(None) };
    if values.iter().count() == 1 && is_valid_id(values.as_str()) {
        return Ok(Some(values.as_str().to_owned()));
    }
    let message = format!(
        "Idempotency-Key must be one value of 1 to {MAX_ID_BYTES} visible ASCII characters"
    );
    Err(Failure::not_run(StatusCode::BadRequest, message).closing_connection())
}

fn request_timeout_of(request: &Request, max_timeout: Duration) -> Result<Duration, Failure> {
    let Some(text) = header_value(request, headers::DEADLINE_MS) else { return Ok(max_timeout) };
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(Duration::from_millis(ms).min(max_timeout)),
        _ => {
            let message = "X-Deadline-Ms must be a positive number of milliseconds";
            Err(Failure::not_run(StatusCode::BadRequest, message).closing_connection())
        }
    }
}

fn body_timeout() -> Failure {
    let message = "the body did not arrive in time; send the request again at a higher rate";
    Failure::not_run(StatusCode::RequestTimeout, message).closing_connection()
}
