//! Queries to many processes of a deployment at once.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use serde::{de::DeserializeOwned, Deserialize};

use crate::{
    error::CommandError,
    membership::{HostRole, HostState, MemberRecord},
    report::MissingHost,
    subcommand::operator_client::{OperatorCall, OperatorClient},
};

/// Timeout of the query to one of several processes.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// The response to `GET /v1/hosts`.
#[derive(Debug, Deserialize)]
pub(crate) struct HostList {
    /// The hosts in the membership view of the process that responded.
    pub(crate) hosts: Vec<MemberRecord>,
}

/// A process to query.
#[derive(Clone, Debug)]
pub(crate) struct ProcessTarget {
    /// Host id, or the operator address if the id is unknown.
    pub(crate) name: String,
    /// Operator address of the process.
    pub(crate) address: SocketAddr,
}

/// The responses of several processes to one query.
#[derive(Debug)]
pub(crate) struct Responses<T> {
    /// Responses with the names of their hosts.
    pub(crate) by_host: Vec<(String, T)>,
    /// Hosts that did not respond.
    pub(crate) missing: Vec<MissingHost>,
}

/// Returns the membership view of the first entry host that responds.
pub(crate) async fn members(client: &OperatorClient) -> Result<Vec<MemberRecord>, CommandError> {
    Ok(client.read::<HostList>("/v1/hosts").await?.hosts)
}

/// Returns all entry hosts: those in the membership and those that the operator gave.
pub(crate) async fn entry_hosts(
    client: &OperatorClient,
) -> Result<Vec<ProcessTarget>, CommandError> {
    let members = members(client).await?;
    let is_queried = |it: &&MemberRecord| it.role == HostRole::Entry && it.state != HostState::Gone;
    let mut targets: Vec<ProcessTarget> =
        members.iter().filter(is_queried).map(process_target).collect();
    for address in client.entry_hosts() {
        if !targets.iter().any(|it| it.address == *address) {
            targets.push(ProcessTarget { name: address.to_string(), address: *address });
        }
    }
    Ok(targets)
}

/// Returns the query target of a member.
pub(crate) fn process_target(member: &MemberRecord) -> ProcessTarget {
    ProcessTarget { name: member.host.clone(), address: member.operator_address }
}

/// Sends `GET path` to all targets concurrently and collects the responses and failures.
pub(crate) async fn query_all<T: DeserializeOwned>(
    client: &OperatorClient,
    targets: &[ProcessTarget],
    path: &str,
) -> Responses<T> {
    let call = OperatorCall::get(path);
    let results = join_all(targets.iter().map(|it| query_one(client, it, &call))).await;
    let mut responses = Responses { by_host: Vec::new(), missing: Vec::new() };
    for (target, res) in targets.iter().zip(results) {
        match res {
            Ok(response) => responses.by_host.push((target.name.clone(), response)),
            Err(err) => {
                let (host, reason) = (target.name.clone(), reason_of(&err));
                responses.missing.push(MissingHost { host, reason });
            }
        }
    }
    responses
}

async fn query_one<T: DeserializeOwned>(
    client: &OperatorClient,
    target: &ProcessTarget,
    call: &OperatorCall,
) -> Result<T, CommandError> {
    let value = client.send_to(target.address, call, QUERY_TIMEOUT).await?;
    serde_json::from_value(value).map_err(|err| CommandError::InvalidResponse(err.to_string()))
}

fn reason_of(err: &CommandError) -> String {
    match err {
        CommandError::Unreachable(attempts) => {
            attempts.first().map_or_else(String::new, |it| it.reason.clone())
        }
        err => err.to_string(),
    }
}
