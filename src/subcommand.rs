//! The commands of the tool `crocustiller`.

use std::process::ExitCode;

use argh::FromArgs;

use crate::{
    error::{CommandError, EXIT_USAGE},
    subcommand::{common_options::CommonOptions, operator_client::OperatorClient},
};

mod charter;
mod common_options;
mod operator_client;
mod token;
mod weights;

/// Operates a deployment of crocustiller.
#[derive(FromArgs)]
#[argh(
    note = "These options may stand anywhere after the command's name:
  --entry ADDR[,ADDR]  operator addresses of entry hosts, tried in turn
                       (or environment CROCUSTILLER_ENTRY)
  --token-file FILE    file with the operator token
                       (or the token itself in environment CROCUSTILLER_TOKEN)
  --json               print one JSON document",
    error_code(1, "the order was refused and has not taken effect"),
    error_code(2, "an argument or a file is wrong"),
    error_code(3, "no entry host answered; the order has not taken effect"),
    error_code(4, "the order may have taken effect; look it up")
)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Charter(charter::CharterCommand),
    Token(token::TokenCommand),
    Weights(weights::WeightsCommand),
}

/// Runs the command that the process's arguments name.
pub fn run() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (args, options) = match CommonOptions::split(args) {
        Ok(split) => split,
        Err(err) => return report(&err),
    };
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["crocustiller"], &args) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{}", exit.output.trim_end());
            eprintln!("Run `crocustiller --help`, or a command with --help, for its arguments.");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match arguments.command.run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => report(&err),
    }
}

impl Command {
    fn run(self, options: CommonOptions) -> Result<(), CommandError> {
        match self {
            Command::Charter(it) => it.run(&OperatorClient::new(options)?),
            Command::Token(it) => it.run(&options),
            Command::Weights(it) => it.run(),
        }
    }
}

fn report(err: &CommandError) -> ExitCode {
    eprintln!("error: {err}");
    err.exit_code()
}
