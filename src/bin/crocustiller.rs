//! The command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    crocustiller::subcommand::run()
}
