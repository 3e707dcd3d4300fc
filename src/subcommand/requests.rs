//! `crocustiller requests`: tells what became of a request.

use argh::FromArgs;
use serde::Deserialize;

use crate::{
    error::CommandError,
    report::RequestOutcome,
    subcommand::{
        fleet::{self, Gathered},
        operator_client::OperatorClient,
        table::Table,
    },
    verdict::Verdict,
};

/// Tells what became of a request.
#[derive(FromArgs)]
#[argh(subcommand, name = "requests")]
pub(crate) struct RequestsCommand {
    #[argh(subcommand)]
    action: RequestsAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum RequestsAction {
    Lookup(LookUpRequest),
}

/// Asks every entry host for the latest requests with an id or idempotency key.
#[derive(FromArgs)]
#[argh(subcommand, name = "lookup")]
struct LookUpRequest {
    /// request id or idempotency key
    #[argh(positional)]
    id_or_key: String,
}

/// Answer of `GET /v1/requests/<id>`.
#[derive(Debug, Deserialize)]
struct RequestList {
    requests: Vec<RequestOutcome>,
}

impl RequestsCommand {
    /// Runs the command.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        let RequestsAction::Lookup(it) = self.action;
        let targets = fleet::entry_hosts(client).await?;
        let path = format!("/v1/requests/{}", it.id_or_key);
        let gathered: Gathered<RequestList> = fleet::gather(client, &targets, &path).await;
        if client.is_json {
            print_json(&gathered);
        } else {
            print_text(&gathered);
        }
        if gathered.answers.iter().any(|it| !it.1.requests.is_empty()) {
            return Ok(());
        }
        let message = format!(
            "no entry host remembers {}; each keeps its latest requests only",
            it.id_or_key
        );
        Err(CommandError::Refused(404, message, Verdict::NotRun))
    }
}

fn print_json(gathered: &Gathered<RequestList>) {
    let of_host = |(host, list): &(String, RequestList)| serde_json::json!({ "entry_host": host, "requests": list.requests });
    let answers: Vec<_> = gathered.answers.iter().map(of_host).collect();
    println!("{}", serde_json::json!({ "answers": answers, "missing": gathered.missing }));
}

fn print_text(gathered: &Gathered<RequestList>) {
    let heading =
        ["ENTRY HOST", "REQUEST", "CUSTOMER", "POOL", "HOST", "ANSWERED", "VERDICT", "WAIT"];
    let mut table = Table::new(&heading);
    for (entry_host, list) in &gathered.answers {
        for request in &list.requests {
            table.add(row_of(entry_host, request));
        }
    }
    if gathered.answers.iter().any(|it| !it.1.requests.is_empty()) {
        table.print();
    }
    for missing in &gathered.missing {
        println!("missing: {} ({})", missing.host, missing.reason);
    }
}

fn row_of(entry_host: &str, request: &RequestOutcome) -> Vec<String> {
    vec![
        entry_host.to_owned(),
        request.request_id.clone(),
        request.customer.clone(),
        request.pool.clone(),
        request.host.clone().unwrap_or_else(|| "-".to_owned()),
        if request.is_answered { "yes" } else { "no" }.to_owned(),
        request.verdict.to_string(),
        format!("{} ms", request.wait_ms.as_millis()),
    ]
}
