//! The reasons why no capacity could be reserved.

use std::time::Duration;

use crate::{
    entry::error_response::ErrorResponse,
    fleet::RefusalReason,
    placement::{NoAllowedServer, QuarantinedPart, RefusalCause},
};

/// Value of `Retry-After` in the response to a request that finds all backend servers busy.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Value of `Retry-After` in the response to a request for which there is no backend server, as
/// while engines load weights, which takes seconds. A caller that returned earlier would be refused
/// again.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Value of `Retry-After` while all zones that the request may use are evacuated. An evacuation lasts
/// seconds at least.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Value of `Retry-After` if the charter allows no region; only its next change helps.
const NO_REGION_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Value of `Retry-After` in the response of a host that has just started.
pub(crate) const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest value of `Retry-After` while backend servers name limits.
const MAX_LIMITED_TIME: Duration = Duration::from_secs(60);
/// Share of `Retry-After` over which callers that are refused at the same time are spread.
const RETURN_SPREAD: f64 = 0.5;
/// The number of nanoseconds in the unit to which `Retry-After` is rounded.
const NANOS_PER_MS: u128 = 1_000_000;

/// The reason why no capacity could be reserved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReservationError {
    /// No usable backend server meets the requirements.
    NoBackend,
    /// All backend servers that meet the requirements are full.
    Full,
    /// They will have no room in time; the duration is that after which there may be some.
    Ranked(RefusalCause, Duration),
    /// All of them want no requests now; the first takes them again after this time.
    Paused(Duration),
    /// All of them want no requests now, some as they named limits; the first takes one again after this
    /// time.
    Limited(Duration),
    /// No backend server may get the request, whatever their load.
    NotAllowed(NoAllowedServer),
    /// A part of the prompt is in quarantine, so no engine may get the request.
    Quarantined(QuarantinedPart),
}

impl ReservationError {
    /// Returns the error of a request that waited at an owner in vain; `random` is uniform in 0 to 1.
    pub(crate) fn of_wait(reason: RefusalReason, random: f64) -> ReservationError {
        match reason {
            RefusalReason::Ranked(refusal) => {
                let spread = 1.0 + RETURN_SPREAD * (random - 0.5);
                // The message of a peer may state any time.
                let room_in = refusal.room_in.min(UNAVAILABLE_RETRY_AFTER).mul_f64(spread);
                ReservationError::Ranked(refusal.cause, room_in)
            }
            RefusalReason::Limited(left) => ReservationError::limited(left),
            _ => ReservationError::Full,
        }
    }

    /// Returns the error of a request whose owners' engines named limits, the first of which takes a request
    /// after this time; the message of a peer may state any.
    pub(crate) fn limited(left: Duration) -> ReservationError {
        ReservationError::Limited(left.min(MAX_LIMITED_TIME))
    }

    /// Returns `true` if the request may have waited as long as it was to.
    pub(crate) fn is_end_of_wait(&self) -> bool {
        matches!(
            self,
            ReservationError::Full | ReservationError::Ranked(RefusalCause::WaitEnded, _)
        )
    }

    /// Returns the response to a request that could not be sent.
    pub(crate) fn response(self) -> ErrorResponse {
        let (message, retry_after) = match self {
            ReservationError::Quarantined(_) => {
                let message = "a part of the prompt crashes backend servers; do not send it again";
                return ErrorResponse::not_run(503, message);
            }
            ReservationError::NoBackend => (
                "no backend server can accept the request now; retry later",
                UNAVAILABLE_RETRY_AFTER,
            ),
            ReservationError::Full => {
                ("all backend servers are busy; retry later", BUSY_RETRY_AFTER)
            }
            ReservationError::NotAllowed(reason) => not_allowed(reason),
            ReservationError::Ranked(cause, room_in) => (ranked_message(cause), room_in),
            ReservationError::Paused(left) => {
                ("all backend servers asked for a pause; retry after it", rounded_up(left))
            }
            ReservationError::Limited(left) => (
                "all backend servers limit their requests; retry after the stated time",
                rounded_up(left),
            ),
        };
        ErrorResponse::not_run(503, message).with_retry_after(retry_after)
    }
}

/// Rounds a time up to milliseconds, so that a caller that waits as told is not early.
fn rounded_up(time: Duration) -> Duration {
    Duration::from_millis(time.as_nanos().div_ceil(NANOS_PER_MS) as u64)
}

fn not_allowed(reason: NoAllowedServer) -> (&'static str, Duration) {
    match reason {
        NoAllowedServer::NoRegion => (
            "the route and the customer have no allowed region in common; change the charter",
            NO_REGION_RETRY_AFTER,
        ),
        NoAllowedServer::NoServer => (
            "no backend server in the allowed regions can accept the request now; retry later",
            UNAVAILABLE_RETRY_AFTER,
        ),
        NoAllowedServer::Evacuated => (
            "all zones that may serve the request are evacuated; retry after the evacuation",
            EVACUATED_RETRY_AFTER,
        ),
        NoAllowedServer::EvacuationsUnknown => (
            "this entry host does not know the evacuated zones yet; retry at another one",
            STARTING_RETRY_AFTER,
        ),
    }
}

fn ranked_message(cause: RefusalCause) -> &'static str {
    match cause {
        RefusalCause::WaitEnded => "no backend server was free in time; retry later",
        RefusalCause::ExpectedWait => {
            "more urgent requests leave no room in time; retry after the stated time"
        }
        RefusalCause::QueueFull => "too many requests wait; retry after the stated time",
        RefusalCause::LateReturn => "no backend server is idle for a late retry; retry later",
    }
}
