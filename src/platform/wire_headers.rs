//! Decodes and sets the header fields of requests and responses.

use std::time::Duration;

use crate::{
    digest::Digest,
    http1::{Headers, RequestHead, ResponseHead},
    ids::WeightsVersion,
    placement::{PartDigest, RequestLimit},
    relay::{CallerRequest, EngineCall, PromptSizes, ResponseInfo, StatedLimit},
    weights::rank::digest_hash,
};

const REQUEST_ID: &str = "X-Request-Id";
/// The time until the caller's deadline in milliseconds; despite the name not an instant.
const TIME_LEFT: &str = "X-Deadline-Ms";
const AUTHORIZATION: &str = "Authorization";
const CUSTOMER: &str = "X-Tenant";
const EXPECTED_BACKEND: &str = "X-Expect-Instance";
const EXPECTED_VERSION: &str = "X-Expect-Version";
const PRIORITY: &str = "X-Request-Priority";
const LAST_EVENT_ID: &str = "Last-Event-Id";
/// The number of prompt tokens and the maximum number of output tokens, as `N,N`.
const TOKEN_COUNTS: &str = "X-Token-Counts";
/// The caller's estimate of the number of output tokens.
const OUTPUT_ESTIMATE: &str = "X-Length-Hint";
/// The parts of the prompt in order, as `ID:TOKENS,ID:TOKENS`; the last one is the request's own.
const PROMPT_PARTS: &str = "X-Prompt-Prefix";
const MODEL: &str = "X-Model";
/// The engines that a request passes through, which callers may not choose.
const ENGINE_PATH: &str = "Path";
/// Present on successful responses of backend servers, but not of other servers at their address.
const RECEIPT: &str = "X-Server-Stamp";
/// Present on the response of an engine that refused the request without running it.
const NOT_RUN: &str = "X-Not-Run";
/// Present, as `1`, on all responses of an engine that is shutting down.
const LEAVING: &str = "Server-Leaving";
/// The time in seconds for which an engine that refused a request wants no more.
const RETRY_AFTER: &str = "Retry-After";
/// The requests per second that an engine takes from all hosts together, while it names them.
const SERVER_LIMIT: &str = "Server-Limit";
const WEIGHTS_VERSION: &str = "X-Weight-Versions";
/// The status with which a backend server refuses a request that was meant for another one.
const STATUS_MISDIRECTED: u16 = 421;
/// The status of a refusal that may ask for a pause.
const STATUS_UNAVAILABLE: u16 = 503;

/// Decodes the fields that relaying uses from the head of a caller's request.
pub fn decode_request(head: &RequestHead) -> CallerRequest {
    let headers = &head.headers;
    let bearer = headers.get(AUTHORIZATION).and_then(|it| it.strip_prefix("Bearer "));
    let mut token_counts =
        headers.get(TOKEN_COUNTS).unwrap_or("").split(',').map(|it| it.trim().parse().ok());
    let prompt = token_counts.next().flatten();
    let max_output = token_counts.next().flatten();
    CallerRequest {
        id: headers.get(REQUEST_ID).unwrap_or("").to_owned(),
        host: headers.get("Host").unwrap_or("").to_owned(),
        key: bearer.map(|it| it.trim().to_owned()),
        time_left: headers.number(TIME_LEFT).map(Duration::from_millis),
        model: headers.get(MODEL).map(str::to_owned),
        sizes: PromptSizes {
            prompt_tokens: prompt.unwrap_or(0),
            max_output_tokens: max_output.unwrap_or(0),
            estimated_output_tokens: headers.number(OUTPUT_ESTIMATE).unwrap_or(0) as u32,
        },
        prompt_parts: decode_prompt_parts(headers),
        last_event: headers.get(LAST_EVENT_ID).map(str::to_owned),
    }
}

/// Decodes the parts of the prompt without the last one; malformed entries are skipped.
fn decode_prompt_parts(headers: &Headers) -> Vec<PartDigest> {
    let model = headers.get(MODEL).unwrap_or("");
    let fields = headers.all(PROMPT_PARTS).filter_map(|it| std::str::from_utf8(it).ok());
    let ids = fields.flat_map(|it| it.split(',')).filter_map(part_id);
    let mut parts: Vec<PartDigest> = ids.map(|id| digest_part(model, &id)).collect();
    parts.pop();
    parts
}

/// Returns the id of a well-formed entry, in lower case.
fn part_id(entry: &str) -> Option<String> {
    let (id, n_tokens) = entry.trim().split_once(':')?;
    let n_tokens = n_tokens.strip_prefix('+').unwrap_or(n_tokens);
    let is_id = !id.is_empty() && id.bytes().all(|it| it.is_ascii_hexdigit());
    let is_number = !n_tokens.is_empty() && n_tokens.bytes().all(|it| it.is_ascii_digit());
    (is_id && is_number).then(|| id.to_ascii_lowercase())
}

/// Returns the digest of a part, as the same id may name other content for another model.
fn digest_part(model: &str, id: &str) -> PartDigest {
    digest_hash(&Digest::of(format!("{model}\0{id}").as_bytes()))
}

/// Returns the head of the request to a backend server.
///
/// It is the caller's head without the API key and without the fields that callers may not set.
pub fn backend_head(head: &RequestHead, call: &EngineCall) -> RequestHead {
    let mut head = head.clone();
    let headers = &mut head.headers;
    headers.remove_hop_by_hop();
    for name in [AUTHORIZATION, EXPECTED_BACKEND, EXPECTED_VERSION, PRIORITY, ENGINE_PATH, "Expect"]
    {
        headers.remove(name);
    }
    headers.remove(CUSTOMER);
    headers.remove("Content-Length");
    if let Some(customer) = &call.customer {
        headers.push(CUSTOMER, customer.as_bytes());
    }
    headers.set(TIME_LEFT, call.time_left.as_millis().to_string());
    headers.push(EXPECTED_BACKEND, call.backend.as_bytes());
    if let Some(version) = call.expected_version {
        headers.push(EXPECTED_VERSION, version.to_string());
    }
    if let Some(event) = &call.last_event {
        headers.set(LAST_EVENT_ID, event.as_bytes());
    }
    if call.body_bytes > 0 || head.method != "GET" {
        head.headers.push("Content-Length", call.body_bytes.to_string());
    }
    head
}

/// Decodes the fields that relaying uses from the head of a backend server's response.
pub fn decode_response_info(head: &ResponseHead) -> ResponseInfo {
    let headers = &head.headers;
    let is_encoded = headers.get("Content-Encoding").is_some_and(|it| it != "identity");
    let version: Option<WeightsVersion> = headers.number(WEIGHTS_VERSION);
    ResponseInfo {
        request_id: headers.get(REQUEST_ID).map(str::to_owned),
        is_not_run: head.status == STATUS_MISDIRECTED || headers.get(NOT_RUN).is_some(),
        is_other_backend: head.status == STATUS_MISDIRECTED,
        is_leaving: headers.has_member(LEAVING, "1"),
        pause: decode_pause(head),
        limit: decode_limit(&head.headers),
        has_receipt: headers.get(RECEIPT).is_some(),
        is_encoded,
        is_event_stream: headers
            .get("Content-Type")
            .is_some_and(|it| it.starts_with("text/event-stream")),
        version,
    }
}

/// Returns the pause that a refusal asks for, the longest if there are several fields.
fn decode_pause(head: &ResponseHead) -> Option<Duration> {
    if head.status != STATUS_UNAVAILABLE {
        return None;
    }
    let pauses = head.headers.all(RETRY_AFTER).filter_map(decode_seconds);
    pauses.max().filter(|it| !it.is_zero())
}

/// Returns what a response says of a limit, the strictest if there are several fields.
fn decode_limit(headers: &Headers) -> StatedLimit {
    if headers.all(SERVER_LIMIT).next().is_none() {
        return StatedLimit::Unlimited;
    }
    let rates = headers.all(SERVER_LIMIT).filter_map(decode_decimal);
    let strictest = rates.min_by(f64::total_cmp).and_then(RequestLimit::per_second);
    strictest.map_or(StatedLimit::Unreadable, StatedLimit::Limited)
}

/// Decodes a number of seconds with an optional fraction. Dates mean nothing, as the clocks of machines
/// differ; a number that is too large means the longest time.
fn decode_seconds(value: &[u8]) -> Option<Duration> {
    let seconds = decode_decimal(value)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Decodes a decimal number with an optional fraction and no sign.
fn decode_decimal(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let is_number = |it: &str| it.bytes().all(|it| it.is_ascii_digit());
    if whole.is_empty() || !is_number(whole) || !is_number(fraction) {
        return None;
    }
    text.parse().ok()
}
