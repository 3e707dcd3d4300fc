//! What a fetch knows of one neighbour.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Sender;
use async_executor::Task;

use crate::{
    ids::HostId,
    membership::MemberRecord,
    peer::HaveAnswer,
    runtime,
    weights::{
        chunk_picker::PeerView, deadlines, fetch_context::FetchContext, fetcher::FetchEvent,
    },
};

/// Longest wait for news in one call.
const NEWS_WAIT: Duration = Duration::from_secs(10);
/// Pause after a call for news failed; doubled with each further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest pause after failures.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Requests in flight to one neighbour at most.
const MAX_REQUESTS: u32 = 3;

/// One neighbour; dropping it ends the calls for news.
#[derive(Debug)]
pub(crate) struct Neighbour {
    pub(crate) record: Arc<MemberRecord>,
    pub(crate) holds: Vec<bool>,
    pub(crate) n_known: u32,
    pub(crate) has_answered: bool,
    pub(crate) n_requests: u32,
    queued: u32,
    answer_time: Option<Duration>,
    rests_until: Option<Instant>,
    _news_task: Task<()>,
}

impl Neighbour {
    pub(crate) fn new(
        record: Arc<MemberRecord>,
        context: &FetchContext,
        events: Sender<FetchEvent>,
    ) -> Neighbour {
        let news_task = runtime::spawn(ask_for_news(record.clone(), context.clone(), events));
        Neighbour {
            record,
            holds: vec![false; context.holding.manifest().chunks.len()],
            n_known: 0,
            has_answered: false,
            n_requests: 0,
            queued: 0,
            answer_time: None,
            rests_until: None,
            _news_task: news_task,
        }
    }

    /// What the choice of the next chunk needs.
    pub(crate) fn view(&self, now: Instant) -> PeerView<'_> {
        let is_resting = self.rests_until.is_some_and(|it| it > now);
        PeerView {
            holds: &self.holds,
            load: self.queued + self.n_requests,
            is_available: !is_resting && self.n_requests < MAX_REQUESTS,
        }
    }

    /// Takes in which chunks the neighbour got.
    pub(crate) fn learn(&mut self, answer: &HaveAnswer) {
        if answer.total < self.n_known {
            self.holds.fill(false);
        }
        for idx in &answer.since {
            if let Some(holds) = self.holds.get_mut(*idx as usize) {
                *holds = true;
            }
        }
        self.n_known = answer.total;
    }

    /// Forgets what the neighbour holds; its next answer tells all.
    pub(crate) fn forget_chunks(&mut self) {
        self.holds.fill(false);
        self.n_known = 0;
    }

    /// Notes how long an answer took and what waits at the neighbour.
    pub(crate) fn answered(&mut self, elapsed: Duration, queued: u32) {
        self.answer_time = Some(deadlines::mean_answer_time(self.answer_time, elapsed));
        self.queued = queued;
    }

    /// Notes that an answer is late; the neighbour then counts as that slow.
    pub(crate) fn is_late(&mut self, elapsed: Duration, now: Instant) {
        self.answer_time = Some(self.answer_time.map_or(elapsed, |it| it.max(elapsed)));
        self.rest(now + elapsed);
    }

    /// The neighbour is not asked before `until`.
    pub(crate) fn rest(&mut self, until: Instant) {
        self.rests_until = Some(self.rests_until.map_or(until, |it| it.max(until)));
    }

    /// Time after which a request to the neighbour is late.
    pub(crate) fn hedge_delay(&self, chunk_time: Duration) -> Duration {
        deadlines::hedge_delay(self.answer_time, chunk_time)
    }

    /// The neighbour's host id.
    pub(crate) fn host(&self) -> &HostId {
        &self.record.host
    }
}

/// Asks a neighbour again and again for what it got; each call waits at the neighbour for news.
async fn ask_for_news(
    record: Arc<MemberRecord>,
    context: FetchContext,
    events: Sender<FetchEvent>,
) {
    let mut n_known = 0;
    let mut delay = FIRST_RETRY_DELAY;
    let mut wait = Duration::ZERO;
    loop {
        let answer = context.ask_have(record.peer_address, n_known, wait).await;
        let is_reachable = answer.is_ok();
        let answer = answer.ok().flatten();
        n_known = answer.as_ref().map_or(0, |it| it.total);
        wait = NEWS_WAIT;
        let news = FetchEvent::News { host: record.host.clone(), answer };
        if events.send(news).await.is_err() {
            return;
        }
        if is_reachable {
            delay = FIRST_RETRY_DELAY;
            continue;
        }
        runtime::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}
