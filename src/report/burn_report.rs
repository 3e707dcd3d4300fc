//! Burn rates of error budgets, computed from the counts of all entry hosts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    charter::ServiceLevels,
    ids::{CustomerId, HostId},
    report::{
        alert::Alert,
        burn_counts::{BurnCounts, LevelCounts},
        counts::Counts,
        level::Level,
    },
};

/// Lower bound to which shorter mean waits are raised before they are compared, because differences
/// below it do not matter to a customer.
const MIN_COMPARED_WAIT_MS: f64 = 10.0;

/// Burn rates of every customer and service level in the whole deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Entry hosts whose counts are included.
    pub hosts: Vec<HostId>,
    /// Entry hosts whose counts are missing; the report is partial if there are any.
    pub missing: Vec<MissingHost>,
    /// Whether the counts of any entry host are missing.
    pub is_partial: bool,
    /// One row for each customer and service level, in the order of `Level::ALL`.
    pub rows: Vec<BurnRow>,
}

/// An entry host whose counts could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingHost {
    /// Id of the entry host, or its operator address if the id is unknown.
    pub host: String,
    /// Reason why the counts are missing.
    pub reason: String,
}

/// Burn rates of one customer and service level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The service level.
    pub level: Level,
    /// The customer; `None` for a level of the whole deployment.
    pub customer: Option<CustomerId>,
    /// Percentage of requests that must meet the level, or the highest ratio of waits allowed.
    pub target: f64,
    /// Counts over the windows of `Window::ALL`.
    pub counts: [Counts; 3],
    /// Burn rates over the windows of `Window::ALL`: a rate of 1 uses the budget up exactly; `None`
    /// without requests.
    ///
    /// For equal wait it is the ratio of the customer's mean wait to the shortest mean wait of a
    /// customer with the same weight.
    pub burn: [Option<f64>; 3],
    /// The alert that the burn rates raise.
    pub alert: Alert,
    /// Burn rates over the last six hours in steps of five minutes, oldest first.
    pub series: Vec<Option<f64>>,
}

impl BurnReport {
    /// Creates the report from the counts of all entry hosts, with the limits of the first one.
    pub fn new(counts: &[BurnCounts], missing: Vec<MissingHost>) -> BurnReport {
        let levels = counts.first().map(|it| it.service_levels.clone()).unwrap_or_default();
        let merged = merge(counts);
        let mut rows: Vec<BurnRow> =
            merged.iter().map(|it| burn_row(it, &merged, &levels)).collect();
        rows.sort_by(|a, b| (a.level, &a.customer).cmp(&(b.level, &b.customer)));
        BurnReport {
            hosts: counts.iter().map(|it| it.host.clone()).collect(),
            is_partial: !missing.is_empty(),
            missing,
            rows,
        }
    }

    /// Returns the most severe alert of all rows.
    pub fn alert(&self) -> Alert {
        self.rows.iter().map(|it| it.alert).max().unwrap_or(Alert::None)
    }
}

/// Sums the counts of all entry hosts for each customer and service level.
fn merge(counts: &[BurnCounts]) -> Vec<LevelCounts> {
    let mut merged: BTreeMap<(Option<&str>, Level), LevelCounts> = BTreeMap::new();
    for level_counts in counts.iter().flat_map(|it| &it.levels) {
        let key = (level_counts.customer.as_deref(), level_counts.level);
        let Some(sum) = merged.get_mut(&key) else {
            merged.insert(key, level_counts.clone());
            continue;
        };
        sum.weight = sum.weight.max(level_counts.weight);
        add_pairwise(&mut sum.windows, &level_counts.windows);
        add_pairwise(&mut sum.series, &level_counts.series);
    }
    merged.into_values().collect()
}

fn add_pairwise(sums: &mut [Counts], counts: &[Counts]) {
    for (sum, it) in sums.iter_mut().zip(counts) {
        *sum += *it;
    }
}

fn burn_row(counts: &LevelCounts, all: &[LevelCounts], levels: &ServiceLevels) -> BurnRow {
    let target_percent = counts.level.target_percent(levels);
    let can_alert = counts.windows.map(|it| it.total >= counts.level.min_alert_total());
    let (burn, series, alert) = match target_percent {
        Some(target) => {
            let burn = counts.windows.map(|it| burn_rate(it, target));
            let series = counts.series.iter().map(|it| burn_rate(*it, target)).collect();
            (burn, series, Alert::of_burn(discard_small_windows(burn, can_alert)))
        }
        None => {
            let same_weight: Vec<&LevelCounts> = all
                .iter()
                .filter(|it| it.level == counts.level && it.weight == counts.weight)
                .collect();
            let burn = [0, 1, 2].map(|idx| {
                wait_ratio(counts.windows[idx], same_weight.iter().map(|it| it.windows[idx]))
            });
            let ratio_at = |idx: usize| {
                let all_waits = same_weight.iter().filter_map(|it| it.series.get(idx).copied());
                wait_ratio(counts.series[idx], all_waits)
            };
            let series = (0..counts.series.len()).map(ratio_at).collect();
            let alert =
                Alert::of_ratio(discard_small_windows(burn, can_alert), levels.equal_wait_ratio);
            (burn, series, alert)
        }
    };
    BurnRow {
        level: counts.level,
        customer: counts.customer.clone(),
        target: target_percent.unwrap_or(levels.equal_wait_ratio),
        counts: counts.windows,
        burn,
        alert,
        series,
    }
}

/// Returns the burn rates without those of windows with too few requests to raise an alert.
fn discard_small_windows(burn: [Option<f64>; 3], can_alert: [bool; 3]) -> [Option<f64>; 3] {
    [0, 1, 2].map(|idx| burn[idx].filter(|_| can_alert[idx]))
}

/// Returns the share of bad requests divided by the share that the target allows.
fn burn_rate(counts: Counts, target_percent: f64) -> Option<f64> {
    if counts.total == 0 {
        return None;
    }
    let allowed = (1.0 - target_percent / 100.0).max(f64::EPSILON);
    Some(counts.bad() as f64 / counts.total as f64 / allowed)
}

/// Returns the mean wait of one customer divided by the shortest mean wait in `all`.
fn wait_ratio(own: Counts, all: impl Iterator<Item = Counts>) -> Option<f64> {
    let compared_wait = |it: Counts| it.mean_wait_ms().map(|it| it.max(MIN_COMPARED_WAIT_MS));
    let shortest = all.filter_map(compared_wait).min_by(f64::total_cmp)?;
    Some(compared_wait(own)? / shortest)
}
