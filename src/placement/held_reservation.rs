//! Reservations as their holders report them.

use serde::{Deserialize, Serialize};

use crate::{ids::BackendId, placement::ReservationNumber};

/// A reservation that an entry host holds, as its report lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldReservation {
    /// Its number at the entry host.
    pub number: ReservationNumber,
    /// The engine.
    pub engine: BackendId,
    /// Prompt tokens of the request if its first event has not arrived, else 0.
    pub unread_tokens: u32,
}
