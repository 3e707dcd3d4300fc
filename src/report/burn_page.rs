//! The burn report as one self-contained HTML page.

use std::fmt::Write;

use crate::report::{
    alert::Alert,
    burn_plot::{self, PALETTE},
    burn_report::{BurnReport, BurnRow},
    level::Level,
    windows::Window,
};

const STYLE: &str = "
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 64rem; padding: 0 1rem;
  color: #1d232b; background: #fff; }
h1 { font-size: 1.5rem; margin-bottom: .25rem; }
h2 { font-size: 1.1rem; margin: 2rem 0 .25rem; }
p { margin: .25rem 0; color: #4a5563; }
table { border-collapse: collapse; width: 100%; margin: 1rem 0; }
th, td { text-align: left; padding: .3rem .7rem; border-bottom: 1px solid #dde2e8; }
th { font-weight: 600; color: #4a5563; }
td.n, th.n { text-align: right; font-variant-numeric: tabular-nums; }
.page { background: #b3261e; color: #fff; padding: 0 .5rem; border-radius: .25rem; }
.ticket { background: #f2c14e; padding: 0 .5rem; border-radius: .25rem; }
.partial { background: #fdf1d6; border-left: .3rem solid #d99a1c; padding: .5rem 1rem; }
.legend span { margin-right: 1.25rem; white-space: nowrap; }
.legend i { display: inline-block; width: .8rem; height: .8rem; border-radius: .15rem;
  margin-right: .35rem; }
svg { width: 100%; height: auto; }
";

/// Returns `report` as an HTML page that refers to no other files.
pub fn burn_page(report: &BurnReport) -> String {
    let mut page = String::new();
    page.push_str("<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n");
    page.push_str("<meta name=\"viewport\" content=\"width=device-width\">\n");
    let _ = write!(page, "<title>Service-level burn</title>\n<style>{STYLE}</style>\n</head>\n");
    page.push_str("<body>\n<h1>Service-level burn</h1>\n");
    push_summary(&mut page, report);
    push_table(&mut page, &report.rows);
    for level in Level::ALL {
        let rows: Vec<&BurnRow> = report.rows.iter().filter(|it| it.level == level).collect();
        if !rows.is_empty() {
            push_plot(&mut page, level, &rows);
        }
    }
    page.push_str("</body>\n</html>\n");
    page
}

fn push_summary(page: &mut String, report: &BurnReport) {
    let text = match report.alert() {
        Alert::Page => "At least one budget burns so fast that it needs attention now.",
        Alert::Ticket => "At least one budget needs attention today.",
        Alert::None => "No alert.",
    };
    let hosts = escape(&report.hosts.join(", "));
    let _ = writeln!(page, "<p>{text}</p>\n<p>Counts from {hosts}.</p>");
    for missing in &report.missing {
        let (host, reason) = (escape(&missing.host), escape(&missing.reason));
        let _ = writeln!(
            page,
            "<p class=\"partial\">Partial report: no counts from <b>{host}</b> ({reason}).</p>"
        );
    }
}

fn push_table(page: &mut String, rows: &[BurnRow]) {
    page.push_str("<table>\n<tr><th>Level</th><th>Customer</th><th class=\"n\">Target</th>");
    for window in Window::ALL {
        let _ = write!(page, "<th class=\"n\">{}</th>", window.as_str());
    }
    page.push_str("<th class=\"n\">Requests, 1 h</th><th>Alert</th></tr>\n");
    for row in rows {
        push_row(page, row);
    }
    page.push_str(
        "</table>\n<p>A burn of 1 uses a budget up exactly. Equal wait shows the ratio of a ",
    );
    page.push_str(
        "customer's mean wait to the shortest at the same weight. Page: burn of 14.4 over ",
    );
    page.push_str(
        "5 min and 1 h. Ticket: burn of 6 over 1 h and 6 h, or the ratio above its limit ",
    );
    page.push_str("over 5 min and 1 h.</p>\n");
}

fn push_row(page: &mut String, row: &BurnRow) {
    let customer = escape(customer_label(row));
    let level = row.level.as_str();
    let _ = write!(page, "<tr><td>{level}</td><td>{customer}</td>");
    let _ = write!(page, "<td class=\"n\">{}</td>", target_label(row));
    for burn in row.burn {
        let text = burn.map_or("–".to_owned(), |it| format!("{it:.2}"));
        let _ = write!(page, "<td class=\"n\">{text}</td>");
    }
    let _ = write!(page, "<td class=\"n\">{}</td>", row.counts[1].total);
    let alert = match row.alert {
        Alert::None => "",
        Alert::Ticket => "<span class=\"ticket\">ticket</span>",
        Alert::Page => "<span class=\"page\">page</span>",
    };
    let _ = writeln!(page, "<td>{alert}</td></tr>");
}

fn push_plot(page: &mut String, level: Level, rows: &[&BurnRow]) {
    let unit = match level {
        Level::EqualWait => "ratio of mean waits, last six hours in steps of five minutes",
        _ => "burn rate, last six hours in steps of five minutes",
    };
    let _ = writeln!(page, "<h2>{}</h2>\n<p>{unit}</p>", level.as_str());
    match burn_plot::draw(level, rows) {
        Ok(svg) => page.push_str(&svg),
        Err(err) => {
            let _ = writeln!(page, "<p>The plot could not be drawn: {}</p>", escape(&err));
        }
    }
    page.push_str("\n<p class=\"legend\">");
    for (idx, row) in rows.iter().enumerate() {
        let (red, green, blue) = PALETTE[idx % PALETTE.len()];
        let customer = escape(customer_label(row));
        let _ = write!(
            page,
            "<span><i style=\"background:rgb({red},{green},{blue})\"></i>{customer}</span>"
        );
    }
    page.push_str("</p>\n");
}

fn customer_label(row: &BurnRow) -> &str {
    row.customer.as_deref().unwrap_or("whole deployment")
}

fn target_label(row: &BurnRow) -> String {
    match row.level {
        Level::EqualWait => format!("ratio ≤ {}", row.target),
        _ => format!("{} %", row.target),
    }
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    text.replace('>', "&gt;").replace('"', "&quot;")
}
