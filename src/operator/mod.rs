//! The operator address: the administration API, metrics and health.

mod answer;
mod charter_routes;
mod handler;
mod metrics_page;
mod process_report;
mod process_view;
mod quarantine_routes;

pub use crate::operator::{
    handler::handler,
    process_report::{LinkReport, ProcessReport},
    process_view::ProcessView,
};
