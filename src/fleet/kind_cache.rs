//! What a process has learned from the store, for the processes that follow it.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use event_listener::Event;

use crate::{
    ids::Revision,
    platform::store::{Change, Changes, Listing, StoreError, StoredObject},
    runtime,
};

/// Changes of one kind that are kept.
const MAX_CHANGES: usize = 512;

/// Objects and latest changes of each kind that is followed.
#[derive(Debug, Default)]
pub struct KindCache {
    kinds: RefCell<HashMap<&'static str, CachedKind>>,
    changed: Event,
}

#[derive(Debug, Default)]
struct CachedKind {
    objects: BTreeMap<String, StoredObject>,
    /// Changes with the revision at which they were known, oldest first.
    changes: VecDeque<(Revision, Change)>,
    /// Revision after which all changes are kept.
    kept_after: Revision,
    /// Revision of the store up to which all is known.
    at: Revision,
    /// Whether the kind is followed at the moment.
    is_current: bool,
}

impl KindCache {
    /// Takes a whole list.
    pub fn list(&self, kind: &'static str, listing: &Listing) {
        let objects = listing.objects.iter().map(|it| (it.metadata.name.clone(), it.clone()));
        let cached = CachedKind {
            objects: objects.collect(),
            changes: VecDeque::new(),
            kept_after: listing.at,
            at: listing.at,
            is_current: true,
        };
        self.kinds.borrow_mut().insert(kind, cached);
        self.changed.notify(usize::MAX);
    }

    /// Takes changes; the kind is followed without a gap again.
    pub fn change(&self, kind: &'static str, changes: &Changes) {
        let mut kinds = self.kinds.borrow_mut();
        let Some(cached) = kinds.get_mut(kind) else { return };
        for change in &changes.events {
            let name = change.object.metadata.name.clone();
            match change.deleted {
                true => drop(cached.objects.remove(&name)),
                false => drop(cached.objects.insert(name, change.object.clone())),
            }
            cached.changes.push_back((changes.at, change.clone()));
        }
        while cached.changes.len() > MAX_CHANGES {
            let oldest = cached.changes.pop_front();
            cached.kept_after = oldest.map_or(cached.kept_after, |it| it.0);
        }
        cached.at = changes.at;
        cached.is_current = true;
        self.changed.notify(usize::MAX);
    }

    /// Notes that a kind is not followed at the moment.
    pub fn lose(&self, kind: &'static str) {
        let mut kinds = self.kinds.borrow_mut();
        if let Some(cached) = kinds.get_mut(kind) {
            cached.is_current = false;
            self.changed.notify(usize::MAX);
        }
    }

    /// Whether all of `kinds` are followed at the moment.
    pub fn is_current(&self, kinds: &[&str]) -> bool {
        let cached = self.kinds.borrow();
        kinds.iter().all(|it| cached.get(it).is_some_and(|it| it.is_current))
    }

    /// All objects of a kind; turned away unless the kind is followed.
    pub fn listing(&self, kind: &str) -> Result<Listing, StoreError> {
        let kinds = self.kinds.borrow();
        let cached = current(&kinds, kind)?;
        Ok(Listing { objects: cached.objects.values().cloned().collect(), at: cached.at })
    }

    /// Changes after revision `at`, waiting at most `wait` for one.
    pub async fn changes(
        &self,
        kind: &str,
        at: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let until = Instant::now() + wait;
        loop {
            let listener = self.changed.listen();
            let changes = self.changes_now(kind, at)?;
            let left = until.saturating_duration_since(Instant::now());
            if !changes.events.is_empty() || left.is_zero() {
                return Ok(changes);
            }
            if runtime::timeout(left, listener).await.is_err() {
                return self.changes_now(kind, at);
            }
        }
    }

    fn changes_now(&self, kind: &str, at: Revision) -> Result<Changes, StoreError> {
        let kinds = self.kinds.borrow();
        let cached = current(&kinds, kind)?;
        if at < cached.kept_after {
            return Err(StoreError::HistoryGone);
        }
        let after = cached.changes.iter().filter(|it| it.0 > at);
        Ok(Changes { events: after.map(|it| it.1.clone()).collect(), at: cached.at.max(at) })
    }
}

fn current<'a>(
    kinds: &'a HashMap<&'static str, CachedKind>,
    kind: &str,
) -> Result<&'a CachedKind, StoreError> {
    let cached = kinds.get(kind).filter(|it| it.is_current);
    cached.ok_or(StoreError::TurnedAway(STATUS_NOT_FOLLOWED))
}

/// Status of an answer about a kind that is not followed at the moment.
const STATUS_NOT_FOLLOWED: u16 = 503;
