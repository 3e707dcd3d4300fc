//! Text of an answer, which follows from the prompt.

use serde::Deserialize;
use serde_json::{json, Value};

/// Tokens of an answer when the request names no number.
const DEFAULT_TOKENS: usize = 16;

/// The part of a chat request that the engine reads.
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

/// The whole text that an engine answers to `prompt` with `n_tokens` tokens.
pub fn expected_answer(prompt: &str, n_tokens: usize) -> String {
    (0..n_tokens).map(|idx| token(prompt, idx)).collect()
}

/// Token number `idx` of the answer to `prompt`.
pub(crate) fn token(prompt: &str, idx: usize) -> String {
    let hash = blake3::hash(prompt.as_bytes()).to_hex();
    let start = idx * 4 % 60;
    format!("{}-{idx} ", &hash[start..start + 4])
}

/// A whole answer.
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

/// One server-sent event with the next token.
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
