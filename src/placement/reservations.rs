//! The reservations of one cell and the load that they are for its engines.
//!
//! A reservation is a lease. Entry hosts report the reservations that they hold at intervals, which
//! renews the leases, replaces lost messages, and tells a new owner what is running.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    ids::BackendId,
    placement::{Demand, HeldReservation, Load, PartDigest, ReservationId, ReservationNumber},
};

/// Time after the last report of its holder at which a reservation lapses.
const LEASE_TIME: Duration = Duration::from_millis(1200);
/// Age up to which a reservation is kept though a report lacks it, as the report may have been sent
/// before the reservation was granted.
const REPORT_DELAY: Duration = Duration::from_millis(150);

/// The reservations of one cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservations {
    by_id: BTreeMap<ReservationId, Reservation>,
    loads: BTreeMap<BackendId, Load>,
}

#[derive(Clone, Debug)]
struct Reservation {
    engine: BackendId,
    unread_tokens: u32,
    /// Parts of the prompt until the first event of the response.
    starting_parts: BTreeSet<PartDigest>,
    granted: Instant,
    renewed: Instant,
}

/// A reservation that was removed.
#[derive(Clone, Debug)]
pub(crate) struct EndedReservation {
    /// Its engine.
    pub(crate) engine: BackendId,
    /// Time at which it was granted.
    pub(crate) granted: Instant,
    /// Parts of the prompt if the first event of the response has not arrived.
    pub(crate) starting_parts: BTreeSet<PartDigest>,
}

impl Reservations {
    /// Adds a reservation for a request.
    pub(crate) fn grant(
        &mut self,
        id: ReservationId,
        engine: BackendId,
        demand: &Demand,
        now: Instant,
    ) {
        // An owner may be told the first parts only, but all that begin in turn.
        let in_turn = &demand.in_turn_parts;
        let reservation = Reservation {
            engine,
            unread_tokens: demand.prompt_tokens,
            starting_parts: demand.prompt_parts.iter().chain(in_turn).copied().collect(),
            granted: now,
            renewed: now,
        };
        self.add(id, reservation);
    }

    /// Renews the lease of a reservation that its holder reports, or adds it if it is unknown.
    pub(crate) fn renew(&mut self, id: ReservationId, held: HeldReservation, now: Instant) {
        if let Some(reservation) = self.by_id.get_mut(&id) {
            reservation.renewed = now;
            if held.unread_tokens == 0 {
                self.record_first_event(&id);
            }
            return;
        }
        let reservation = Reservation {
            engine: held.engine,
            unread_tokens: held.unread_tokens,
            starting_parts: BTreeSet::new(),
            granted: now,
            renewed: now,
        };
        self.add(id, reservation);
    }

    /// Records that the first event of a response has arrived, so its prompt has been read.
    pub(crate) fn record_first_event(&mut self, id: &ReservationId) {
        let Some(reservation) = self.by_id.get_mut(id) else { return };
        let unread = std::mem::take(&mut reservation.unread_tokens);
        reservation.starting_parts.clear();
        let load = self.loads.entry(reservation.engine.clone()).or_default();
        load.unread_tokens = load.unread_tokens.saturating_sub(unread);
    }

    /// Removes a reservation.
    pub(crate) fn remove(&mut self, id: &ReservationId) -> Option<EndedReservation> {
        let reservation = self.by_id.remove(id)?;
        self.remove_load(&reservation);
        let Reservation { engine, granted, starting_parts, .. } = reservation;
        Some(EndedReservation { engine, granted, starting_parts })
    }

    /// Returns the reservations of a holder that its report of all that it holds should list, but
    /// does not.
    pub(crate) fn unlisted(
        &self,
        holder: SocketAddr,
        report: &[HeldReservation],
        now: Instant,
    ) -> Vec<ReservationId> {
        let listed: BTreeSet<ReservationNumber> = report.iter().map(|it| it.number).collect();
        let is_unlisted = |it: &(&ReservationId, &Reservation)| {
            let is_missing = it.0.holder == holder && !listed.contains(&it.0.number);
            is_missing && now.duration_since(it.1.granted) > REPORT_DELAY
        };
        self.by_id.iter().filter(is_unlisted).map(|it| *it.0).collect()
    }

    /// Returns the reservations whose holders have not reported for `LEASE_TIME`.
    pub(crate) fn expired(&self, now: Instant) -> Vec<ReservationId> {
        let is_expired =
            |it: &(&ReservationId, &Reservation)| now.duration_since(it.1.renewed) > LEASE_TIME;
        self.by_id.iter().filter(is_expired).map(|it| *it.0).collect()
    }

    /// Returns the engine of a reservation.
    pub(crate) fn engine(&self, id: &ReservationId) -> Option<&BackendId> {
        self.by_id.get(id).map(|it| &it.engine)
    }

    /// Returns `true` if a prompt with this part is at an engine that has yet to begin its response.
    pub(crate) fn is_starting(&self, part: &PartDigest) -> bool {
        self.by_id.values().any(|it| it.starting_parts.contains(part))
    }

    /// Returns the load of an engine.
    pub(crate) fn load(&self, engine: &str) -> Load {
        self.loads.get(engine).copied().unwrap_or_default()
    }

    /// Returns the number of reservations.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    fn add(&mut self, id: ReservationId, reservation: Reservation) {
        let load = self.loads.entry(reservation.engine.clone()).or_default();
        load.n_requests += 1;
        load.unread_tokens = load.unread_tokens.saturating_add(reservation.unread_tokens);
        self.by_id.insert(id, reservation);
    }

    fn remove_load(&mut self, reservation: &Reservation) {
        let Some(load) = self.loads.get_mut(&reservation.engine) else { return };
        load.n_requests = load.n_requests.saturating_sub(1);
        load.unread_tokens = load.unread_tokens.saturating_sub(reservation.unread_tokens);
        if load.n_requests == 0 {
            self.loads.remove(&reservation.engine);
        }
    }
}
