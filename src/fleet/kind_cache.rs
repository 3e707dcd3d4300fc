//! Caches the store's objects and latest changes, which an entry host serves to other processes.
//!
//! When the store comes back from an older copy, the cache keeps documents with greater numbers, so
//! that a process that starts learns the newest ones from it.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use event_listener::Event;

use crate::{
    clock,
    platform::{
        store::{Change, Changes, Listing, StoreError, StoredObject},
        wire_objects::rising_number,
        StorePoint,
    },
    runtime,
};

/// Maximum number of changes kept for each kind.
const MAX_CHANGES: usize = 512;

/// The objects and latest changes of each kind that this process watches.
///
/// Other processes list and watch this cache instead of the store, which could not serve the
/// watches of all processes.
#[derive(Debug, Default)]
pub struct KindCache {
    kinds: RefCell<HashMap<&'static str, CachedKind>>,
    changed: Event,
}

#[derive(Debug, Default)]
struct CachedKind {
    objects: BTreeMap<String, StoredObject>,
    /// Names of the documents that the store has lost, or has with smaller numbers.
    retained: BTreeSet<String>,
    /// The latest changes, oldest first.
    changes: VecDeque<CachedChange>,
    /// Point after which `changes` lacks no change.
    complete_since: StorePoint,
    /// Point in the store's history that the cache has reached.
    at: StorePoint,
    /// Whether the watch of this kind is up to date.
    is_current: bool,
}

/// A change as the cache got it.
#[derive(Clone, Debug)]
struct CachedChange {
    /// The point of the update that contained it.
    at: StorePoint,
    change: Change,
    /// Time at which it was applied, and its maximum age then.
    applied: Instant,
    max_age: Duration,
}

impl KindCache {
    /// Replaces the objects of a kind with a complete list, but keeps documents that the store has lost
    /// or has with smaller numbers since it came back from an older copy, and those that were overwritten
    /// by what has no number.
    pub fn replace(&self, kind: &'static str, listing: &Listing) {
        let objects = listing.objects.iter().map(|it| (it.metadata.name.clone(), it.clone()));
        let mut objects: BTreeMap<String, StoredObject> = objects.collect();
        let mut retained = BTreeSet::new();
        if let Some(mut before) = self.kinds.borrow_mut().remove(kind) {
            // Within a generation a list is complete, but for what the store had lost before, and for
            // documents that are listed without a number that can be read.
            let is_same_generation = before.at.generation >= listing.at.generation;
            let is_unreadable =
                |it: &StoredObject| is_same_generation && rising_number(kind, it).is_none();
            let unreadable: BTreeSet<String> =
                objects.values().filter(|it| is_unreadable(it)).map(name_of).collect();
            if is_same_generation {
                let is_kept = |it: &String| before.retained.contains(it) || unreadable.contains(it);
                before.objects.retain(|it, _| is_kept(it));
            }
            retained = keep_newer(kind, before.objects, &mut objects);
            // A later list without them removes them.
            retained.retain(|it| before.retained.contains(it) || !unreadable.contains(it));
        }
        let cached = CachedKind {
            objects,
            retained,
            changes: VecDeque::new(),
            complete_since: listing.at,
            at: listing.at,
            is_current: true,
        };
        self.kinds.borrow_mut().insert(kind, cached);
        self.changed.notify(usize::MAX);
    }

    /// Applies the changes after the cached revision, and marks the kind as current.
    pub fn apply(&self, kind: &'static str, changes: &Changes) {
        let mut kinds = self.kinds.borrow_mut();
        let Some(cached) = kinds.get_mut(kind) else { return };
        let applied = clock::now();
        for change in &changes.events {
            let name = change.object.metadata.name.clone();
            let number = rising_number(kind, &change.object);
            let known = cached.objects.get(&name).and_then(|it| rising_number(kind, it));
            if !change.deleted && number < known {
                continue;
            }
            // Watchers need only the newest change of an object. Load pattern: many versions of a
            // large charter in quick succession, to hundreds of watchers.
            cached.changes.retain(|it| it.change.object.metadata.name != name);
            cached.retained.remove(&name);
            match change.deleted {
                true => drop(cached.objects.remove(&name)),
                false => drop(cached.objects.insert(name, change.object.clone())),
            }
            cached.changes.push_back(CachedChange {
                at: changes.at,
                change: change.clone(),
                applied,
                max_age: changes.max_age,
            });
        }
        while cached.changes.len() > MAX_CHANGES {
            let oldest = cached.changes.pop_front();
            cached.complete_since = oldest.map_or(cached.complete_since, |it| it.at);
        }
        cached.at = changes.at;
        cached.is_current = true;
        self.changed.notify(usize::MAX);
    }

    /// Adds documents that another entry host knows, where they are newer. Watchers learn them by its
    /// beacons, as they have no revision in this generation of the store.
    pub fn learn(&self, kind: &'static str, objects: &[StoredObject]) {
        if let Some(cached) = self.kinds.borrow_mut().get_mut(kind) {
            let known = objects.iter().map(|it| (it.metadata.name.clone(), it.clone()));
            cached.retained.extend(keep_newer(kind, known.collect(), &mut cached.objects));
        }
    }

    /// Marks a kind as not current, because its watch was interrupted.
    pub fn mark_stale(&self, kind: &'static str) {
        let mut kinds = self.kinds.borrow_mut();
        if let Some(cached) = kinds.get_mut(kind) {
            cached.is_current = false;
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns `true` if all `kinds` are current.
    pub fn is_current(&self, kinds: &[&str]) -> bool {
        let cached = self.kinds.borrow();
        kinds.iter().all(|it| cached.get(it).is_some_and(|it| it.is_current))
    }

    /// Returns all objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns `StoreError::Refused` if the kind is not current.
    pub fn listing(&self, kind: &str) -> Result<Listing, StoreError> {
        let kinds = self.kinds.borrow();
        let cached = current_kind(&kinds, kind)?;
        Ok(Listing { objects: cached.objects.values().cloned().collect(), at: cached.at })
    }

    /// Returns the changes after `at`; waits at most `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns `StoreError::HistoryLost` if the cache lacks changes since `at`, also because the
    /// store came back from an older copy; `StoreError::Behind` if `at` is of a later generation of
    /// the store; and `StoreError::Refused` if the kind is not current.
    pub async fn changes(
        &self,
        kind: &str,
        at: StorePoint,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let deadline = Instant::now() + wait;
        loop {
            let listener = self.changed.listen();
            let changes = self.available_changes(kind, at)?;
            let left = deadline.saturating_duration_since(Instant::now());
            if !changes.events.is_empty() || left.is_zero() {
                return Ok(changes);
            }
            if runtime::timeout(left, listener).await.is_err() {
                return self.available_changes(kind, at);
            }
        }
    }

    fn available_changes(&self, kind: &str, at: StorePoint) -> Result<Changes, StoreError> {
        let kinds = self.kinds.borrow();
        let cached = current_kind(&kinds, kind)?;
        if at.generation > cached.at.generation {
            return Err(StoreError::Behind);
        }
        if at < cached.complete_since {
            return Err(StoreError::HistoryLost);
        }
        let after: Vec<&CachedChange> = cached.changes.iter().filter(|it| it.at > at).collect();
        let max_age = after.iter().map(|it| it.max_age + clock::elapsed(it.applied)).max();
        Ok(Changes {
            events: after.into_iter().map(|it| it.change.clone()).collect(),
            at: cached.at.max(at),
            max_age: max_age.unwrap_or_default(),
        })
    }
}

fn name_of(object: &StoredObject) -> String {
    object.metadata.name.clone()
}

/// Adds the known documents of a kind with numbers to `listed`, unless that has the same or a greater
/// number; returns the names of those that it added.
fn keep_newer(
    kind: &str,
    known: BTreeMap<String, StoredObject>,
    listed: &mut BTreeMap<String, StoredObject>,
) -> BTreeSet<String> {
    let mut added = BTreeSet::new();
    for (name, object) in known {
        let number = rising_number(kind, &object);
        if number > listed.get(&name).and_then(|it| rising_number(kind, it)) {
            log::info!("store: kept a newer document than the store's kind={kind} name={name}");
            added.insert(name.clone());
            listed.insert(name, object);
        }
    }
    added
}

fn current_kind<'a>(
    kinds: &'a HashMap<&'static str, CachedKind>,
    kind: &str,
) -> Result<&'a CachedKind, StoreError> {
    let cached = kinds.get(kind).filter(|it| it.is_current);
    cached.ok_or(StoreError::Refused(STATUS_NOT_CURRENT))
}

/// Response status for a kind that is not current.
const STATUS_NOT_CURRENT: u16 = 503;
