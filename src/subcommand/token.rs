//! `crocustiller token`: computes digests of bearer tokens.

use argh::FromArgs;

use crate::{digest::Digest, error::CommandError, subcommand::common_options::CommonOptions};

/// Computes digests of bearer tokens.
#[derive(FromArgs)]
#[argh(subcommand, name = "token")]
pub(crate) struct TokenCommand {
    #[argh(subcommand)]
    action: TokenAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum TokenAction {
    Digest(TokenDigest),
}

/// Prints the digest of the token in --token-file, for use in settings and charters.
#[derive(FromArgs)]
#[argh(subcommand, name = "digest")]
struct TokenDigest {}

impl TokenCommand {
    /// Runs the command.
    pub(crate) fn run(self, options: &CommonOptions) -> Result<(), CommandError> {
        let TokenAction::Digest(_) = self.action;
        println!("{}", Digest::of(options.token()?.as_bytes()));
        Ok(())
    }
}
