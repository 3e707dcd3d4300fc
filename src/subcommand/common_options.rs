//! Options that are common to all commands.

use std::{env, net::SocketAddr, path::PathBuf};

use crate::error::CommandError;

/// Environment variable with the operator addresses of entry hosts.
const ENTRY_VARIABLE: &str = "CROCUSTILLER_ENTRY";
/// Environment variable with the operator token.
const TOKEN_VARIABLE: &str = "CROCUSTILLER_TOKEN";

/// Common options: the entry hosts to call, the operator token and the output format.
#[derive(Clone, Debug, Default)]
pub(crate) struct CommonOptions {
    entry: Option<String>,
    token_file: Option<PathBuf>,
    /// Whether to print JSON.
    pub(crate) is_json: bool,
}

impl CommonOptions {
    /// Extracts the common options from any position in `args`; returns the other arguments too.
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

    /// Returns the operator addresses of entry hosts, in the order in which they are tried.
    ///
    /// They are taken from `--entry`, else from the environment.
    pub(crate) fn entry_hosts(&self) -> Result<Vec<SocketAddr>, CommandError> {
        let text = self.entry.clone().or_else(|| env::var(ENTRY_VARIABLE).ok());
        let Some(text) = text else {
            let message =
                format!("no entry host given; use --entry ADDR[,ADDR] or set {ENTRY_VARIABLE}");
            return Err(CommandError::Usage(message));
        };
        text.split(',').map(|it| parse_address(it.trim())).collect()
    }

    /// Returns the operator token from the file of `--token-file`, else from the environment.
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
    value.ok_or_else(|| CommandError::Usage(format!("{name} needs a value")))
}

fn parse_address(text: &str) -> Result<SocketAddr, CommandError> {
    let message = || {
        format!("'{text}' is not an operator address; give an IP and port such as 10.0.0.7:9000")
    };
    text.parse().map_err(|_| CommandError::Usage(message()))
}
