//! `crocustiller burn`: reports the burn rates of error budgets.

use std::path::PathBuf;

use argh::FromArgs;

use crate::{
    error::CommandError,
    report::{burn_page, BurnCounts, BurnReport, BurnRow, Level, Window},
    subcommand::{
        operator_client::OperatorClient,
        process_query::{self, Responses},
        table::Table,
    },
};

/// Reports the burn rates of error budgets over 5 min, 1 h and 6 h.
///
/// At a burn rate of 1, the error budget is used up exactly.
#[derive(FromArgs)]
#[argh(subcommand, name = "burn")]
pub(crate) struct BurnCommand {
    /// also write the report to this file as an HTML page
    #[argh(option)]
    html: Option<PathBuf>,
}

impl BurnCommand {
    /// Runs the command.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        let targets = process_query::entry_hosts(client).await?;
        let responses: Responses<BurnCounts> =
            process_query::query_all(client, &targets, "/v1/burn").await;
        let counts: Vec<BurnCounts> = responses.by_host.into_iter().map(|it| it.1).collect();
        let report = BurnReport::new(&counts, responses.missing);
        if let Some(path) = self.html {
            std::fs::write(&path, burn_page(&report))
                .map_err(|err| CommandError::File(path.clone(), err))?;
        }
        if client.is_json {
            println!("{}", serde_json::json!(report));
        } else {
            print_report(&report);
        }
        Ok(())
    }
}

fn print_report(report: &BurnReport) {
    let [short, middle, long] = Window::ALL.map(Window::as_str);
    let mut table =
        Table::new(&["LEVEL", "CUSTOMER", "TARGET", short, middle, long, "REQUESTS 1 h", "ALERT"]);
    for row in &report.rows {
        table.add(burn_row(row));
    }
    table.print();
    println!("from {} entry hosts: {}", report.hosts.len(), report.hosts.join(", "));
    for missing in &report.missing {
        println!("PARTIAL: no counts from {} ({})", missing.host, missing.reason);
    }
}

fn burn_row(row: &BurnRow) -> Vec<String> {
    let target = match row.level {
        Level::EqualWait => format!("ratio {}", row.target),
        _ => format!("{} %", row.target),
    };
    let burn = row.burn.map(|it| it.map_or("-".to_owned(), |it| format!("{it:.2}")));
    let [short, middle, long] = burn;
    vec![
        row.level.as_str().to_owned(),
        row.customer.clone().unwrap_or_else(|| "(deployment)".to_owned()),
        target,
        short,
        middle,
        long,
        row.counts[1].total.to_string(),
        row.alert.as_str().to_owned(),
    ]
}
