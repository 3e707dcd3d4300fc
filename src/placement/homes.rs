//! Gives each engine a home among the entry hosts.
//!
//! An entry host sends to its own engines first, so that it knows their load exactly; the others
//! send there only when their own engines are full. Answers to: many entry hosts that choose by old
//! knowledge and meet at the same engine.

use std::collections::BTreeMap;

use crate::ids::{BackendId, HostId, ZoneId};

/// An engine that is to have a home.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HomelessEngine {
    /// Start of the engine; later ones never move the home of earlier ones.
    pub started_ms: u64,
    /// The engine.
    pub id: BackendId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// The home of each engine: an entry host of its zone, or of any where its zone has none.
pub fn assign_homes(
    mut engines: Vec<HomelessEngine>,
    entry_hosts: &BTreeMap<HostId, ZoneId>,
) -> BTreeMap<BackendId, HostId> {
    engines.sort();
    let mut counts: BTreeMap<&HostId, usize> = entry_hosts.keys().map(|it| (it, 0)).collect();
    let mut homes = BTreeMap::new();
    for engine in engines {
        let in_zone = |it: &&HostId| entry_hosts[*it] == engine.zone;
        let fewest = |hosts: &mut dyn Iterator<Item = &HostId>| {
            hosts.min_by_key(|it| (counts[*it], (*it).clone())).cloned()
        };
        let near = fewest(&mut entry_hosts.keys().filter(in_zone));
        let Some(home) = near.or_else(|| fewest(&mut entry_hosts.keys())) else { break };
        if let Some((_, count)) = counts.iter_mut().find(|it| **it.0 == home) {
            *count += 1;
        }
        homes.insert(engine.id, home);
    }
    homes
}
