//! Objects with revisions and a short history for reads that lag.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// States of one object that are kept for reads that lag.
const MAX_HISTORY: usize = 64;

/// What must hold for a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expected {
    Absent,
    Revision(u64),
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    Done(u64),
    Conflict(Option<u64>),
}

/// One state of an object; no value means deleted.
#[derive(Clone, Debug)]
struct Entry {
    at: Instant,
    revision: u64,
    value: Option<Vec<u8>>,
}

/// All objects; revisions rise over all of them.
#[derive(Debug, Default)]
pub(crate) struct ObjectStore {
    objects: BTreeMap<String, Vec<Entry>>,
    last_revision: u64,
}

impl ObjectStore {
    /// Revision and value as they were `lag` before `now`.
    pub(crate) fn get(&self, name: &str, lag: Duration, now: Instant) -> Option<(u64, &[u8])> {
        let history = self.objects.get(name)?;
        let entry = history.iter().rev().find(|it| it.at + lag <= now)?;
        entry.value.as_deref().map(|it| (entry.revision, it))
    }

    /// Names and revisions of the objects whose names begin with `prefix`.
    pub(crate) fn list(&self, prefix: &str, lag: Duration, now: Instant) -> Vec<(String, u64)> {
        let named = self.objects.keys().filter(|it| it.starts_with(prefix));
        named.filter_map(|it| self.get(it, lag, now).map(|got| (it.clone(), got.0))).collect()
    }

    pub(crate) fn put(
        &mut self,
        name: &str,
        value: Vec<u8>,
        expected: Expected,
        now: Instant,
    ) -> Written {
        self.write(name, Some(value), expected, now)
    }

    pub(crate) fn delete(&mut self, name: &str, revision: u64, now: Instant) -> Written {
        self.write(name, None, Expected::Revision(revision), now)
    }

    fn write(
        &mut self,
        name: &str,
        value: Option<Vec<u8>>,
        expected: Expected,
        now: Instant,
    ) -> Written {
        let current = self.get(name, Duration::ZERO, now).map(|it| it.0);
        let is_met = match expected {
            Expected::Absent => current.is_none(),
            Expected::Revision(it) => current == Some(it),
        };
        if !is_met {
            return Written::Conflict(current);
        }
        self.last_revision += 1;
        let revision = self.last_revision;
        let history = self.objects.entry(name.to_owned()).or_default();
        history.push(Entry { at: now, revision, value });
        if history.len() > MAX_HISTORY {
            history.remove(0);
        }
        Written::Done(revision)
    }
}
