//! Options that every command takes.

use std::{env, net::SocketAddr, path::PathBuf};

use crate::error::CommandError;

/// Environment variable with the addresses of entry hosts.
const ENTRY_VARIABLE: &str = "CROCUSTILLER_ENTRY";
/// Environment variable with the operator token.
const TOKEN_VARIABLE: &str = "CROCUSTILLER_TOKEN";

/// Where to send an order, as whom, and how to print the answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct CommonOptions {
    entry: Option<String>,
    token_file: Option<PathBuf>,
    /// Print JSON.
    pub(crate) is_json: bool,
}

impl CommonOptions {
    /// Takes the common options out of `args`, wherever they stand.
    pub(crate) fn extract(args: Vec<String>) -> Result<(Vec<String>, CommonOptions), CommandError> {
        let mut remaining = Vec::new();
        let mut options = CommonOptions::default();
        let mut args = args.into_iter();
        while let Some(arg) = args.next() {
            match arg.as_str() {
                "--json" => options.is_json = true,
                "--entry" => options.entry = Some(required_value("--entry", args.next())?),
                "--token-file" => {
                    options.token_file = Some(required_value("--token-file", args.next())?.into());
                }
                _ => remaining.push(arg),
            }
        }
        Ok((remaining, options))
    }

    /// Operator addresses of entry hosts, in the order in which they are tried.
    pub(crate) fn entry_hosts(&self) -> Result<Vec<SocketAddr>, CommandError> {
        let text = self.entry.clone().or_else(|| env::var(ENTRY_VARIABLE).ok());
        let Some(text) = text else {
            let message =
                format!("no entry host named; give --entry ADDR[,ADDR] or set {ENTRY_VARIABLE}");
            return Err(CommandError::Usage(message));
        };
        text.split(',').map(|it| parse_address(it.trim())).collect()
    }

    /// The operator token.
    pub(crate) fn token(&self) -> Result<String, CommandError> {
        if let Some(path) = &self.token_file {
            let text = std::fs::read_to_string(path)
                .map_err(|err| CommandError::File(path.clone(), err))?;
            return Ok(text.trim().to_owned());
        }
        env::var(TOKEN_VARIABLE).map_err(|_| {
            let message = format!("no operator token; give --token-file or set {TOKEN_VARIABLE}");
            CommandError::Usage(message)
        })
    }
}

fn required_value(name: &str, value: Option<String>) -> Result<String, CommandError> {
    value.ok_or_else(|| CommandError::Usage(format!("{name} needs a value after it")))
}

fn parse_address(text: &str) -> Result<SocketAddr, CommandError> {
    let message =
        || format!("'{text}' is no operator address; give an IP and port such as 10.0.0.7:9000");
    text.parse().map_err(|_| CommandError::Usage(message()))
}
