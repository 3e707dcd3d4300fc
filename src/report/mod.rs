//! Outcomes of live requests, and the burn rates of error budgets that are computed from them.

mod alert;
mod burn_counts;
mod burn_page;
mod burn_plot;
mod burn_report;
mod convergence;
mod convergence_watch;
mod count_ring;
mod counts;
mod level;
mod level_counters;
mod request_history;
mod request_outcome;
mod request_timeline;
mod windows;

pub use crate::report::{
    alert::Alert,
    burn_counts::{BurnCounts, LevelCounts, SERIES_POINTS, SERIES_STEP},
    burn_page::burn_page,
    burn_report::{BurnReport, BurnRow, MissingHost},
    convergence::Convergence,
    convergence_watch::ConvergenceWatch,
    count_ring::CountRing,
    counts::Counts,
    level::Level,
    level_counters::LevelCounters,
    request_history::RequestHistory,
    request_outcome::RequestOutcome,
    request_timeline::{LogLine, RequestTimeline},
    windows::Window,
};
