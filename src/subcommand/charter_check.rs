//! `crocustiller charter check`: checks a configuration of the platform before it is sent.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use serde_json::json;

use crate::{
    error::CommandError,
    platform::wire_config,
    routing::{changes_of_charter, find_in_charter, CharterChange, CharterDraft, CharterFinding},
};

/// Checks a configuration of the platform; sends nothing. Exit status 1 if it finds something.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckCharter {
    /// file with the configuration as JSON; - reads standard input
    #[argh(positional)]
    file: PathBuf,
    /// file with the configuration in force, to print what differs
    #[argh(option)]
    against: Option<PathBuf>,
}

impl CheckCharter {
    /// Runs the command.
    pub(crate) fn run(self, is_json: bool) -> Result<(), CommandError> {
        let draft = read_draft(&self.file)?;
        let in_force = self.against.as_deref().map(read_draft).transpose()?;
        let findings = find_in_charter(&draft, in_force.as_ref());
        let changes = in_force.map(|it| changes_of_charter(&draft, &it));
        match is_json {
            true => print_json(&findings, changes.as_deref()),
            false => print_text(&findings, changes.as_deref()),
        }
        match findings.len() {
            0 => Ok(()),
            n_findings => Err(CommandError::Findings(n_findings)),
        }
    }
}

fn print_text(findings: &[CharterFinding], changes: Option<&[CharterChange]>) {
    for finding in findings {
        println!("finding: {finding}");
    }
    for change in changes.unwrap_or_default() {
        println!("differs: {change}");
    }
    if findings.is_empty() {
        println!("no findings");
    }
}

fn print_json(findings: &[CharterFinding], changes: Option<&[CharterChange]>) {
    println!("{}", json!({ "findings": findings, "changes": changes }));
}

/// Reads a configuration from a file, or from standard input for `-`.
fn read_draft(path: &Path) -> Result<CharterDraft, CommandError> {
    let res = match path.to_str() {
        Some("-") => std::io::read_to_string(std::io::stdin()),
        _ => std::fs::read_to_string(path),
    };
    let text = res.map_err(|err| CommandError::File(path.to_owned(), err))?;
    let invalid = |err: serde_json::Error| {
        let path = path.display();
        CommandError::Usage(format!("{path}: {err}; write a configuration as the store has it"))
    };
    let spec = serde_json::from_str(&text).map_err(invalid)?;
    wire_config::decode_draft(&spec).map_err(invalid)
}
