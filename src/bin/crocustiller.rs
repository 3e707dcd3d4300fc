//! The command-line tool, with which operators control a deployment.

use std::process::ExitCode;

fn main() -> ExitCode {
    crocustiller::subcommand::run()
}
