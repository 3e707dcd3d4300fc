//! `crocustiller charter`: shows, patches and checks the charter.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use http_types::Method;
use serde_json::Value;

use crate::{
    charter::CharterStatus,
    error::CommandError,
    ids::{DocumentNumber, PatchId},
    subcommand::{
        charter_check::CheckCharter,
        common_options::CommonOptions,
        operator_client::{OperatorCall, OperatorClient},
    },
    verdict::Verdict,
};

/// Shows, patches and checks the charter.
#[derive(FromArgs)]
#[argh(subcommand, name = "charter")]
pub(crate) struct CharterCommand {
    #[argh(subcommand)]
    action: CharterAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum CharterAction {
    Show(ShowCharter),
    Patch(PatchCharter),
    Status(CharterOrPatchStatus),
    History(CharterHistory),
    Check(CheckCharter),
}

/// Prints the charter in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowCharter {}

/// Patches the charter with a JSON merge patch.
#[derive(FromArgs)]
#[argh(subcommand, name = "patch")]
struct PatchCharter {
    /// file with the patch; - reads standard input
    #[argh(positional)]
    file: PathBuf,
    /// number of the charter to which the patch applies; 0 creates the first charter
    #[argh(option)]
    base: DocumentNumber,
    /// id of the patch, for `charter status`; random if not given
    #[argh(option)]
    id: Option<PatchId>,
}

/// Shows on how many hosts the charter is in force, or whether a patch was accepted.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct CharterOrPatchStatus {
    /// id of a patch; if not given, shows on how many hosts the charter is in force
    #[argh(positional)]
    id: Option<PatchId>,
}

/// Lists the latest accepted patches, oldest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct CharterHistory {}

impl CharterCommand {
    /// Runs the command.
    pub(crate) async fn run(self, options: &CommonOptions) -> Result<(), CommandError> {
        let client = || OperatorClient::new(options);
        match self.action {
            CharterAction::Show(_) => show_charter(&client()?).await,
            CharterAction::Patch(it) => it.run(&client()?).await,
            CharterAction::Status(it) => it.run(&client()?).await,
            CharterAction::History(_) => show_history(&client()?).await,
            CharterAction::Check(it) => it.run(options.is_json),
        }
    }
}

impl PatchCharter {
    async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        let body = read_patch(&self.file)?;
        let id = self.id.unwrap_or_else(|| uuid::Uuid::now_v7().to_string());
        let call = OperatorCall {
            method: Method::Patch,
            path: "/v1/charter".to_owned(),
            headers: vec![
                ("If-Match", self.base.to_string()),
                ("Idempotency-Key", id.clone()),
                ("Content-Type", "application/merge-patch+json".to_owned()),
            ],
            body,
        };
        match client.send(&call).await {
            Err(
                err @ (CommandError::ResponseLost(_)
                | CommandError::Refused(.., Verdict::MayHaveRun)),
            ) => {
                eprintln!("Check the patch with `crocustiller charter status {id}`.");
                Err(err)
            }
            res => print_patch_state(client, &res?),
        }
    }
}

impl CharterOrPatchStatus {
    async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        let Some(id) = self.id else { return show_status(client).await };
        let path = format!("/v1/charter/patches/{id}");
        print_patch_state(client, &client.send(&OperatorCall::get(&path)).await?)
    }
}

async fn show_charter(client: &OperatorClient) -> Result<(), CommandError> {
    let charter = client.send(&OperatorCall::get("/v1/charter")).await?;
    println!("{charter:#}");
    Ok(())
}

async fn show_status(client: &OperatorClient) -> Result<(), CommandError> {
    let status: CharterStatus = client.read("/v1/charter/status").await?;
    if client.is_json {
        println!("{}", serde_json::json!(status));
        return Ok(());
    }
    println!(
        "charter {}: in force on {} of {} hosts",
        status.number, status.n_in_force, status.n_hosts
    );
    for behind in &status.behind {
        println!("  behind: {} at {}", behind.host, behind.charter_number);
    }
    for host in &status.silent {
        println!("  silent entry host: {host}; its reports may be missing");
    }
    Ok(())
}

async fn show_history(client: &OperatorClient) -> Result<(), CommandError> {
    let charter = client.send(&OperatorCall::get("/v1/charter")).await?;
    let patches = &charter["recent_patches"];
    if client.is_json {
        println!("{patches}");
        return Ok(());
    }
    for patch in patches.as_array().into_iter().flatten() {
        println!("{:>8}  {}", patch["number"], str_or_empty(&patch["id"]));
    }
    Ok(())
}

fn print_patch_state(client: &OperatorClient, state: &Value) -> Result<(), CommandError> {
    if client.is_json {
        println!("{state}");
        return Ok(());
    }
    let id = str_or_empty(&state["id"]);
    match state["number"].as_u64() {
        Some(number) => {
            println!("patch {id}: {} as charter {number}", str_or_empty(&state["state"]))
        }
        None => println!("patch {id}: {}", str_or_empty(&state["state"])),
    }
    Ok(())
}

fn str_or_empty(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

/// Reads the patch from a file, or from standard input for `-`; fails unless it is a JSON object.
fn read_patch(path: &Path) -> Result<Vec<u8>, CommandError> {
    let res = match path.to_str() {
        Some("-") => std::io::read_to_string(std::io::stdin()),
        _ => std::fs::read_to_string(path),
    };
    let text = res.map_err(|err| CommandError::File(path.to_owned(), err))?;
    match serde_json::from_str(&text) {
        Ok(Value::Object(_)) => Ok(text.into_bytes()),
        Ok(_) => Err(invalid_patch(path, "not a JSON object")),
        Err(err) => Err(invalid_patch(path, &err.to_string())),
    }
}

fn invalid_patch(path: &Path, reason: &str) -> CommandError {
    let path = path.display();
    CommandError::Usage(format!("{path}: {reason}; write a JSON merge patch (RFC 7396)"))
}
