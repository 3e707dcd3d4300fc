//! A whole request as it came in, checked before anything else sees it.

use std::time::{Duration, Instant};

use http_types::{Method, Request, StatusCode};

use crate::{
    ids::RequestId,
    net::read_request_body,
    request::{failure::Failure, headers},
    runtime,
};

/// Longest request id and idempotency key, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Time within which a sender must deliver the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request whose head was checked and whose body is whole.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    /// Id of the request.
    pub(crate) id: RequestId,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path with the query, if any.
    pub(crate) path: String,
    /// Media type of the body.
    pub(crate) content_type: Option<String>,
    /// Key of a call that must take effect at most once.
    pub(crate) idempotency_key: Option<String>,
    /// Priority that the engine honours.
    pub(crate) priority: Option<String>,
    /// Instant until which the sender waits.
    pub(crate) deadline: Instant,
    /// The body.
    pub(crate) body: Vec<u8>,
}

/// Bounds on what a sender may ask for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IncomingLimits {
    /// Longest body.
    pub(crate) max_body_bytes: usize,
    /// Whole time of a request; a sender may ask for less.
    pub(crate) request_timeout_ms: Duration,
}

impl Incoming {
    /// Reads the whole of `request`.
    pub(crate) async fn read(
        id: RequestId,
        mut request: Request,
        limits: IncomingLimits,
    ) -> Result<Incoming, Failure> {
        let wait = deadline_of(&request, limits.request_timeout_ms)?;
        let deadline = Instant::now() + wait;
        let idempotency_key = key_of(&request)?;
        let read = read_request_body(&mut request, limits.max_body_bytes);
        let body = match runtime::timeout(wait.min(BODY_TIMEOUT), read).await {
            Ok(res) => res.map_err(|err| Failure::of_body(&err))?,
            Err(_) => return Err(slow_sender()),
        };
        let url = request.url();
        let path = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        };
        Ok(Incoming {
            id,
            method: request.method(),
            path,
            content_type: text_of(&request, "Content-Type"),
            idempotency_key,
            priority: text_of(&request, headers::PRIORITY),
            deadline,
            body,
        })
    }

    /// Time that the sender still waits.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// The sender's request id, or a new one; a malformed id is refused under a new one.
pub(crate) fn request_id_of(request: &Request) -> Result<RequestId, (RequestId, Failure)> {
    let new_id = || uuid::Uuid::new_v4().to_string();
    let Some(values) = request.header(headers::REQUEST_ID) else { return Ok(new_id()) };
    let id = values.as_str();
    if values.iter().count() == 1 && is_id(id) {
        return Ok(id.to_owned());
    }
    let message = format!("X-Request-Id must be one word of 1 to {MAX_ID_BYTES} visible letters");
    Err((new_id(), Failure::not_run(StatusCode::BadRequest, message)))
}

/// Refuses heads whose body length can be read in two ways.
pub(crate) fn check_framing(request: &Request) -> Result<(), Failure> {
    let refuse = |message: &str| Err(Failure::not_run(StatusCode::BadRequest, message).closing());
    let lengths = request.header("Content-Length").map_or(0, |it| it.iter().count());
    let codings = request.header("Transfer-Encoding");
    if lengths > 1 {
        return refuse("the request has two lengths; send one Content-Length");
    }
    if lengths == 1 && codings.is_some() {
        return refuse("the request has a length and is chunked; send one of the two");
    }
    let is_chunked = |it: &http_types::headers::HeaderValues| {
        it.iter().count() == 1 && it.as_str().eq_ignore_ascii_case("chunked")
    };
    if codings.is_some_and(|it| !is_chunked(it)) {
        return refuse("the only transfer coding taken is one \"chunked\"; send a length instead");
    }
    Ok(())
}

/// One text header of `request`.
pub(crate) fn text_of(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|it| it.as_str().to_owned())
}

fn is_id(text: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(|it| it.is_ascii_graphic())
}

fn key_of(request: &Request) -> Result<Option<String>, Failure> {
    let Some(values) = request.header(headers::IDEMPOTENCY_KEY) else { return Ok(None) };
    if values.iter().count() == 1 && is_id(values.as_str()) {
        return Ok(Some(values.as_str().to_owned()));
    }
    let message =
        format!("Idempotency-Key must be one word of 1 to {MAX_ID_BYTES} visible letters");
    Err(Failure::not_run(StatusCode::BadRequest, message).closing())
}

fn deadline_of(request: &Request, limit: Duration) -> Result<Duration, Failure> {
    let Some(text) = text_of(request, headers::DEADLINE_MS) else { return Ok(limit) };
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(Duration::from_millis(ms).min(limit)),
        _ => {
            let message = "X-Deadline-Ms must be a positive number of milliseconds";
            Err(Failure::not_run(StatusCode::BadRequest, message).closing())
        }
    }
}

fn slow_sender() -> Failure {
    let message = "the body did not arrive in time; send it again, faster";
    Failure::not_run(StatusCode::RequestTimeout, message).closing()
}
