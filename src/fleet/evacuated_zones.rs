//! The availability zones that operators evacuate.
//!
//! Failure pattern: the store comes back from an older copy that lacks an entry. The operator has not
//! withdrawn it, so its zone stays evacuated until the operator writes again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    fleet::{KindUpdate, LostEvacuation},
    ids::{StoreGeneration, ZoneId},
    platform::{store::StoredObject, wire_evacuation, StorePoint},
};

/// Time for which a zone stays evacuated after an older copy of the store came back without its entry.
/// The operator writes the entry again within it; one that withdraws it meanwhile can't delete it.
const LOST_ENTRY_MEMORY: Duration = Duration::from_secs(60);

/// The evacuation of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Time since which this process knows of it.
    pub since: Instant,
    /// The point of the store at which its entry was written last.
    pub at: StorePoint,
    /// Time at which the store came back from a copy without its entry; `None` if the entry is there.
    pub lost: Option<Instant>,
}

/// The evacuated zones, as far as this process knows.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    /// Whether the entries have been listed.
    is_known: bool,
    /// The generation of the store in which the entries were listed last.
    generation: StoreGeneration,
    zones: BTreeMap<ZoneId, Evacuation>,
}

impl EvacuatedZones {
    /// Applies an update of the entries in a generation of the store; returns `true` if other zones are
    /// evacuated now.
    pub fn apply(&mut self, update: KindUpdate, generation: StoreGeneration, now: Instant) -> bool {
        let before: Option<Vec<ZoneId>> = self.is_known.then(|| self.names());
        match update {
            KindUpdate::Listed { objects, .. } => self.replace_all(&objects, generation, now),
            KindUpdate::Changed { changes, .. } => {
                for change in changes {
                    match change.deleted {
                        true => self.withdraw(&wire_evacuation::decode_zone(&change.object), now),
                        false => self.insert(&change.object, generation, now),
                    }
                }
            }
        }
        before != Some(self.names())
    }

    /// Ends the evacuations whose entries were lost and not written again; returns `true` if there were
    /// any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_over = |it: &Evacuation| it.lost.is_some_and(|lost| now >= lost + LOST_ENTRY_MEMORY);
        let ended = self.zones_where(is_over);
        ended.iter().for_each(|it| self.withdraw(it, now));
        !ended.is_empty()
    }

    /// Returns the evacuations whose entries the store has lost.
    pub fn lost(&self, now: Instant) -> Vec<LostEvacuation> {
        let lost_ago = |it: &Evacuation| Some(now.duration_since(it.lost?).as_millis() as u32);
        let lost = self.zones.iter().filter_map(|it| Some((it.0.clone(), lost_ago(it.1)?)));
        lost.map(|(zone, lost_ago_ms)| LostEvacuation { zone, lost_ago_ms }).collect()
    }

    /// Adds the evacuations that another host knows and the store has lost; returns `true` if there are
    /// new ones.
    pub fn learn(&mut self, lost: &[LostEvacuation], now: Instant) -> bool {
        let n_before = self.zones.len();
        for LostEvacuation { zone, lost_ago_ms } in lost {
            let lost_ago = Duration::from_millis(u64::from(*lost_ago_ms));
            let Some(lost) = now.checked_sub(lost_ago) else { continue };
            if lost_ago >= LOST_ENTRY_MEMORY || self.zones.contains_key(zone) {
                continue;
            }
            log::info!(
                "evacuation: another entry host says that a zone is evacuated zone={}",
                zone.escape_debug()
            );
            let evacuation = Evacuation { since: now, at: StorePoint::default(), lost: Some(lost) };
            self.zones.insert(zone.clone(), evacuation);
        }
        self.zones.len() > n_before
    }

    /// Returns `true` once the entries have been listed.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns the names of the evacuated zones.
    pub fn names(&self) -> Vec<ZoneId> {
        self.zones.keys().cloned().collect()
    }

    /// Returns an iterator over the evacuated zones.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneId, &Evacuation)> {
        self.zones.iter()
    }

    /// Applies a complete list. Within a generation of the store an entry that it lacks was withdrawn.
    fn replace_all(&mut self, objects: &[StoredObject], generation: StoreGeneration, now: Instant) {
        let is_restored = self.is_known && generation > self.generation;
        let listed: BTreeSet<ZoneId> = objects.iter().map(wire_evacuation::decode_zone).collect();
        for zone in self.zones_where(|it| it.lost.is_none()) {
            match self.zones.get_mut(&zone) {
                Some(_) if listed.contains(&zone) => {}
                Some(evacuation) if is_restored => {
                    log::warn!(
                        "evacuation: the store came back without the entry of an evacuated zone, \
                         write it again zone={} kept_s={}",
                        zone.escape_debug(),
                        LOST_ENTRY_MEMORY.as_secs()
                    );
                    evacuation.lost = Some(now);
                }
                _ => self.withdraw(&zone, now),
            }
        }
        objects.iter().for_each(|it| self.insert(it, generation, now));
        self.generation = generation;
        self.is_known = true;
    }

    fn insert(&mut self, object: &StoredObject, generation: StoreGeneration, now: Instant) {
        let zone = wire_evacuation::decode_zone(object);
        let at = StorePoint { generation, revision: object.metadata.revision };
        if !self.zones.contains_key(&zone) {
            log::info!("evacuation: a zone is evacuated zone={} at={at}", zone.escape_debug());
        }
        let since = self.zones.get(&zone).map_or(now, |it| it.since);
        self.zones.insert(zone, Evacuation { since, at, lost: None });
    }

    fn withdraw(&mut self, zone: &ZoneId, now: Instant) {
        let Some(evacuation) = self.zones.remove(zone) else { return };
        log::info!(
            "evacuation: a zone is in use again zone={} evacuated_ms={} is_lost={}",
            zone.escape_debug(),
            now.duration_since(evacuation.since).as_millis(),
            evacuation.lost.is_some()
        );
    }

    fn zones_where(&self, is_wanted: impl Fn(&Evacuation) -> bool) -> Vec<ZoneId> {
        self.zones.iter().filter(|it| is_wanted(it.1)).map(|it| it.0.clone()).collect()
    }
}
