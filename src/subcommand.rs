//! The commands of the command-line tool `crocustiller`.

use std::{ffi::OsString, process::ExitCode};

use argh::FromArgs;

use crate::{
    error::{CommandError, EXIT_USAGE},
    runtime,
    subcommand::{common_options::CommonOptions, operator_client::OperatorClient},
};

mod burn;
mod charter;
mod charter_check;
mod common_options;
mod hosts;
mod operator_client;
mod pools;
mod process_query;
mod quarantine;
mod requests;
mod rollout;
mod rollout_view;
mod table;
mod token;
mod weights;

/// Operates a deployment of crocustiller.
#[derive(FromArgs)]
#[argh(
    note = "These options are allowed anywhere after the command:
  --entry ADDR[,ADDR]  operator addresses of entry hosts, tried in this order
                       (or environment CROCUSTILLER_ENTRY)
  --token-file FILE    file with the operator token
                       (or the token itself in environment CROCUSTILLER_TOKEN)
  --json               print one JSON document",
    error_code(1, "the command was rejected and has not taken effect"),
    error_code(2, "an argument or a file is invalid"),
    error_code(3, "no entry host accepted the command; it has not taken effect"),
    error_code(4, "the command may have taken effect; check before you retry it")
)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Charter(charter::CharterCommand),
    Hosts(hosts::HostsCommand),
    Pools(pools::PoolsCommand),
    Rollout(rollout::RolloutCommand),
    Requests(requests::RequestsCommand),
    Quarantine(quarantine::QuarantineCommand),
    Burn(burn::BurnCommand),
    Token(token::TokenCommand),
    Weights(weights::WeightsCommand),
}

/// Runs the command given by the command-line arguments of the process.
pub fn run() -> ExitCode {
    let (args, options) = match utf8_arguments().and_then(CommonOptions::extract) {
        Ok(split) => split,
        Err(err) => return print_error(&err),
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
            eprintln!("Run `crocustiller --help`, or a command with --help, for the arguments.");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match runtime::run_until(arguments.command.run(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => print_error(&err),
    }
}

/// Returns the command-line arguments without the program name; fails on one that isn't UTF-8.
fn utf8_arguments() -> Result<Vec<String>, CommandError> {
    let to_text = |it: OsString| {
        let message = |it: OsString| {
            format!("argument '{}' is not UTF-8; give it in UTF-8", it.to_string_lossy())
        };
        it.into_string().map_err(|it| CommandError::Usage(message(it)))
    };
    std::env::args_os().skip(1).map(to_text).collect()
}

impl Command {
    async fn run(self, options: CommonOptions) -> Result<(), CommandError> {
        let client = || OperatorClient::new(&options);
        match self {
            Command::Charter(it) => it.run(&options).await,
            Command::Hosts(it) => it.run(&client()?).await,
            Command::Pools(it) => it.run(&client()?).await,
            Command::Rollout(it) => it.run(&client()?).await,
            Command::Requests(it) => it.run(&options).await,
            Command::Quarantine(it) => it.run(&client()?).await,
            Command::Burn(it) => it.run(&client()?).await,
            Command::Token(it) => it.run(&options),
            Command::Weights(it) => it.run(),
        }
    }
}

fn print_error(err: &CommandError) -> ExitCode {
    eprintln!("error: {err}");
    err.exit_code()
}
