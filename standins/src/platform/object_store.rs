//! Objects with revisions, and with a short history from which stale reads are served.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The maximum number of states kept per object for stale reads.
const MAX_HISTORY: usize = 64;

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Precondition {
    Absent,
    Revision(u64),
}

/// The result of a write, with the revision that the object has now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    Done(u64),
    Conflict(Option<u64>),
}

/// One state of an object; it has no value if the object was deleted.
#[derive(Clone, Debug)]
struct ObjectState {
    at: Instant,
    revision: u64,
    value: Option<Vec<u8>>,
}

/// All objects with their histories; each write to any object gets the next revision.
#[derive(Debug, Default)]
pub(crate) struct ObjectStore {
    objects: BTreeMap<String, Vec<ObjectState>>,
    last_revision: u64,
}

impl ObjectStore {
    /// Returns the revision and value that the object had `lag` before `now`.
    pub(crate) fn get(&self, name: &str, lag: Duration, now: Instant) -> Option<(u64, &[u8])> {
        let history = self.objects.get(name)?;
        let state = history.iter().rev().find(|it| it.at + lag <= now)?;
        state.value.as_deref().map(|it| (state.revision, it))
    }

    /// Returns the names and revisions that the objects with this prefix had `lag` before `now`.
    pub(crate) fn list(&self, prefix: &str, lag: Duration, now: Instant) -> Vec<(String, u64)> {
        let matching = self.objects.keys().filter(|it| it.starts_with(prefix));
        matching
            .filter_map(|it| self.get(it, lag, now).map(|found| (it.clone(), found.0)))
            .collect()
    }

    /// Goes back to the state of `instant`, and gives the revisions since then out again.
    pub(crate) fn restore(&mut self, instant: Instant) {
        for history in self.objects.values_mut() {
            history.retain(|it| it.at <= instant);
        }
        self.objects.retain(|_, it| !it.is_empty());
        let revisions = self.objects.values().flatten().map(|it| it.revision);
        self.last_revision = revisions.max().unwrap_or(0);
    }

    pub(crate) fn put(
        &mut self,
        name: &str,
        value: Vec<u8>,
        precondition: Precondition,
        now: Instant,
    ) -> WriteOutcome {
        self.write(name, Some(value), precondition, now)
    }

    pub(crate) fn delete(&mut self, name: &str, revision: u64, now: Instant) -> WriteOutcome {
        self.write(name, None, Precondition::Revision(revision), now)
    }

    fn write(
        &mut self,
        name: &str,
        value: Option<Vec<u8>>,
        precondition: Precondition,
        now: Instant,
    ) -> WriteOutcome {
        let current = self.get(name, Duration::ZERO, now).map(|it| it.0);
        let is_met = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Revision(it) => current == Some(it),
        };
        if !is_met {
            return WriteOutcome::Conflict(current);
        }
        self.last_revision += 1;
        let revision = self.last_revision;
        let history = self.objects.entry(name.to_owned()).or_default();
        history.push(ObjectState { at: now, revision, value });
        if history.len() > MAX_HISTORY {
            history.remove(0);
        }
        WriteOutcome::Done(revision)
    }
}
