//! What a request asks for, read from its path and body.

use http_types::{Method, StatusCode};
use serde::Deserialize;

use crate::{
    digest::Digest,
    ids::{PoolId, ServiceId},
    request::{failure::Failure, incoming::Incoming},
};

/// Path of model requests.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
/// Path that begins every call of a plain service.
pub(crate) const SERVICE_PREFIX: &str = "/v1/services/";
/// Path of the list of entry hosts.
pub(crate) const ENTRY_HOSTS_PATH: &str = "/v1/entry-hosts";
/// Bytes of the first message that choose the favoured slot.
const PREFIX_BYTES: usize = 256;
/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Tokens that an answer is taken to have when the request names no limit.
const DEFAULT_ANSWER_TOKENS: u64 = 256;
/// Greatest number of answer tokens that counts.
const MAX_ANSWER_TOKENS: u64 = 1 << 20;

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// A model request.
    Chat {
        /// The pool that `model` names.
        pool: PoolId,
        /// Estimated work in tokens.
        cost_tokens: u64,
        /// Digest of the beginning of the prompt.
        prefix: Digest,
    },
    /// A call of a plain service.
    Service {
        /// The service.
        service: ServiceId,
        /// Path at the service.
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
    /// Reads the route of `incoming`.
    pub(crate) fn of(incoming: &Incoming) -> Result<Route, Failure> {
        if let Some(rest) = incoming.path.strip_prefix(SERVICE_PREFIX) {
            return service_route(rest);
        }
        if incoming.path != CHAT_PATH {
            let message = format!(
                "unknown path; use {CHAT_PATH}, {SERVICE_PREFIX}<service>/<path> or {ENTRY_HOSTS_PATH}"
            );
            return Err(Failure::not_run(StatusCode::NotFound, message));
        }
        if incoming.method != Method::Post {
            let message = format!("{CHAT_PATH} takes only POST");
            return Err(Failure::not_run(StatusCode::MethodNotAllowed, message));
        }
        chat_route(&incoming.body)
    }

    /// The pool or service.
    pub(crate) fn target(&self) -> &str {
        match self {
            Route::Chat { pool, .. } => pool,
            Route::Service { service, .. } => service,
        }
    }

    /// Estimated work in tokens, which the fair queue shares out.
    pub(crate) fn cost_tokens(&self) -> u64 {
        match self {
            Route::Chat { cost_tokens, .. } => *cost_tokens,
            Route::Service { .. } => 1,
        }
    }
}

fn service_route(rest: &str) -> Result<Route, Failure> {
    let (service, path) = match rest.find(['/', '?']) {
        Some(idx) => rest.split_at(idx),
        None => (rest, "/"),
    };
    if service.is_empty() {
        let message = format!("the path names no service; use {SERVICE_PREFIX}<service>/<path>");
        return Err(Failure::not_run(StatusCode::NotFound, message));
    }
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    Ok(Route::Service { service: service.to_owned(), path })
}

fn chat_route(body: &[u8]) -> Result<Route, Failure> {
    let bad = |err: &dyn std::fmt::Display| {
        let message = format!("the body is not a chat request: {err}; send JSON with \"model\"");
        Failure::not_run(StatusCode::BadRequest, message)
    };
    let text = std::str::from_utf8(body).map_err(|err| bad(&err))?;
    let chat: ChatBody = serde_json::from_str(text).map_err(|err| bad(&err))?;
    let answer = chat.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS).min(MAX_ANSWER_TOKENS);
    let prompt = chat.messages.to_string();
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    Ok(Route::Chat {
        pool: chat.model,
        cost_tokens: body.len() as u64 / BYTES_PER_TOKEN + answer.max(1),
        prefix: Digest::of(prefix),
    })
}
