//! Asks many processes of a deployment at once.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use serde::{de::DeserializeOwned, Deserialize};

use crate::{
    error::CommandError,
    membership::{HostRole, HostState, MemberRecord},
    report::MissingHost,
    subcommand::operator_client::{OperatorClient, Order},
};

/// Time limit for one process among many.
const GATHER_TIMEOUT: Duration = Duration::from_secs(5);

/// Answer of `GET /v1/hosts`.
#[derive(Debug, Deserialize)]
pub(crate) struct HostList {
    /// The membership view of the asked process.
    pub(crate) hosts: Vec<MemberRecord>,
}

/// A process that can be asked.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Host id, or the address where the id is unknown.
    pub(crate) name: String,
    /// Operator address.
    pub(crate) address: SocketAddr,
}

/// Answers of many processes.
#[derive(Debug)]
pub(crate) struct Gathered<T> {
    /// Answers with the names of the hosts.
    pub(crate) answers: Vec<(String, T)>,
    /// Hosts that did not answer.
    pub(crate) missing: Vec<MissingHost>,
}

/// The membership as the first entry host that answers knows it.
pub(crate) async fn members(client: &OperatorClient) -> Result<Vec<MemberRecord>, CommandError> {
    Ok(client.read::<HostList>("/v1/hosts").await?.hosts)
}

/// All entry hosts: those in the membership and those that the operator named.
pub(crate) async fn entry_hosts(client: &OperatorClient) -> Result<Vec<Target>, CommandError> {
    let members = members(client).await?;
    let is_asked = |it: &&MemberRecord| it.role == HostRole::Entry && it.state != HostState::Gone;
    let mut targets: Vec<Target> = members.iter().filter(is_asked).map(target_of).collect();
    for address in client.entry_hosts() {
        if !targets.iter().any(|it| it.address == *address) {
            targets.push(Target { name: address.to_string(), address: *address });
        }
    }
    Ok(targets)
}

/// The operator address of a member.
pub(crate) fn target_of(member: &MemberRecord) -> Target {
    Target { name: member.host.clone(), address: member.operator_address }
}

/// Reads `path` at every target at once.
pub(crate) async fn gather<T: DeserializeOwned>(
    client: &OperatorClient,
    targets: &[Target],
    path: &str,
) -> Gathered<T> {
    let order = Order::get(path);
    let results = join_all(targets.iter().map(|it| read_one(client, it, &order))).await;
    let mut gathered = Gathered { answers: Vec::new(), missing: Vec::new() };
    for (target, res) in targets.iter().zip(results) {
        match res {
            Ok(answer) => gathered.answers.push((target.name.clone(), answer)),
            Err(err) => {
                let (host, reason) = (target.name.clone(), reason_of(&err));
                gathered.missing.push(MissingHost { host, reason });
            }
        }
    }
    gathered
}

async fn read_one<T: DeserializeOwned>(
    client: &OperatorClient,
    target: &Target,
    order: &Order,
) -> Result<T, CommandError> {
    let value = client.send_to(target.address, order, GATHER_TIMEOUT).await?;
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
