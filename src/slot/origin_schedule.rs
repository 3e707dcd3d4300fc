//! Schedules a slot's fetches from the origin for one version and announces them to other slots.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    ids::WeightsVersion,
    platform::{engine_api::EngineError, origin_api::OriginApi},
    slot::slot_state::SlotState,
};

/// Time for which the origin is not called after a failure.
const ORIGIN_BACKOFF: Duration = Duration::from_millis(300);
/// Interval between two reports that the origin does not respond; shorter than the time for which
/// other slots consider such a report valid.
const UNREACHABLE_REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// Share of a piece's transfer time on the origin's link after which the next piece is requested;
/// below 1 so that the link is never idle.
const PACING_SHARE: f64 = 0.9;
/// Longest interval between the scheduled fetches of two pieces, whatever rate is configured.
const MAX_INTERVAL: Duration = Duration::from_secs(60);

/// A schedule of the origin fetches of one version, with backoff after failures and claims for
/// other slots.
///
/// It paces the fetches: slots that fetched all their pieces at once would only share the origin's
/// link.
pub(crate) struct OriginSchedule {
    slot: Rc<SlotState>,
    model: String,
    version: WeightsVersion,
    api: OriginApi,
    backoff_until: Cell<Option<Instant>>,
    /// The start of the schedule, moved to the time of each failure.
    schedule_start: Cell<Instant>,
    has_failed: Cell<bool>,
    /// Whether the scheduled fetches of this slot were over when it obtained the manifest.
    has_joined_late: Cell<bool>,
    /// When other slots were last notified that the origin does not respond.
    unreachable_reported_at: Cell<Option<Instant>>,
}

impl OriginSchedule {
    /// Creates the schedule of one version, starting now.
    pub(crate) fn new(slot: Rc<SlotState>, model: &str, version: WeightsVersion) -> OriginSchedule {
        OriginSchedule {
            slot,
            model: model.to_owned(),
            version,
            api: OriginApi::default(),
            backoff_until: Cell::new(None),
            schedule_start: Cell::new(Instant::now()),
            has_failed: Cell::new(false),
            has_joined_late: Cell::new(false),
            unreachable_reported_at: Cell::new(None),
        }
    }

    /// Starts the schedule now; a slot that `has_joined_late` is not paced.
    pub(crate) fn start(&self, has_joined_late: bool) {
        self.schedule_start.set(Instant::now());
        self.has_joined_late.set(has_joined_late);
    }

    /// Returns the time since the start of the schedule.
    pub(crate) fn elapsed(&self) -> Duration {
        self.schedule_start.get().elapsed()
    }

    /// Returns `true` unless this slot backs off from the origin after a failure.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        self.backoff_until.get().is_none_or(|it| it <= now)
    }

    /// Returns the interval between the scheduled fetches of two pieces, slightly less than the
    /// transfer time of a piece on the origin's link.
    ///
    /// It is zero after a failure, for a slot that joined late and when the link's rate is unknown.
    pub(crate) fn pacing_interval(&self) -> Duration {
        let pool = self.slot.pool.borrow();
        let is_paced = !self.has_failed.get() && !self.has_joined_late.get();
        let Some(pool) = pool.as_ref().filter(|_| is_paced) else { return Duration::ZERO };
        let rate = pool.origin.as_ref().map_or(0.0, |it| it.bytes_per_s);
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = PACING_SHARE * f64::from(pool.engine_spec.piece_bytes) / rate;
        Duration::try_from_secs_f64(seconds).map_or(MAX_INTERVAL, |it| it.min(MAX_INTERVAL))
    }

    /// Fetches a piece from the origin and announces to other slots that it is being fetched.
    pub(crate) async fn fetch_piece(&self, number: u32) -> Result<Vec<u8>, EngineError> {
        let origin = self.slot.pool.borrow().as_ref().and_then(|it| it.origin.clone());
        let Some(origin) = origin else { return Err(EngineError::Refused(404)) };
        let id = (self.version, number as u16);
        self.slot.fetching.borrow_mut().insert(id);
        // After a failed call this one is only a probe and claims no piece.
        if self.slot.reaches_origin.get() {
            self.slot.announce(self.version, &self.slot.other_members(), false).await;
        }
        let res = self.api.read_piece(&origin, &self.model, self.version, number).await;
        self.slot.fetching.borrow_mut().remove(&id);
        res
    }

    /// Records that the origin sent a piece that matches the manifest.
    pub(crate) fn record_success(&self) {
        self.slot.reaches_origin.set(true);
    }

    /// Records that the origin sent nothing or wrong bytes; it is not called for `ORIGIN_BACKOFF`.
    pub(crate) fn record_failure(&self) {
        let now = Instant::now();
        self.backoff_until.set(Some(now + ORIGIN_BACKOFF));
        self.schedule_start.set(now);
        self.has_failed.set(true);
    }

    /// Announces again to all slots which pieces this one is fetching from the origin.
    pub(crate) async fn renew_claims(&self) {
        let is_fetching = self.slot.fetching.borrow().iter().any(|it| it.0 == self.version);
        if is_fetching && self.slot.reaches_origin.get() {
            self.slot.announce(self.version, &self.slot.other_members(), false).await;
        }
    }

    /// Notifies all slots that this one gets no response from the origin, so that they take over
    /// its fetches; at most once per `UNREACHABLE_REPORT_INTERVAL`.
    pub(crate) async fn report_unreachable(&self) {
        self.slot.reaches_origin.set(false);
        if self
            .unreachable_reported_at
            .get()
            .is_some_and(|it| it.elapsed() < UNREACHABLE_REPORT_INTERVAL)
        {
            return;
        }
        self.unreachable_reported_at.set(Some(Instant::now()));
        self.slot.announce(self.version, &self.slot.other_members(), false).await;
    }
}
