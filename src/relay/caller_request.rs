//! What the system goes by in a caller's request.

use std::time::Duration;

use crate::ids::RequestId;

/// A caller's request, without its bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id that the caller gave this attempt.
    pub id: RequestId,
    /// Host name, with or without a port.
    pub host: String,
    /// Key of a customer.
    pub key: Option<String>,
    /// Time that the caller will wait.
    pub time_left: Option<Duration>,
    /// Model that is asked for.
    pub model: Option<String>,
    /// Sizes of the prompt and the output.
    pub sizes: PromptSizes,
    /// Id of the last event that the caller has, when a stream is to go on.
    pub last_event: Option<String>,
}

/// Sizes of a generation, in tokens; 0 where unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptSizes {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the output.
    pub max_output_tokens: u32,
    /// The caller's guess of the output.
    pub guessed_output_tokens: u32,
}
