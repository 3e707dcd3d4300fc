//! Chat requests and responses; the text of an answer is computed from the prompt alone.

use serde::Deserialize;
use serde_json::{json, Value};

/// The number of tokens of an answer if the request has no `max_tokens`.
const DEFAULT_TOKENS: usize = 16;

/// The fields of a chat request that the engine reads.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChatRequest {
    #[serde(default)]
    pub(crate) model: String,
    pub(crate) messages: Vec<ChatMessage>,
    #[serde(default)]
    pub(crate) stream: bool,
    pub(crate) max_tokens: Option<usize>,
}

/// One message of a chat request.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChatMessage {
    pub(crate) content: String,
}

impl ChatRequest {
    pub(crate) fn prompt(&self) -> String {
        let contents: Vec<&str> = self.messages.iter().map(|it| it.content.as_str()).collect();
        contents.join("\n")
    }

    pub(crate) fn n_tokens(&self) -> usize {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1)
    }
}

/// Returns the complete answer of `n_tokens` tokens to `prompt`, with which tests detect wrong or
/// incomplete responses.
pub fn expected_answer(prompt: &str, n_tokens: usize) -> String {
    (0..n_tokens).map(|idx| token(prompt, idx)).collect()
}

/// Returns token number `idx` of the answer to `prompt`.
pub(crate) fn token(prompt: &str, idx: usize) -> String {
    let hash = blake3::hash(prompt.as_bytes()).to_hex();
    let start = idx * 4 % 60;
    format!("{}-{idx} ", &hash[start..start + 4])
}

/// Returns the body of a complete response.
pub(crate) fn completion(
    request_id: &str,
    request: &ChatRequest,
    text: &str,
    fingerprint: &str,
) -> Value {
    let n_prompt = request.prompt().len() / 4 + 1;
    let n_tokens = request.n_tokens();
    json!({
        "id": request_id,
        "object": "chat.completion",
        "model": request.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": {
            "prompt_tokens": n_prompt,
            "completion_tokens": n_tokens,
            "total_tokens": n_prompt + n_tokens,
        },
        "system_fingerprint": fingerprint,
    })
}

/// Returns the server-sent event for one token.
pub(crate) fn event(
    request_id: &str,
    request: &ChatRequest,
    text: &str,
    is_last: bool,
    fingerprint: &str,
) -> Vec<u8> {
    let finish_reason = if is_last { json!("stop") } else { Value::Null };
    let chunk = json!({
        "id": request_id,
        "object": "chat.completion.chunk",
        "model": request.model,
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}],
        "system_fingerprint": fingerprint,
    });
    format!("data: {chunk}\n\n").into_bytes()
}

/// The event that ends a stream.
pub(crate) const END_EVENT: &[u8] = b"data: [DONE]\n\n";
