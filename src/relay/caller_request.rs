//! The parts of a caller's request head that the system uses.

use std::time::Duration;

use crate::{ids::RequestId, placement::PartDigest};

/// The information in a caller's request head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id that the caller assigned to this attempt.
    pub id: RequestId,
    /// Host name that the caller requested, with or without a port.
    pub host: String,
    /// Key that identifies the customer.
    pub key: Option<String>,
    /// Time for which the caller waits for the response.
    pub time_left: Option<Duration>,
    /// Requested model.
    pub model: Option<String>,
    /// Sizes of the prompt and the output.
    pub sizes: PromptSizes,
    /// Parts of the prompt that other requests may share, without the last one, which is its own.
    pub prompt_parts: Vec<PartDigest>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<String>,
}

/// The sizes of the prompt and the output in tokens; 0 where unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptSizes {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the output.
    pub max_output_tokens: u32,
    /// Number of tokens of the output that the caller expects.
    pub estimated_output_tokens: u32,
}

impl PromptSizes {
    /// Returns the number of output tokens that the caller expects, or else the maximum.
    pub fn output_tokens(&self) -> u32 {
        match self.estimated_output_tokens {
            0 => self.max_output_tokens,
            n => n,
        }
    }
}
