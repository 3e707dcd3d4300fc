//! Admission control and choice of backend servers.
//!
//! Nothing here reads the clock or generates random numbers: callers pass both in, so that tests
//! are reproducible.

mod admission_cell;
mod backend_health;
mod cell_map;
mod crash_suspects;
mod demand;
mod engine_choice;
mod load;
mod plain_choice;
mod request_counts;
mod reservation_id;
mod retry_budgets;
mod shutdown_admission;
mod windowed_retry_budget;

pub use crate::placement::{
    admission_cell::{Admission, AdmissionCell, CellEngine, HeldReservation},
    backend_health::BackendHealth,
    cell_map::{CellMap, OwnerCandidate},
    crash_suspects::{CrashSuspects, Fingerprint},
    demand::Demand,
    engine_choice::{choose_engine, Candidate},
    load::Load,
    plain_choice::{choose_plain_backend, PlainCandidate},
    request_counts::RequestCounts,
    reservation_id::{ReservationId, ReservationNumber},
    retry_budgets::RetryBudgets,
    shutdown_admission::can_finish_before_exit,
    windowed_retry_budget::WindowedRetryBudget,
};
