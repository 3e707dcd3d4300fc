//! `crocustiller requests`: shows the outcome and the log of a request.

use std::path::PathBuf;

use argh::FromArgs;
use serde::Deserialize;

use crate::{
    error::CommandError,
    report::{LogLine, RequestOutcome, RequestTimeline},
    subcommand::{
        common_options::CommonOptions,
        operator_client::OperatorClient,
        process_query::{self, Responses},
        table::Table,
    },
    verdict::Verdict,
};

/// Shows the outcome or the log of a request.
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
    Explain(ExplainRequest),
}

/// Prints the log lines of a request in chronological order, after the state of the processes
/// before it.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct ExplainRequest {
    /// id of the request
    #[argh(positional)]
    id: String,
    /// log files of the entry hosts and other processes
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Looks up recent requests by request id or idempotency key at every entry host.
#[derive(FromArgs)]
#[argh(subcommand, name = "lookup")]
struct LookUpRequest {
    /// request id or idempotency key
    #[argh(positional)]
    id_or_key: String,
}

/// The response to `GET /v1/requests/<id>`.
#[derive(Debug, Deserialize)]
struct RequestList {
    requests: Vec<RequestOutcome>,
}

impl RequestsCommand {
    /// Runs the command.
    pub(crate) async fn run(self, options: &CommonOptions) -> Result<(), CommandError> {
        match self.action {
            RequestsAction::Lookup(it) => it.run(&OperatorClient::new(options)?).await,
            RequestsAction::Explain(it) => it.run(options.is_json),
        }
    }
}

impl ExplainRequest {
    fn run(self, is_json: bool) -> Result<(), CommandError> {
        if self.logs.is_empty() {
            let message = "no log files given; add those of the entry hosts after the id";
            return Err(CommandError::Usage(message.to_owned()));
        }
        let mut logs = Vec::new();
        for path in self.logs {
            let text = std::fs::read(&path).map_err(|err| CommandError::File(path.clone(), err))?;
            let name = path.file_name().map(|it| it.to_string_lossy().into_owned());
            logs.push((name.unwrap_or_default(), String::from_utf8_lossy(&text).into_owned()));
        }
        let timeline = RequestTimeline::read(&self.id, &logs);
        if timeline.lines.is_empty() {
            let message = format!(
                "no log line contains request {}; give the logs of all entry hosts",
                self.id
            );
            return Err(CommandError::Refused(404, message, Verdict::NotRun));
        }
        print_timeline(&timeline, is_json);
        Ok(())
    }
}

fn print_timeline(timeline: &RequestTimeline, is_json: bool) {
    if is_json {
        let line = |it: &LogLine| serde_json::json!({ "time": it.time, "source": it.source, "text": it.text });
        let lines = |it: &[LogLine]| it.iter().map(line).collect::<Vec<serde_json::Value>>();
        let json = serde_json::json!({ "beliefs": lines(&timeline.state_lines), "lines": lines(&timeline.lines) });
        println!("{json}");
        return;
    }
    println!("state of the processes before the request:");
    timeline.state_lines.iter().for_each(print_line);
    println!("log of the request:");
    timeline.lines.iter().for_each(print_line);
}

fn print_line(line: &LogLine) {
    println!("  {} {} {}", line.time, line.source, line.text);
}

impl LookUpRequest {
    async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        let targets = process_query::entry_hosts(client).await?;
        let path = format!("/v1/requests/{}", self.id_or_key);
        let responses: Responses<RequestList> =
            process_query::query_all(client, &targets, &path).await;
        if client.is_json {
            print_json(&responses);
        } else {
            print_text(&responses);
        }
        if responses.by_host.iter().any(|it| !it.1.requests.is_empty()) {
            return Ok(());
        }
        let message = format!(
            "no entry host has a record of {}; each keeps only its latest requests",
            self.id_or_key
        );
        Err(CommandError::Refused(404, message, Verdict::NotRun))
    }
}

fn print_json(responses: &Responses<RequestList>) {
    let host_json = |(host, list): &(String, RequestList)| serde_json::json!({ "entry_host": host, "requests": list.requests });
    let by_host: Vec<_> = responses.by_host.iter().map(host_json).collect();
    println!("{}", serde_json::json!({ "answers": by_host, "missing": responses.missing }));
}

fn print_text(responses: &Responses<RequestList>) {
    let heading =
        ["ENTRY HOST", "REQUEST", "CUSTOMER", "POOL", "HOST", "ANSWERED", "VERDICT", "WAIT"];
    let mut table = Table::new(&heading);
    for (entry_host, list) in &responses.by_host {
        for request in &list.requests {
            table.add(request_row(entry_host, request));
        }
    }
    if responses.by_host.iter().any(|it| !it.1.requests.is_empty()) {
        table.print();
    }
    for missing in &responses.missing {
        println!("missing: {} ({})", missing.host, missing.reason);
    }
}

fn request_row(entry_host: &str, request: &RequestOutcome) -> Vec<String> {
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
