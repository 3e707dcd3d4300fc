//! The suspected parts of prompts, in groups with the same evidence.
//!
//! Load pattern: a prompt has thousands of parts, and all of them are suspected after a crash. Parts that
//! crashed and were cleared together have the same evidence, which is kept once for all of them.

use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use crate::placement::{part_suspect::PartSuspect, Fingerprint, PartDigest};

/// Maximum number of parts that are suspected at a time.
const MAX_SUSPECTS: usize = 8192;
/// Maximum number of them that one request adds.
const MAX_ADDED: usize = MAX_SUSPECTS / 2;

pub(crate) type GroupId = u64;

/// The suspected parts, and the evidence against each.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectGroups {
    group_of: HashMap<PartDigest, GroupId>,
    groups: BTreeMap<GroupId, SuspectGroup>,
    next_id: GroupId,
}

/// Parts with the same evidence.
#[derive(Clone, Debug)]
pub(crate) struct SuspectGroup {
    /// The evidence against each of them.
    pub(crate) evidence: PartSuspect,
    /// The number of these parts.
    pub(crate) n_parts: usize,
    /// The number of parts of the shortest prompt that crashed an engine with them.
    prompt_length: usize,
}

impl SuspectGroups {
    pub(crate) fn is_empty(&self) -> bool {
        self.group_of.is_empty()
    }

    /// Returns the evidence against a part.
    pub(crate) fn get(&self, part: PartDigest) -> Option<&PartSuspect> {
        Some(&self.groups[self.group_of.get(&part)?].evidence)
    }

    pub(crate) fn groups(&self) -> impl Iterator<Item = (GroupId, &SuspectGroup)> {
        self.groups.iter().map(|it| (*it.0, it.1))
    }

    /// Returns all suspected parts with their groups.
    pub(crate) fn parts(&self) -> impl Iterator<Item = (PartDigest, GroupId)> + '_ {
        self.group_of.iter().map(|it| (*it.0, *it.1))
    }

    /// Suspects all parts of a request; the least suspect ones make room for them.
    pub(crate) fn record(
        &mut self,
        parts: &[PartDigest],
        request: Fingerprint,
        now: Instant,
        record: impl Fn(&mut PartSuspect),
    ) {
        let is_new = |it: &&PartDigest| !self.group_of.contains_key(it);
        let mut added: Vec<PartDigest> = parts.iter().filter(is_new).copied().collect();
        added.sort_unstable();
        added.dedup();
        // Other requests with these parts add other ones of them.
        added.sort_unstable_by_key(|it| it ^ request);
        added.truncate(MAX_ADDED);
        let known = parts.iter().filter(|it| self.group_of.contains_key(it)).copied();
        let known: Vec<PartDigest> = known.collect();
        self.change(&known, |group| {
            record(&mut group.evidence);
            group.prompt_length = group.prompt_length.min(parts.len());
        });
        if added.is_empty() {
            return;
        }
        self.make_room(added.len());
        let mut evidence = PartSuspect::new(now);
        record(&mut evidence);
        let group = SuspectGroup { evidence, n_parts: added.len(), prompt_length: parts.len() };
        let id = self.insert(group);
        self.group_of.extend(added.into_iter().map(|it| (it, id)));
    }

    /// Changes the evidence against some parts.
    pub(crate) fn update(&mut self, parts: &[PartDigest], update: impl Fn(&mut PartSuspect)) {
        self.change(parts, |group| update(&mut group.evidence));
    }

    /// Changes the evidence against all parts.
    pub(crate) fn update_all(&mut self, update: impl Fn(&mut PartSuspect)) {
        self.groups.values_mut().for_each(|it| update(&mut it.evidence));
    }

    /// Removes a part; returns the evidence against it.
    pub(crate) fn remove(&mut self, part: PartDigest) -> Option<PartSuspect> {
        let id = self.group_of.remove(&part)?;
        let evidence = self.groups[&id].evidence.clone();
        self.shrink(id);
        Some(evidence)
    }

    /// Keeps the parts with this evidence only.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&PartSuspect) -> bool) {
        self.groups.retain(|_, it| is_kept(&it.evidence));
        self.group_of.retain(|_, it| self.groups.contains_key(it));
    }

    /// Moves suspected parts out of their groups into new ones, which it changes.
    fn change(&mut self, parts: &[PartDigest], change: impl Fn(&mut SuspectGroup)) {
        let first_new = self.next_id;
        let mut new_ids: BTreeMap<GroupId, GroupId> = BTreeMap::new();
        for part in parts {
            let Some(old_id) = self.group_of.get(part).copied().filter(|it| *it < first_new) else {
                continue;
            };
            let new_id = match new_ids.get(&old_id) {
                Some(id) => *id,
                None => {
                    let mut group = SuspectGroup { n_parts: 0, ..self.groups[&old_id].clone() };
                    change(&mut group);
                    let id = self.insert(group);
                    new_ids.insert(old_id, id);
                    id
                }
            };
            self.group_of.insert(*part, new_id);
            if let Some(group) = self.groups.get_mut(&new_id) {
                group.n_parts += 1;
            }
            self.shrink(old_id);
        }
    }

    fn insert(&mut self, group: SuspectGroup) -> GroupId {
        let id = self.next_id;
        self.next_id += 1;
        self.groups.insert(id, group);
        id
    }

    /// Counts one part less in a group; an empty one is removed.
    fn shrink(&mut self, id: GroupId) {
        let Some(group) = self.groups.get_mut(&id) else { return };
        group.n_parts -= 1;
        if group.n_parts == 0 {
            self.groups.remove(&id);
        }
    }

    /// Removes the least suspect parts, those of long prompts first, until there is room for
    /// `n_added`.
    fn make_room(&mut self, n_added: usize) {
        let n_excess = (self.group_of.len() + n_added).saturating_sub(MAX_SUSPECTS);
        if n_excess == 0 {
            return;
        }
        let rank = |it: &(PartDigest, GroupId)| {
            let group = &self.groups[&it.1];
            let evidence = &group.evidence;
            let length = std::cmp::Reverse(group.prompt_length);
            (evidence.n_generations(), length, evidence.last_crash(), it.0)
        };
        let mut parts: Vec<(PartDigest, GroupId)> = self.parts().collect();
        parts.sort_by_cached_key(rank);
        for (part, id) in parts.into_iter().take(n_excess) {
            self.group_of.remove(&part);
            self.shrink(id);
        }
    }
}
