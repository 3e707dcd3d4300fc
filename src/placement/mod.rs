//! Decisions on where a request goes and whether it goes at all. Time and draws are passed in.

mod attempt_budget;
mod backend_health;
mod crash_suspects;
mod engine_choice;
mod homes;
mod leave_gate;
mod load_table;

pub use crate::placement::{
    attempt_budget::AttemptBudget,
    backend_health::BackendHealth,
    crash_suspects::{CrashSuspects, Fingerprint},
    engine_choice::{choose_engine, choose_plain, Candidate},
    homes::{assign_homes, HomelessEngine},
    leave_gate::may_take,
    load_table::{Load, LoadTable},
};
