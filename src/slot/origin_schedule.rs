//! What a slot does at the origin for one version, and what it tells others of it.

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

/// Time for which the origin is not asked after a failure.
const ORIGIN_BACKOFF: Duration = Duration::from_millis(300);
/// Pause between two messages that the origin does not answer; shorter than the time for which it is believed.
const UNREACHABLE_REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// Share of the time that a piece takes on the origin's link after which the next one is asked
/// for, so that the link is never idle.
const PACING_SHARE: f64 = 0.9;

/// Turns of one slot at the origin for the pieces of one version.
pub(crate) struct OriginSchedule {
    slot: Rc<SlotState>,
    model: String,
    version: WeightsVersion,
    api: OriginApi,
    backoff_until: Cell<Option<Instant>>,
    /// Begin of the time by which turns are told.
    schedule_start: Cell<Instant>,
    has_failed: Cell<bool>,
    /// Whether the turns of this slot are over already.
    has_joined_late: Cell<bool>,
    /// When the others were told last that the origin does not answer.
    unreachable_reported_at: Cell<Option<Instant>>,
}

impl OriginSchedule {
    /// Makes the turns of one version.
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

    /// Counts turns from now on; one that `has_joined_late` does not wait for paced turns.
    pub(crate) fn start(&self, has_joined_late: bool) {
        self.schedule_start.set(Instant::now());
        self.has_joined_late.set(has_joined_late);
    }

    /// Time by which turns are told.
    pub(crate) fn elapsed(&self) -> Duration {
        self.schedule_start.get().elapsed()
    }

    /// Whether the origin may be asked.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        self.backoff_until.get().is_none_or(|it| it <= now)
    }

    /// Time that one piece takes on the origin's link.
    pub(crate) fn pacing_interval(&self) -> Duration {
        let pool = self.slot.pool.borrow();
        let is_paced = !self.has_failed.get() && !self.has_joined_late.get();
        let Some(pool) = pool.as_ref().filter(|_| is_paced) else { return Duration::ZERO };
        let rate = pool.origin.as_ref().map_or(0.0, |it| it.bytes_per_s);
        match rate > 0.0 {
            true => {
                Duration::from_secs_f64(PACING_SHARE * f64::from(pool.figures.piece_bytes) / rate)
            }
            false => Duration::ZERO,
        }
    }

    /// Reads a piece, and tells others that it is on its way.
    pub(crate) async fn fetch_piece(&self, number: u32) -> Result<Vec<u8>, EngineError> {
        let origin = self.slot.pool.borrow().as_ref().and_then(|it| it.origin.clone());
        let Some(origin) = origin else { return Err(EngineError::Refused(404)) };
        let id = (self.version, number as u16);
        self.slot.fetching.borrow_mut().insert(id);
        // A slot that the origin did not answer last only probes.
        if self.slot.reaches_origin.get() {
            self.slot.announce(self.version, &self.slot.other_members(), false).await;
        }
        let res = self.api.piece(&origin, &self.model, self.version, number).await;
        self.slot.fetching.borrow_mut().remove(&id);
        res
    }

    /// Notes that the origin gave a right piece.
    pub(crate) fn record_success(&self) {
        self.slot.reaches_origin.set(true);
    }

    /// Notes that the origin gave nothing, or wrong bytes; it rests for a while.
    pub(crate) fn record_failure(&self) {
        let now = Instant::now();
        self.backoff_until.set(Some(now + ORIGIN_BACKOFF));
        self.schedule_start.set(now);
        self.has_failed.set(true);
    }

    /// Tells all slots again which pieces this one is fetching from the origin.
    pub(crate) async fn renew_claims(&self) {
        let is_fetching = self.slot.fetching.borrow().iter().any(|it| it.0 == self.version);
        if is_fetching && self.slot.reaches_origin.get() {
            self.slot.announce(self.version, &self.slot.other_members(), false).await;
        }
    }

    /// Tells all slots, from time to time, that the origin does not answer this one.
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
