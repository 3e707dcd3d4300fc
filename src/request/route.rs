//! The target of a request, parsed from its path and body.

use http_types::{Method, StatusCode};
use serde::Deserialize;

use crate::{
    digest::Digest,
    ids::{PoolId, ServiceId},
    request::{failure::Failure, validated_request::ValidatedRequest},
};

/// Path of chat requests to a model.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
/// Path prefix of all calls of a plain service.
pub(crate) const SERVICE_PATH_PREFIX: &str = "/v1/services/";
/// Path of the entry host list.
pub(crate) const ENTRY_HOSTS_PATH: &str = "/v1/entry-hosts";
/// Length of the prefix of the serialized messages that selects the preferred slot.
const PROMPT_PREFIX_BYTES: usize = 256;
/// Bytes of the request body that are estimated as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Estimated number of output tokens if the request has no `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;
/// Upper bound of the estimated output tokens.
const MAX_OUTPUT_TOKENS: u64 = 1 << 20;

/// The target of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// A chat request to a model.
    Chat {
        /// The pool named by the field `model` of the body.
        pool: PoolId,
        /// Estimated work in tokens.
        cost_tokens: u64,
        /// Digest of the prompt's prefix, which selects the slot that may have it cached.
        prefix_digest: Digest,
    },
    /// A call of a plain service.
    Service {
        /// Id of the service.
        service: ServiceId,
        /// Path and query at the service.
        path: String,
    },
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    #[serde(default)]
    messages: serde_json::Value,
    max_tokens: Option<u64>,
}

impl Route {
    /// Parses the route of `incoming`.
    pub(crate) fn parse(incoming: &ValidatedRequest) -> Result<Route, Failure> {
        if let Some(suffix) = incoming.path.strip_prefix(SERVICE_PATH_PREFIX) {
            return service_route(suffix);
        }
        if incoming.path != CHAT_PATH {
            let message = format!(
                "unknown path; use {CHAT_PATH}, {SERVICE_PATH_PREFIX}<service>/<path> \
                 or {ENTRY_HOSTS_PATH}"
            );
            return Err(Failure::not_run(StatusCode::NotFound, message));
        }
        if incoming.method != Method::Post {
            let message =
                format!("{CHAT_PATH} accepts only POST; send the request with this method");
            return Err(Failure::not_run(StatusCode::MethodNotAllowed, message));
        }
        chat_route(&incoming.body)
    }

    /// Returns the name of the pool or service.
    pub(crate) fn target(&self) -> &str {
        match self {
            Route::Chat { pool, .. } => pool,
            Route::Service { service, .. } => service,
        }
    }

    /// Returns the estimated work in tokens, by which the fair queue schedules requests.
    pub(crate) fn cost_tokens(&self) -> u64 {
        match self {
            Route::Chat { cost_tokens, .. } => *cost_tokens,
            Route::Service { .. } => 1,
        }
    }
}

fn service_route(suffix: &str) -> Result<Route, Failure> {
    let (service, path) = match suffix.find(['/', '?']) {
        Some(idx) => suffix.split_at(idx),
        None => (suffix, "/"),
    };
    if service.is_empty() {
        let message =
            format!("the path names no service; use {SERVICE_PATH_PREFIX}<service>/<path>");
        return Err(Failure::not_run(StatusCode::NotFound, message));
    }
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    Ok(Route::Service { service: service.to_owned(), path })
}

fn chat_route(body: &[u8]) -> Result<Route, Failure> {
    let malformed = |err: &dyn std::fmt::Display| {
        let message = format!("the body is not a chat request: {err}; send JSON with \"model\"");
        Failure::not_run(StatusCode::BadRequest, message)
    };
    let text = std::str::from_utf8(body).map_err(|err| malformed(&err))?;
    let chat: ChatBody = serde_json::from_str(text).map_err(|err| malformed(&err))?;
    let output_tokens = chat.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS).min(MAX_OUTPUT_TOKENS);
    let prompt = chat.messages.to_string();
    let prefix = &prompt.as_bytes()[..prompt.len().min(PROMPT_PREFIX_BYTES)];
    Ok(Route::Chat {
        pool: chat.model,
        cost_tokens: body.len() as u64 / BYTES_PER_TOKEN + output_tokens.max(1),
        prefix_digest: Digest::of(prefix),
    })
}
