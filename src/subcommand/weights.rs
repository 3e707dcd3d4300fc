//! `crocustiller weights`: prepares weights for the origin.

use std::path::PathBuf;

use argh::FromArgs;

use crate::{error::CommandError, ids::VersionId, weights::Manifest};

/// Prepares weights for the origin.
#[derive(FromArgs)]
#[argh(subcommand, name = "weights")]
pub(crate) struct WeightsCommand {
    #[argh(subcommand)]
    action: WeightsAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum WeightsAction {
    Manifest(BuildManifest),
}

/// Prints the manifest of a weights file, which must be stored beside the file at the origin.
#[derive(FromArgs)]
#[argh(subcommand, name = "manifest")]
struct BuildManifest {
    /// file with the weights
    #[argh(positional)]
    file: PathBuf,
    /// version of the weights
    #[argh(option)]
    version: VersionId,
}

impl WeightsCommand {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<(), CommandError> {
        let WeightsAction::Manifest(it) = self.action;
        let bytes = std::fs::read(&it.file).map_err(|err| CommandError::File(it.file, err))?;
        let json = Manifest::build(&it.version, &bytes).to_json();
        println!("{}", String::from_utf8_lossy(&json));
        Ok(())
    }
}
