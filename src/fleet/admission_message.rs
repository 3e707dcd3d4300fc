//! Messages between an entry host that holds reservations and the owner of a cell of engines.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BackendId, WeightsVersion},
    placement::{Demand, HeldReservation, Refusal, ReservationNumber},
};

/// A message about reservations; the sender's address identifies the holder or the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionMessage {
    /// Asks the owner for capacity.
    Request {
        /// Number that the reservation is to have.
        number: ReservationNumber,
        /// What the request needs.
        demand: Box<Demand>,
    },
    /// The owner reserved capacity.
    Granted {
        /// Number of the reservation.
        number: ReservationNumber,
        /// The engine.
        engine: BackendId,
        /// Version of the weights that the engine serves.
        version: Option<WeightsVersion>,
        /// Requests in progress there before this one.
        n_requests: u32,
        /// Unread prompt tokens there before this request.
        unread_tokens: u32,
    },
    /// The owner reserved no capacity.
    Refused {
        /// Number of the reservation.
        number: ReservationNumber,
        /// The reason.
        reason: RefusalReason,
    },
    /// The first event of a response has arrived, so the prompt has been read.
    FirstEvent {
        /// Number of the reservation.
        number: ReservationNumber,
    },
    /// The reservation, or the wait for it, has ended.
    Released {
        /// Number of the reservation.
        number: ReservationNumber,
        /// How the engine served the request.
        outcome: ServiceOutcome,
    },
    /// All reservations of the sender at the engines that the receiver owns.
    Report {
        /// The reservations.
        reservations: Vec<HeldReservation>,
    },
}

/// The reason why no capacity was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// All engines that the request could use are at capacity.
    Full,
    /// None has capacity in time for a request that competes with others of other ranks.
    Ranked(Refusal),
    /// None of the receiver's engines can be used now.
    NoUsableEngine,
    /// The receiver owns no engine, as its view of the entry hosts differs from the sender's.
    NotOwner,
    /// All engines with room named limits; the first takes a request after this time.
    Limited(Duration),
}

/// How an engine served a request, as far as it tells of the engine's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceOutcome {
    /// The response was complete.
    Succeeded,
    /// The connection or the response failed.
    Failed,
    /// The request was refused, or ended for a reason of its caller.
    Unknown,
    /// Nothing was sent, as the reservation was of no use any more.
    Unsent,
    /// Nothing was sent, as the connection failed.
    Unreachable,
}

impl ServiceOutcome {
    /// Returns `true` if the engine may have got the request.
    pub fn is_sent(self) -> bool {
        !matches!(self, ServiceOutcome::Unsent | ServiceOutcome::Unreachable)
    }
}
