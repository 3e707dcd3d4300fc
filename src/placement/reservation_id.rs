//! Identifies the capacity that one request occupies at an engine.

use std::net::SocketAddr;

/// The number of a reservation; the entry host that holds it never uses a number twice.
pub type ReservationNumber = u64;

/// The id of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReservationId {
    /// Peer address of the entry host that holds the reservation.
    pub holder: SocketAddr,
    /// Its number at that entry host.
    pub number: ReservationNumber,
}
