//! `crocustiller quarantine`: lists and clears fingerprints in quarantine.

use argh::FromArgs;
use http_types::Method;

use crate::{
    error::CommandError,
    request::{Quarantine, QuarantineStatus},
    subcommand::{
        operator_client::{OperatorCall, OperatorClient},
        table::Table,
    },
};

/// Lists and clears fingerprints of requests that are rejected because they crash backend servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub(crate) struct QuarantineCommand {
    #[argh(subcommand)]
    action: QuarantineAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum QuarantineAction {
    List(ListQuarantine),
    Clear(ClearQuarantine),
}

/// Lists the fingerprints in quarantine with their status and the hosts that crashed.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListQuarantine {}

/// Removes a fingerprint from quarantine, so that its requests are accepted again.
#[derive(FromArgs)]
#[argh(subcommand, name = "clear")]
struct ClearQuarantine {
    /// fingerprint, as `quarantine list` prints it
    #[argh(positional)]
    fingerprint: String,
}

impl QuarantineCommand {
    /// Runs the command.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        match self.action {
            QuarantineAction::List(_) => list_entries(client).await,
            QuarantineAction::Clear(it) => it.run(client).await,
        }
    }
}

impl ClearQuarantine {
    async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        let path = format!("/v1/quarantine/{}", self.fingerprint);
        let call = OperatorCall { method: Method::Delete, ..OperatorCall::get(&path) };
        let response = client.send(&call).await?;
        if client.is_json {
            println!("{response}");
        } else {
            println!("fingerprint {}: cleared", self.fingerprint);
        }
        Ok(())
    }
}

async fn list_entries(client: &OperatorClient) -> Result<(), CommandError> {
    let quarantine: Quarantine = client.read("/v1/quarantine").await?;
    if client.is_json {
        println!("{}", serde_json::json!(quarantine));
        return Ok(());
    }
    let mut table = Table::new(&["FINGERPRINT", "STANDING", "CRASHED HOSTS"]);
    for entry in &quarantine.entries {
        let status = match quarantine.status_of(&entry.fingerprint) {
            QuarantineStatus::Clear => "clear",
            QuarantineStatus::Suspect => "suspect, runs alone",
            QuarantineStatus::Refused => "refused",
        };
        table.add(vec![entry.fingerprint.to_string(), status.to_owned(), entry.hosts.join(", ")]);
    }
    table.print();
    Ok(())
}
