//! What differs between two charters.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;

use crate::routing::CharterDraft;

/// One entry that differs from the charter in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CharterChange {
    /// What the entry is.
    pub part: CharterPart,
    /// Its name; empty for the limits.
    pub name: String,
    /// How it differs.
    pub change: ChangeKind,
}

/// A part of a charter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CharterPart {
    /// A route.
    Route,
    /// A pool, plain service or origin.
    Service,
    /// A customer.
    Customer,
    /// Whether callers need keys.
    Keys,
    /// The limits for callers.
    Limits,
}

/// How an entry differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// Only the new charter has it.
    Added,
    /// Only the charter in force has it.
    Removed,
    /// Both have it, with other values.
    Changed,
}

/// Returns what differs in `draft` from the charter in force.
pub fn changes_of_charter(draft: &CharterDraft, in_force: &CharterDraft) -> Vec<CharterChange> {
    let routes = |it: &CharterDraft| by_name(it.routes.iter().map(|it| (it.id(), it.clone())));
    let services = |it: &CharterDraft| by_name(it.services.iter().cloned());
    let customers = |it: &CharterDraft| {
        by_name(it.customers.iter().flatten().map(|it| (it.customer.id.clone(), it.clone())))
    };
    let mut changes = changes(CharterPart::Route, &routes(draft), &routes(in_force));
    changes.extend(self::changes(CharterPart::Service, &services(draft), &services(in_force)));
    changes.extend(self::changes(CharterPart::Customer, &customers(draft), &customers(in_force)));
    let whole = |part| CharterChange { part, name: String::new(), change: ChangeKind::Changed };
    if draft.customers.is_some() != in_force.customers.is_some() {
        changes.push(whole(CharterPart::Keys));
    }
    if draft.limits != in_force.limits {
        changes.push(whole(CharterPart::Limits));
    }
    changes
}

/// Collects entries by name; those with the same name belong together.
fn by_name<T>(entries: impl Iterator<Item = (String, T)>) -> BTreeMap<String, Vec<T>> {
    let mut named: BTreeMap<String, Vec<T>> = BTreeMap::new();
    entries.for_each(|(name, entry)| named.entry(name).or_default().push(entry));
    named
}

fn changes<T: PartialEq>(
    part: CharterPart,
    draft: &BTreeMap<String, T>,
    in_force: &BTreeMap<String, T>,
) -> Vec<CharterChange> {
    let change = |name: &String, change| CharterChange { part, name: name.clone(), change };
    let kept = draft.iter().filter_map(|(name, entry)| match in_force.get(name) {
        None => Some(change(name, ChangeKind::Added)),
        Some(old) if old != entry => Some(change(name, ChangeKind::Changed)),
        Some(_) => None,
    });
    let removed = in_force.keys().filter(|it| !draft.contains_key(*it));
    kept.chain(removed.map(|it| change(it, ChangeKind::Removed))).collect()
}

impl fmt::Display for CharterChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = match self.part {
            CharterPart::Route => "route ",
            CharterPart::Service => "service ",
            CharterPart::Customer => "customer ",
            CharterPart::Keys => "whether callers need keys",
            CharterPart::Limits => "limits",
        };
        let change = match self.change {
            ChangeKind::Added => "added",
            ChangeKind::Removed => "removed",
            ChangeKind::Changed => "changed",
        };
        write!(f, "{part}{}: {change}", self.name)
    }
}
