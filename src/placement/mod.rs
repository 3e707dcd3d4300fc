//! Admission control and choice of backend servers.
//!
//! Nothing here reads the clock or generates random numbers: callers pass both in, so that tests
//! are reproducible.

mod admission;
mod admission_cell;
mod admission_counts;
mod allowed_zones;
mod backend_health;
mod cell_engine;
mod cell_map;
mod cold_bounds;
mod cold_servers;
mod crash_suspects;
mod crashing_parts;
mod demand;
mod drain_rate;
mod engine_choice;
mod entry_share;
mod grant_limits;
mod grant_rates;
mod hedging;
mod held_reservation;
mod leaving_servers;
mod limit_statement;
mod limited_requests;
mod load;
mod part_crash;
mod part_quarantine;
mod part_suspect;
mod paused_servers;
mod plain_choice;
mod plain_servers;
mod quarantined_part;
mod ramp;
mod rank_counts;
mod rate_limit;
mod recent_requests;
mod refusal;
mod refused_requests;
mod region_constraint;
mod request_attempt;
mod request_class;
mod request_cost;
mod request_counts;
mod request_limit;
mod request_quota;
mod request_suspicion;
mod reservation_id;
mod reservations;
mod retry_budgets;
mod served_share;
mod served_shares;
mod server_limits;
mod server_slowness;
mod server_warmth;
mod share_rank;
mod shutdown_admission;
mod size_classes;
mod size_shares;
mod suspect_groups;
mod suspected_request;
mod usable_engines;
mod usual_latency;
mod wait_left;
mod waiting_queue;
mod waiting_request;
mod windowed_retry_budget;

pub use crate::placement::{
    admission::Admission,
    admission_cell::AdmissionCell,
    admission_counts::{AdmissionCounts, DecisionCounts},
    allowed_zones::{AllowedZones, NoAllowedServer},
    backend_health::BackendHealth,
    cell_engine::CellEngine,
    cell_map::{CellMap, OwnerCandidate},
    cold_bounds::ColdBounds,
    cold_servers::{ColdChanges, ColdServers},
    crash_suspects::{CrashSuspects, Fingerprint, MAX_SUSPECTED_REQUESTS},
    crashing_parts::CrashingParts,
    demand::Demand,
    engine_choice::{choose_engine, Candidate},
    entry_share::EntryShare,
    grant_rates::GrantRates,
    held_reservation::HeldReservation,
    leaving_servers::LeavingServers,
    limit_statement::LimitStatement,
    limited_requests::LimitedRequests,
    load::Load,
    part_crash::{PartCrash, PartDigest},
    paused_servers::{PausedServers, TRIAL_INTERVAL},
    plain_choice::{choose_plain_backend, PlainCandidate},
    plain_servers::PlainServers,
    quarantined_part::QuarantinedPart,
    rank_counts::RankCounts,
    rate_limit::RateLimit,
    recent_requests::RecentRequests,
    refusal::{Refusal, RefusalCause},
    region_constraint::RegionConstraint,
    request_attempt::RequestAttempt,
    request_class::RequestClass,
    request_cost::RequestCost,
    request_counts::RequestCounts,
    request_limit::RequestLimit,
    request_quota::RequestQuota,
    reservation_id::{ReservationId, ReservationNumber},
    retry_budgets::RetryBudgets,
    server_limits::{LimitChange, ServerLimits},
    server_slowness::CallNumber,
    server_warmth::ColdState,
    share_rank::ShareRank,
    shutdown_admission::can_finish_before_exit,
    suspected_request::{crash_id, CrashId, SuspectedRequest, TryId},
    wait_left::WaitLeft,
    windowed_retry_budget::WindowedRetryBudget,
};
