//! The verdict on a request, which tells the caller whether it may retry the request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran at a backend server.
///
/// Error responses contain it, so that a caller retries a failed request only if that is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request can have reached a backend server, or the slot refused the request.
    NotRun,
    /// The request ran to its end.
    Ran,
    /// The request may have run; only an idempotent request may be retried.
    MayHaveRun,
}

impl Verdict {
    /// Returns the text used in headers, JSON and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::Ran => "ran",
            Verdict::MayHaveRun => "may-have-run",
        }
    }

    /// Parses the text of a header; an unknown text counts as `MayHaveRun`.
    pub fn from_header(text: &str) -> Verdict {
        match text {
            "not-run" => Verdict::NotRun,
            "ran" => Verdict::Ran,
            _ => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
