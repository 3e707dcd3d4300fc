//! An engine that reads prompts and writes responses in passes.

use std::collections::VecDeque;

/// The number of requests that an engine processes at once.
pub(crate) const SLOTS: u32 = 12;
/// The number of steps between two events of a stream.
pub(crate) const STEPS_PER_EVENT: u32 = 7;
pub(crate) const READ_TOKENS_PER_MS: f64 = 30.6;
pub(crate) const STEP_MS: f64 = 6.73;
const STEP_PER_REQUEST_MS: f64 = 0.05;
const STEP_PER_1000_TOKENS_MS: f64 = 0.02;
const MAX_TOKENS_READ: u32 = 2048;

#[derive(Clone, Debug)]
struct Running {
    request: usize,
    unread_tokens: u32,
    n_events_left: u32,
    context_tokens: u32,
    is_begun: bool,
}

/// What happened to a request in a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    FirstEvent(usize),
    Ended(usize),
}

/// An engine of the cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    running: Vec<Running>,
    queued: VecDeque<Running>,
    pub(crate) is_in_pass: bool,
    pub(crate) is_lost: bool,
}

impl Engine {
    pub(crate) fn add(&mut self, request: usize, prompt_tokens: u32, n_events: u32) {
        self.queued.push_back(Running {
            request,
            unread_tokens: prompt_tokens.max(1),
            n_events_left: n_events,
            context_tokens: prompt_tokens,
            is_begun: false,
        });
    }

    /// Begins a pass; returns its duration in milliseconds, or `None` if there is nothing to do.
    pub(crate) fn begin_pass(&mut self) -> Option<f64> {
        while self.running.len() < SLOTS as usize {
            let Some(next) = self.queued.pop_front() else { break };
            self.running.push(next);
        }
        if self.running.is_empty() {
            return None;
        }
        let mut n_read = 0;
        for request in &mut self.running {
            let tokens = request.unread_tokens.min(MAX_TOKENS_READ - n_read);
            request.unread_tokens -= tokens;
            n_read += tokens;
        }
        let writing = || self.running.iter().filter(|it| it.unread_tokens == 0);
        let context: u32 = writing().map(|it| it.context_tokens).sum();
        let step_ms = match writing().count() {
            0 => 0.0,
            n => {
                let context_ms = STEP_PER_1000_TOKENS_MS * f64::from(context) / 1000.0;
                STEP_MS + STEP_PER_REQUEST_MS * n as f64 + context_ms
            }
        };
        self.is_in_pass = true;
        Some(f64::from(n_read) / READ_TOKENS_PER_MS + step_ms * f64::from(STEPS_PER_EVENT))
    }

    /// Ends a pass, in which each request that had been read wrote an event.
    pub(crate) fn end_pass(&mut self) -> Vec<Progress> {
        self.is_in_pass = false;
        let mut progress = Vec::new();
        for request in self.running.iter_mut().filter(|it| it.unread_tokens == 0) {
            if !std::mem::replace(&mut request.is_begun, true) {
                progress.push(Progress::FirstEvent(request.request));
            }
            request.n_events_left -= 1;
            request.context_tokens += STEPS_PER_EVENT;
            if request.n_events_left == 0 {
                progress.push(Progress::Ended(request.request));
            }
        }
        self.running.retain(|it| it.n_events_left > 0);
        progress
    }
}
