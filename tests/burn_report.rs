//! The burn report: burn rates of error budgets, alerts over two windows, and partial reports.

use std::time::Duration;

use crocustiller::{
    charter::Charter,
    report::{
        burn_page, Alert, BurnCounts, BurnReport, BurnRow, Level, LevelCounters, MissingHost,
        RequestOutcome,
    },
    verdict::Verdict,
};

/// The time of the last request, six hours after the start.
const NOW: Duration = Duration::from_secs(6 * 3600);

#[test]
fn burn_rate() {
    // 2 of 1000 requests unanswered, with an error budget of 0.1 %, give a burn rate of 2.
    let mut host = Host::new("entry-1");
    host.record_answered(NOW, "weavers", 998);
    host.record_unanswered(NOW, "weavers", 2);
    let report = report(&[host]);
    let burn = row(&report, Level::Answered, "weavers").burn;
    assert!(burn.iter().all(|it| (it.unwrap() - 2.0).abs() < 1e-6), "{burn:?}");
}

#[test]
fn alerts_need_two_windows() {
    let cases = [
        // (percentages of unanswered requests 5 h ago, 30 min ago and now; expected alert)
        ([0, 0, 0], Alert::None),
        ([0, 0, 100], Alert::None),
        ([0, 100, 100], Alert::Page),
        ([0, 100, 0], Alert::Ticket),
        ([50, 10, 0], Alert::Ticket),
        ([100, 0, 0], Alert::None),
    ];
    for (unanswered, expected) in cases {
        check_alert(unanswered, expected);
    }
}

/// A few failures among few requests must not alert an operator: 19 raise no alert, 20 do.
#[test]
fn few_requests_raise_no_alert() {
    let mut host = Host::new("entry-1");
    host.record_unanswered(NOW, "weavers", 19);
    assert_eq!(report(std::slice::from_ref(&host)).alert(), Alert::None);
    host.record_unanswered(NOW, "weavers", 1);
    assert_eq!(report(&[host]).alert(), Alert::Page);
}

#[test]
fn late_first_token_burns_budget() {
    let mut host = Host::new("entry-1");
    for idx in 0..100 {
        let first_token_ms = if idx < 10 { 361 } else { 360 };
        host.record(
            NOW,
            RequestOutcome {
                first_token_ms: Some(Duration::from_millis(first_token_ms)),
                ..answered_outcome("weavers")
            },
        );
    }
    let report = report(&[host]);
    let burn = row(&report, Level::FirstToken, "weavers").burn[0].unwrap();
    assert!((burn - 2.0).abs() < 1e-6, "{burn}");
}

#[test]
fn unintended_version_burns_budget() {
    let mut host = Host::new("entry-1");
    host.record_answered(NOW, "weavers", 999);
    host.record(NOW, RequestOutcome { version_is_intended: false, ..answered_outcome("weavers") });
    let report = report(&[host]);
    assert!(row(&report, Level::ExactVersion, "weavers").burn[0].unwrap() > 9.0);
}

/// Customers with the same weight should wait equally long, so a customer is compared only with
/// those of its weight.
#[test]
fn waits_at_equal_weight() {
    let mut host = Host::new("entry-1");
    for (customer, wait_ms) in [("weavers", 100), ("schools", 200), ("heavy", 900)] {
        let outcome = RequestOutcome {
            wait_ms: Duration::from_millis(wait_ms),
            ..answered_outcome(customer)
        };
        (0..20).for_each(|_| host.record(NOW, outcome.clone()));
    }
    let report = report(&[host]);
    assert_eq!(row(&report, Level::EqualWait, "weavers").burn[0], Some(1.0));
    assert_eq!(row(&report, Level::EqualWait, "schools").burn[0], Some(2.0));
    assert_eq!(row(&report, Level::EqualWait, "heavy").burn[0], Some(1.0));
    assert_eq!(row(&report, Level::EqualWait, "schools").alert, Alert::Ticket);
}

#[test]
fn host_counts_are_summed() {
    let mut one = Host::new("entry-1");
    one.record_answered(NOW, "weavers", 10);
    let mut two = Host::new("entry-2");
    two.record_unanswered(NOW, "weavers", 10);
    let report = report(&[one, two]);
    let counts = row(&report, Level::Answered, "weavers").counts[0];
    assert_eq!((counts.good, counts.total), (10, 20));
    assert!(!report.is_partial);
}

#[test]
fn missing_host_makes_report_partial() {
    let missing =
        vec![MissingHost { host: "entry-2".to_owned(), reason: "no connection".to_owned() }];
    let report = BurnReport::new(&[Host::new("entry-1").counts()], missing.clone());
    assert!(report.is_partial);
    assert_eq!(report.missing, missing);
}

/// The page must not load other resources and must escape the names of customers.
#[test]
fn page_is_self_contained() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut host = Host::new("entry-1");
    for minute in 0..360 {
        let at = Duration::from_secs(minute * 60);
        for customer in ["weavers", "schools", "heavy <&> co"] {
            host.record_answered(at, customer, 20);
            host.record_unanswered(at, customer, usize::from(rng.u32(0..40) == 0));
            let wait_ms = Duration::from_millis(rng.u64(20..40));
            host.record(at, RequestOutcome { wait_ms, ..answered_outcome(customer) });
        }
    }
    let missing =
        vec![MissingHost { host: "entry-2".to_owned(), reason: "no connection".to_owned() }];
    let page = burn_page(&BurnReport::new(&[host.counts()], missing));
    assert!(page.contains("no counts from <b>entry-2</b>"));
    assert!(page.contains("heavy &lt;&amp;&gt; co") && !page.contains("heavy <&>"));
    assert_eq!(page.matches("<svg").count(), 4);
    for outside in ["src=", "href=", "@import", "url("] {
        assert!(!page.contains(outside), "{outside}");
    }
}

fn check_alert(unanswered_percent: [usize; 3], expected: Alert) {
    let mut host = Host::new("entry-1");
    let ages_s = [5 * 3600, 1800, 0];
    for (percent, age_s) in unanswered_percent.into_iter().zip(ages_s) {
        let at = NOW - Duration::from_secs(age_s);
        // Recent requests are few, so that they do not dominate the one-hour window.
        let n_requests = if age_s == 0 { 20 } else { 2000 };
        host.record_unanswered(at, "weavers", n_requests * percent / 100);
        host.record_answered(at, "weavers", n_requests * (100 - percent) / 100);
    }
    let report = report(&[host]);
    let row = row(&report, Level::Answered, "weavers");
    assert_eq!(row.alert, expected, "{unanswered_percent:?} {:?}", row.burn);
}

fn report(hosts: &[Host]) -> BurnReport {
    let counts: Vec<BurnCounts> = hosts.iter().map(Host::counts).collect();
    BurnReport::new(&counts, Vec::new())
}

fn row<'a>(report: &'a BurnReport, level: Level, customer: &str) -> &'a BurnRow {
    let matches = |it: &&BurnRow| it.level == level && it.customer.as_deref() == Some(customer);
    report.rows.iter().find(matches).expect("the report has a row for the level")
}

/// The counters of one entry host whose charter has three customers.
struct Host {
    host: &'static str,
    counters: LevelCounters,
    charter: Charter,
}

impl Host {
    fn new(host: &'static str) -> Host {
        let digest = "0".repeat(64);
        let customers = [("weavers", 1), ("schools", 1), ("heavy", 3)].map(|(customer, weight)| {
            (customer, serde_json::json!({ "weight": weight, "token_digest": digest }))
        });
        let customers: std::collections::BTreeMap<_, _> = customers.into_iter().collect();
        let charter = serde_json::json!({ "number": 1, "customers": customers });
        Host {
            host,
            counters: LevelCounters::default(),
            charter: serde_json::from_value(charter).unwrap(),
        }
    }

    fn record(&mut self, at: Duration, outcome: RequestOutcome) {
        self.counters.record(at, &outcome, &self.charter.service_levels);
    }

    fn record_answered(&mut self, at: Duration, customer: &str, n: usize) {
        (0..n).for_each(|_| self.record(at, answered_outcome(customer)));
    }

    fn record_unanswered(&mut self, at: Duration, customer: &str, n: usize) {
        let outcome = RequestOutcome {
            is_answered: false,
            verdict: Verdict::MayHaveRun,
            first_token_ms: None,
            ..answered_outcome(customer)
        };
        (0..n).for_each(|_| self.record(at, outcome.clone()));
    }

    fn counts(&self) -> BurnCounts {
        BurnCounts {
            host: self.host.to_owned(),
            service_levels: self.charter.service_levels.clone(),
            levels: self.counters.counts(NOW, &self.charter),
        }
    }
}

/// Returns the outcome of a request within all service levels.
fn answered_outcome(customer: &str) -> RequestOutcome {
    RequestOutcome {
        request_id: "request-1".to_owned(),
        idempotency_key: None,
        customer: customer.to_owned(),
        pool: "lots".to_owned(),
        host: None,
        is_answered: true,
        verdict: Verdict::Ran,
        first_token_ms: Some(Duration::from_millis(50)),
        wait_ms: Duration::from_millis(5),
        version_is_intended: true,
    }
}
