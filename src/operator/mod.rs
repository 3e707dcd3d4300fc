//! The operator address: the administration API, metrics and health.

mod charter_routes;
mod handler;
mod metrics_page;
mod operator_context;
mod process_report;
mod quarantine_routes;
mod response;

pub use crate::operator::{
    handler::handler,
    operator_context::OperatorContext,
    process_report::{LinkReport, ProcessReport},
};
