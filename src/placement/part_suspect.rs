//! The evidence against a part of prompts that is not in quarantine.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    ids::BackendId,
    placement::{Fingerprint, PartCrash},
};

/// Time after a recorded crash within which a request counts as sent before it, since messages of
/// two hosts on the same crash may be this far apart.
const MESSAGE_JITTER: Duration = Duration::from_millis(100);
/// Distinct requests after which two parts are taken to come always together.
const MIN_TOGETHER: usize = 3;
/// Maximum number of engines that are recorded for one generation.
const MAX_ENGINES: usize = 64;

/// A part of prompts that was in a request during whose start an engine's process died.
#[derive(Clone, Debug)]
pub(crate) struct PartSuspect {
    generations: Vec<Generation>,
    last_crash: Instant,
    last_clearing: Option<Instant>,
}

/// Crashes of requests that were in progress together, so that one cause may explain them all.
#[derive(Clone, Debug)]
struct Generation {
    opened: Instant,
    request: Fingerprint,
    engines: BTreeMap<BackendId, Instant>,
}

impl PartSuspect {
    pub(crate) fn new(now: Instant) -> PartSuspect {
        PartSuspect { generations: Vec::new(), last_crash: now, last_clearing: None }
    }

    /// Records a crash of an engine; further reports on the same engine count no more.
    pub(crate) fn record_crash(&mut self, crash: &PartCrash, now: Instant) {
        let engine = &crash.engine;
        if self.has_engine(engine) {
            return;
        }
        self.last_crash = now;
        let sent_ago = Duration::from_millis(crash.sent_ago_ms.into());
        let is_sent_later =
            |it: &Generation| now.duration_since(it.opened) > sent_ago + MESSAGE_JITTER;
        match self.generations.last_mut() {
            Some(last) if !is_sent_later(last) => {
                if last.engines.len() < MAX_ENGINES {
                    last.engines.insert(engine.clone(), now);
                }
            }
            _ => self.generations.push(Generation {
                opened: now,
                request: crash.request,
                engines: BTreeMap::from([(engine.clone(), now)]),
            }),
        }
    }

    /// Drops all evidence, since an answer was written on the part.
    pub(crate) fn clear(&mut self, now: Instant) {
        self.generations.clear();
        self.last_clearing = Some(now);
    }

    /// Drops the crash of an engine that another part explains.
    pub(crate) fn drop_crash(&mut self, engine: &BackendId) {
        self.generations.iter_mut().for_each(|it| {
            it.engines.remove(engine);
        });
        self.generations.retain(|it| !it.engines.is_empty());
    }

    pub(crate) fn first_counted(&self) -> Option<Instant> {
        self.generations.first().map(|it| it.opened)
    }

    pub(crate) fn last_counted(&self) -> Option<Instant> {
        self.generations.last().map(|it| it.opened)
    }

    /// The number of crashes one after the other; each has engines of its own.
    pub(crate) fn n_generations(&self) -> u32 {
        self.generations.len() as u32
    }

    /// The number of distinct requests among the crashes that count.
    pub(crate) fn n_requests(&self) -> usize {
        self.generations.iter().map(|it| it.request).collect::<BTreeSet<Fingerprint>>().len()
    }

    /// Returns `true` if the other part rather explains the crashes of both.
    pub(crate) fn is_outweighed_by(&self, other: &PartSuspect) -> bool {
        let (is_cleared, is_other_cleared) =
            (self.last_clearing.is_some(), other.last_clearing.is_some());
        if is_cleared != is_other_cleared {
            return is_cleared;
        }
        let is_inseparable = || self.has_same_requests(other) && self.n_requests() >= MIN_TOGETHER;
        other.engines().count() >= self.engines().count() && !is_inseparable()
    }

    /// The engines whose crashes were recorded until then.
    pub(crate) fn engines_until(&self, until: Instant) -> impl Iterator<Item = &BackendId> {
        let all = self.generations.iter().flat_map(|it| &it.engines);
        all.filter(move |it| *it.1 <= until).map(|it| it.0)
    }

    pub(crate) fn has_engine(&self, engine: &BackendId) -> bool {
        self.generations.iter().any(|it| it.engines.contains_key(engine))
    }

    /// Returns `true` for parts that always come together.
    pub(crate) fn has_same_requests(&self, other: &PartSuspect) -> bool {
        let requests = |it: &PartSuspect| -> Vec<Fingerprint> {
            it.generations.iter().map(|it| it.request).collect()
        };
        requests(self) == requests(other)
    }

    pub(crate) fn engines(&self) -> impl Iterator<Item = &BackendId> {
        self.generations.iter().flat_map(|it| it.engines.keys())
    }

    pub(crate) fn last_crash(&self) -> Instant {
        self.last_crash
    }

    pub(crate) fn last_clearing(&self) -> Option<Instant> {
        self.last_clearing
    }
}
