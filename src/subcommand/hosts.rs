//! `crocustiller hosts`: shows hosts and takes them out of service.

use argh::FromArgs;
use http_types::Method;

use crate::{
    error::CommandError,
    ids::HostId,
    membership::{HostRole, HostState, MemberRecord},
    subcommand::{
        operator_client::{OperatorCall, OperatorClient, CALL_TIMEOUT},
        process_query,
        table::Table,
    },
    verdict::Verdict,
};

/// Shows hosts and takes them out of service.
#[derive(FromArgs)]
#[argh(subcommand, name = "hosts")]
pub(crate) struct HostsCommand {
    #[argh(subcommand)]
    action: HostsAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum HostsAction {
    List(ListHosts),
    Leave(LeaveHost),
}

/// Lists the hosts in the membership view of one entry host.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListHosts {}

/// Starts the graceful shutdown of the process on one host.
#[derive(FromArgs)]
#[argh(subcommand, name = "leave")]
struct LeaveHost {
    /// id of the host
    #[argh(positional)]
    host: HostId,
}

impl HostsCommand {
    /// Runs the command.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        match self.action {
            HostsAction::List(_) => list_hosts(client).await,
            HostsAction::Leave(it) => it.run(client).await,
        }
    }
}

impl LeaveHost {
    async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        let members = process_query::members(client).await?;
        let Some(member) = members.iter().find(|it| it.host == self.host) else {
            let message =
                format!("no host {}; `crocustiller hosts list` shows all hosts", self.host);
            return Err(CommandError::Refused(404, message, Verdict::NotRun));
        };
        let call =
            OperatorCall { method: Method::Post, ..OperatorCall::get("/v1/hosts/self/leave") };
        let response = client.send_to(member.operator_address, &call, CALL_TIMEOUT).await?;
        if client.is_json {
            println!("{response}");
        } else {
            println!("host {}: leaving; requests in progress will be completed", self.host);
        }
        Ok(())
    }
}

async fn list_hosts(client: &OperatorClient) -> Result<(), CommandError> {
    let members = process_query::members(client).await?;
    if client.is_json {
        println!("{}", serde_json::json!({ "hosts": members }));
        return Ok(());
    }
    let heading = ["HOST", "ROLE", "REGION", "ZONE", "STATE", "SWITCH", "LOADED", "OPERATOR"];
    let mut table = Table::new(&heading);
    for member in &members {
        table.add(host_row(member));
    }
    table.print();
    Ok(())
}

fn host_row(member: &MemberRecord) -> Vec<String> {
    let loaded = match member.weights.loaded {
        Some(digest) => digest.to_string()[..12].to_owned(),
        None => "-".to_owned(),
    };
    vec![
        member.host.clone(),
        role_text(&member.role),
        member.region.clone(),
        member.zone.clone(),
        state_text(member.state).to_owned(),
        member.weights.switch_number.to_string(),
        loaded,
        member.operator_address.to_string(),
    ]
}

fn role_text(role: &HostRole) -> String {
    match role {
        HostRole::Entry => "entry".to_owned(),
        HostRole::Engine(pool) => format!("engine:{pool}"),
        HostRole::Service(service) => format!("service:{service}"),
    }
}

fn state_text(state: HostState) -> &'static str {
    match state {
        HostState::Joining => "joining",
        HostState::Live => "live",
        HostState::Suspect => "suspect",
        HostState::Leaving => "leaving",
        HostState::Gone => "gone",
    }
}
