//! Errors of the command-line tool, with the exit code that each one gives.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use quick_error::quick_error;

use crate::verdict::Verdict;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// An argument is missing or wrong.
        Usage(message: String) {
            display("{message}")
        }
        /// A file can't be read or written.
        File(path: PathBuf, err: std::io::Error) {
            source(err)
            display("{}: {err}; check the path and its permissions", path.display())
        }
        /// No entry host answered.
        Unreachable(attempts: Vec<FailedAttempt>) {
            display("no entry host took the order; name others with --entry, or send it again later{}", format_attempts(attempts))
        }
        /// The answer to an order was lost.
        ResponseLost(reason: String) {
            display("{reason}; the order may have taken effect, look before you send it again")
        }
        /// An entry host refused the order.
        Refused(status: u16, message: String, verdict: Verdict) {
            display("{message} (status {status}, {verdict})")
        }
        /// An entry host sent what this release can't read.
        InvalidResponse(message: String) {
            display("the answer can't be read: {message}; use the release that the hosts run")
        }
    }
}

/// Why one process did not take an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Operator address of the process.
    pub address: SocketAddr,
    /// What went wrong.
    pub reason: String,
}

/// Exit code for an order that was refused.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code for wrong arguments or settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit code when no entry host answered and the order was not run.
pub const EXIT_UNREACHABLE: u8 = 3;
/// Exit code for an order that may have taken effect.
pub const EXIT_MAY_HAVE_RUN: u8 = 4;

impl CommandError {
    /// The exit code of the tool.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Usage(_) | CommandError::File(..) => EXIT_USAGE,
            CommandError::Unreachable(..) => EXIT_UNREACHABLE,
            CommandError::ResponseLost(_) | CommandError::Refused(_, _, Verdict::MayHaveRun) => {
                EXIT_MAY_HAVE_RUN
            }
            CommandError::Refused(..) | CommandError::InvalidResponse(_) => EXIT_REFUSED,
        })
    }
}

fn format_attempts(attempts: &[FailedAttempt]) -> String {
    attempts.iter().map(|it| format!("\n  {}: {}", it.address, it.reason)).collect()
}
