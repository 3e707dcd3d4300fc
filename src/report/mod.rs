//! Counts of live requests and the burn of error budgets worked out from them.

mod account_book;
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
mod log_story;
mod request_accounts;
mod request_outcome;
mod windows;

pub use crate::report::{
    account_book::AccountBook,
    alert::Alert,
    burn_counts::{BurnCounts, LevelCounts, SERIES_POINTS, SERIES_STEP},
    burn_page::burn_page,
    burn_report::{BurnReport, BurnRow, MissingHost},
    convergence::Convergence,
    convergence_watch::ConvergenceWatch,
    count_ring::CountRing,
    counts::Counts,
    level::Level,
    log_story::{LogStory, StoryLine},
    request_accounts::RequestAccounts,
    request_outcome::RequestOutcome,
    windows::Window,
};
