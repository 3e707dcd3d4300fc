//! Errors of the command-line tool and their exit codes.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use quick_error::quick_error;

use crate::verdict::Verdict;

quick_error! {
    /// An error of a command.
    #[derive(Debug)]
    pub enum CommandError {
        /// An argument is missing or invalid.
        Usage(message: String) {
            display("{message}")
        }
        /// A file could not be read or written.
        File(path: PathBuf, err: std::io::Error) {
            source(err)
            display("{}: {err}; check the path and its permissions", path.display())
        }
        /// A check found something; it was printed.
        Findings(n_findings: usize) {
            display("findings: {n_findings}; nothing was sent")
        }
        /// No entry host accepted the command, so it was not run.
        Unreachable(attempts: Vec<FailedAttempt>) {
            display("no entry host accepted the command; give other addresses with --entry, or retry later{}", format_attempts(attempts))
        }
        /// The response was lost, so the command may have been run.
        ResponseLost(reason: String) {
            display("{reason}; the command may have taken effect, check the current state before you retry it")
        }
        /// An entry host refused the command.
        Refused(status: u16, message: String, verdict: Verdict) {
            display("{message} (status {status}, {verdict})")
        }
        /// This release could not decode the response of an entry host.
        InvalidResponse(message: String) {
            display("invalid response: {message}; use the same release as the hosts")
        }
    }
}

/// A failed attempt to send a command to one entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The operator address of the entry host.
    pub address: SocketAddr,
    /// The reason of the failure.
    pub reason: String,
}

/// Exit code if a command was refused, the response was invalid or a check found something.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code if arguments, settings or files are invalid.
pub const EXIT_USAGE: u8 = 2;
/// Exit code if no entry host accepted a command and it was not run.
pub const EXIT_UNREACHABLE: u8 = 3;
/// Exit code if a command may have taken effect.
pub const EXIT_MAY_HAVE_RUN: u8 = 4;

impl CommandError {
    /// Returns the exit code of the tool for this error.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Usage(_) | CommandError::File(..) => EXIT_USAGE,
            CommandError::Unreachable(..) => EXIT_UNREACHABLE,
            CommandError::ResponseLost(_) | CommandError::Refused(_, _, Verdict::MayHaveRun) => {
                EXIT_MAY_HAVE_RUN
            }
            CommandError::Findings(_)
            | CommandError::Refused(..)
            | CommandError::InvalidResponse(_) => EXIT_REFUSED,
        })
    }
}

fn format_attempts(attempts: &[FailedAttempt]) -> String {
    attempts.iter().map(|it| format!("\n  {}: {}", it.address, it.reason)).collect()
}
