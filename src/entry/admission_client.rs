//! Asks the owners of engines for capacity on behalf of this host's requests.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_channel::{Receiver, Sender};

use crate::{
    entry::{
        eligible_servers::{allowed_zones, eligible_servers, version_served},
        entry_host::EntryHost,
        owner_refusals::OwnerRefusals,
        pending_request::PendingRequest,
        reservation_error::ReservationError,
    },
    fleet::{AdmissionMessage, RefusalReason, ServiceOutcome},
    ids::{BackendId, HostId, WeightsVersion},
    placement::{Demand, HeldReservation, Load, ReservationNumber},
    routing::BackendServer,
    runtime,
};

/// Time for an owner to answer, beyond the time for which the request may wait there.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which an owner that did not answer is asked last.
const SILENCE_TIME: Duration = Duration::from_millis(500);
/// Maximum number of owners that are asked for one request, one after the other.
const MAX_OWNERS_ASKED: usize = 8;
/// Interval between two reports of the reservations that this host holds.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Capacity at an engine that an owner granted.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// Number of the reservation.
    pub(crate) number: ReservationNumber,
    /// The engine.
    pub(crate) engine: BackendId,
    /// Version of the weights that the engine serves.
    pub(crate) version: Option<WeightsVersion>,
    /// Its load before this reservation.
    pub(crate) load: Load,
    /// Whether it is charged to this host's share of a cold engine, as no owner is known.
    pub(crate) is_own_charged: bool,
}

/// The answer of an owner.
pub(crate) enum Answer {
    /// It reserved capacity.
    Granted(Grant),
    /// It reserved no capacity.
    Refused(RefusalReason),
    /// It did not answer in time.
    Silent,
}

/// A reservation that this host holds.
struct Held {
    owner: SocketAddr,
    engine: BackendId,
    unread_tokens: u32,
}

/// The reservations that this host holds, and its pending requests for others.
pub(crate) struct AdmissionClient {
    next_number: Cell<ReservationNumber>,
    pending: RefCell<HashMap<ReservationNumber, Sender<Answer>>>,
    held: RefCell<BTreeMap<ReservationNumber, Held>>,
    silent_until: RefCell<HashMap<HostId, Instant>>,
}

impl AdmissionClient {
    /// Creates a client without reservations.
    pub(crate) fn new() -> AdmissionClient {
        // Numbers start at the time in nanoseconds, so that a restarted process uses new ones.
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        AdmissionClient {
            next_number: Cell::new(since_epoch.as_nanos() as u64),
            pending: RefCell::default(),
            held: RefCell::default(),
            silent_until: RefCell::default(),
        }
    }

    /// Handles an owner's answer. A reservation that is no longer wanted is released.
    pub(crate) fn handle(&self, host: &EntryHost, from: SocketAddr, message: AdmissionMessage) {
        let (number, answer) = match message {
            AdmissionMessage::Granted { number, engine, version, n_requests, unread_tokens } => {
                let load = Load { n_requests, unread_tokens };
                (
                    number,
                    Answer::Granted(Grant { number, engine, version, load, is_own_charged: false }),
                )
            }
            AdmissionMessage::Refused { number, reason } => (number, Answer::Refused(reason)),
            _ => return,
        };
        let is_grant = matches!(answer, Answer::Granted(_));
        let sender = self.pending.borrow_mut().remove(&number);
        let is_wanted = sender.is_some_and(|it| it.try_send(answer).is_ok());
        let is_held = self.held.borrow().contains_key(&number);
        if is_grant && !is_wanted && !is_held {
            let outcome = ServiceOutcome::Unsent;
            host.send_admission(from, AdmissionMessage::Released { number, outcome });
        }
    }

    /// Records the first event of a response, so that the owner knows that the prompt has been read.
    pub(crate) fn record_first_event(&self, host: &EntryHost, number: ReservationNumber) {
        let owner = {
            let mut held = self.held.borrow_mut();
            let Some(held) = held.get_mut(&number) else { return };
            held.unread_tokens = 0;
            held.owner
        };
        host.send_admission(owner, AdmissionMessage::FirstEvent { number });
    }

    /// Releases a reservation and tells its owner how the engine served the request.
    pub(crate) fn release(
        &self,
        host: &EntryHost,
        number: ReservationNumber,
        outcome: ServiceOutcome,
    ) {
        let Some(held) = self.held.borrow_mut().remove(&number) else { return };
        // This host records the outcomes of its own attempts where they occur.
        let is_own = held.owner == host.settings.peers;
        let outcome = match outcome.is_sent() {
            _ if !is_own => outcome,
            true => ServiceOutcome::Unknown,
            false => ServiceOutcome::Unsent,
        };
        host.send_admission(held.owner, AdmissionMessage::Released { number, outcome });
    }

    /// Returns a new number, and the receiver of the owner's answer to the request with this number.
    pub(crate) fn expect_answer(&self) -> (ReservationNumber, Receiver<Answer>) {
        let number = self.take_number();
        let (sender, answer) = async_channel::bounded(1);
        self.pending.borrow_mut().insert(number, sender);
        (number, answer)
    }

    /// Ignores the answer to a request from now on.
    pub(crate) fn forget(&self, number: ReservationNumber) {
        self.pending.borrow_mut().remove(&number);
    }

    /// Returns a number that this host uses only once, also across restarts.
    pub(crate) fn take_number(&self) -> ReservationNumber {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    fn hold(
        &self,
        number: ReservationNumber,
        owner: SocketAddr,
        engine: &BackendId,
        unread_tokens: u32,
    ) {
        let held = Held { owner, engine: engine.clone(), unread_tokens };
        self.held.borrow_mut().insert(number, held);
    }

    /// Returns the owners to ask, those that did not answer lately last.
    fn owners_to_ask(&self, host: &EntryHost, demand: &Demand, now: Instant) -> Vec<HostId> {
        let zone = &host.settings.host.zone;
        let allowed = allowed_zones(host, &demand.regions);
        let mut owners = match demand.in_turn_parts.first() {
            Some(part) => host.engine_owners.for_part(*part, &allowed),
            None => {
                let position = demand.attempt.map_or_else(fastrand::f64, |it| it.owner_position());
                host.engine_owners.to_ask(zone, position, &allowed)
            }
        };
        let silent_until = self.silent_until.borrow();
        owners.sort_by_key(|it| silent_until.get(it).is_some_and(|until| now < *until));
        owners.truncate(MAX_OWNERS_ASKED);
        owners
    }

    /// Returns the reservations to report to each owner.
    fn reports(&self, host: &EntryHost) -> BTreeMap<SocketAddr, Vec<HeldReservation>> {
        let mut reports: BTreeMap<SocketAddr, Vec<HeldReservation>> = BTreeMap::new();
        let mut all_held = self.held.borrow_mut();
        for (number, held) in all_held.iter_mut() {
            held.owner = host.engine_owners.address(host, &held.engine).unwrap_or(held.owner);
            let report = HeldReservation {
                number: *number,
                engine: held.engine.clone(),
                unread_tokens: held.unread_tokens,
            };
            reports.entry(held.owner).or_default().push(report);
        }
        reports
    }
}

/// Reserves capacity at an engine: asks some owners in turn, then waits at the first one that has
/// engines for the request, up to the time in `demand`.
pub(crate) async fn reserve(
    host: &Rc<EntryHost>,
    demand: &Demand,
) -> Result<Grant, ReservationError> {
    let immediate = Demand { wait: Duration::ZERO, max_wait: Duration::ZERO, ..demand.clone() };
    let mut refusals = OwnerRefusals::default();
    for owner in host.admission.owners_to_ask(host, demand, Instant::now()) {
        match ask(host, &owner, &immediate).await {
            Answer::Granted(grant) => return Ok(grant),
            Answer::Refused(reason) => refusals.record(owner, reason),
            Answer::Silent => {}
        }
        if !demand.in_turn_parts.is_empty() && refusals.has_usable() {
            break;
        }
    }
    if let Some(owner) = refusals.owner_to_wait_at(demand.longest_wait()) {
        return match ask(host, owner, demand).await {
            Answer::Granted(grant) => Ok(grant),
            Answer::Refused(reason) => Err(ReservationError::of_wait(reason, fastrand::f64())),
            Answer::Silent => Err(ReservationError::Full),
        };
    }
    match refusals.error() {
        Some(err) => Err(err),
        None => reserve_without_owner(host, demand),
    }
}

/// Reserves an engine of the own zone at which this host has no request, when no owner answers or
/// the hosts asked do not know yet that they are owners; one of another zone if the request may not use
/// the own zone.
///
/// All entry hosts together send an engine few requests in this way, and the engine refuses those
/// that it has no room for.
fn reserve_without_owner(host: &Rc<EntryHost>, demand: &Demand) -> Result<Grant, ReservationError> {
    let servers = host.backends.borrow();
    let model = demand.model.as_deref();
    let eligible = eligible_servers(host, &servers, &demand.service, model, &demand.regions);
    let zone = &host.settings.host.zone;
    let may_use_own_zone = allowed_zones(host, &demand.regions).allows(zone);
    let is_unused = |address: &SocketAddr| host.request_counts.borrow().get(address) == 0;
    let mut candidates: Vec<&BackendServer> = eligible
        .into_iter()
        .filter(|it| it.zone == *zone || !may_use_own_zone)
        .filter(|it| !demand.excluded.contains(&it.id))
        .collect();
    let now = Instant::now();
    let mut cold_servers = host.cold_servers.borrow_mut();
    cold_servers.note_probations(&candidates, &host.health.borrow(), now);
    cold_servers.retain_unowned(&mut candidates, || host.entry_share(), now);
    candidates.retain(|it| is_unused(&it.address));
    let engine = fastrand::choice(candidates).ok_or(ReservationError::NoBackend)?.id.clone();
    let is_own_charged = cold_servers.record_own(&engine, || host.entry_share(), now);
    let number = host.admission.take_number();
    let owner = host.engine_owners.address(host, &engine).unwrap_or(host.settings.peers);
    host.admission.hold(number, owner, &engine, demand.prompt_tokens);
    log::info!("cell: no owner is known, reserved without one backend={engine}");
    let version = version_served(host, &engine);
    Ok(Grant { number, engine, version, load: Load::default(), is_own_charged })
}

async fn ask(host: &Rc<EntryHost>, owner: &HostId, demand: &Demand) -> Answer {
    let Some(address) = host.peer_address(owner) else { return Answer::Silent };
    let pending = PendingRequest::send(host, address, demand);
    let timeout = demand.longest_wait() + ANSWER_TIMEOUT;
    match runtime::timeout(timeout, pending.answer()).await {
        Ok(Some(answer)) => {
            if let Answer::Granted(grant) = &answer {
                host.admission.hold(grant.number, address, &grant.engine, demand.prompt_tokens);
            }
            pending.close();
            answer
        }
        Ok(None) | Err(_) => {
            log::info!("cell: the owner does not answer owner={owner}");
            let until = Instant::now() + SILENCE_TIME;
            host.admission.silent_until.borrow_mut().insert(owner.clone(), until);
            Answer::Silent
        }
    }
}

/// Reports the held reservations to their owners at intervals, until the task is dropped.
pub(crate) async fn report(host: Rc<EntryHost>) {
    let mut last_owners: Vec<SocketAddr> = Vec::new();
    loop {
        let mut reports = host.admission.reports(&host);
        let owners = reports.keys().copied().collect();
        // An owner without reservations gets an empty report, which ends those whose release was
        // lost.
        for owner in std::mem::replace(&mut last_owners, owners) {
            reports.entry(owner).or_default();
        }
        for (owner, reservations) in reports {
            host.send_admission(owner, AdmissionMessage::Report { reservations });
        }
        runtime::sleep(REPORT_INTERVAL).await;
    }
}
