//! Admission control and choice of backend servers.
//!
//! Nothing here reads the clock or generates random numbers: callers pass both in, so that tests
//! are reproducible.

mod backend_health;
mod crash_suspects;
mod engine_assignment;
mod engine_choice;
mod load_table;
mod shutdown_admission;
mod windowed_retry_budget;

pub use crate::placement::{
    backend_health::BackendHealth,
    crash_suspects::{CrashSuspects, Fingerprint},
    engine_assignment::{assign_engines, UnassignedEngine},
    engine_choice::{choose_engine, choose_plain_backend, Candidate},
    load_table::{Load, LoadTable},
    shutdown_admission::can_finish_before_exit,
    windowed_retry_budget::WindowedRetryBudget,
};
