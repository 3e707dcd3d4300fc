//! `crocustiller requests`: tells what became of a request.

use std::path::PathBuf;

use argh::FromArgs;
use serde::Deserialize;

use crate::{
    error::CommandError,
    report::{LogLine, RequestOutcome, RequestTimeline},
    subcommand::{
        common_options::CommonOptions,
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
    Explain(ExplainRequest),
}

/// Puts what log files tell of a request in order, with the beliefs that were in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct ExplainRequest {
    /// request id
    #[argh(positional)]
    id: String,
    /// log files of the processes
    #[argh(positional)]
    logs: Vec<PathBuf>,
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
            let message = "no log files named; give those of the entry hosts after the id";
            return Err(CommandError::Usage(message.to_owned()));
        }
        let mut logs = Vec::new();
        for path in self.logs {
            let text = std::fs::read(&path).map_err(|err| CommandError::File(path.clone(), err))?;
            let name = path.file_name().map(|it| it.to_string_lossy().into_owned());
            logs.push((name.unwrap_or_default(), String::from_utf8_lossy(&text).into_owned()));
        }
        let story = RequestTimeline::read(&self.id, &logs);
        if story.lines.is_empty() {
            let message = format!("no line names {}; give the logs of all entry hosts", self.id);
            return Err(CommandError::Refused(404, message, Verdict::NotRun));
        }
        print_story(&story, is_json);
        Ok(())
    }
}

fn print_story(story: &RequestTimeline, is_json: bool) {
    if is_json {
        let line = |it: &LogLine| serde_json::json!({ "time": it.time, "source": it.source, "text": it.text });
        let lines = |it: &[LogLine]| it.iter().map(line).collect::<Vec<serde_json::Value>>();
        let json = serde_json::json!({ "beliefs": lines(&story.state_lines), "lines": lines(&story.lines) });
        println!("{json}");
        return;
    }
    println!("what the processes believed before:");
    story.state_lines.iter().for_each(print_line);
    println!("what was done with the request:");
    story.lines.iter().for_each(print_line);
}

fn print_line(line: &LogLine) {
    println!("  {} {} {}", line.time, line.source, line.text);
}

impl LookUpRequest {
    async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        let targets = fleet::entry_hosts(client).await?;
        let path = format!("/v1/requests/{}", self.id_or_key);
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
            self.id_or_key
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
