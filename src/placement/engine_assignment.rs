//! Assigns each engine to an entry host, its owner.
//!
//! An entry host sends requests to its own engines first, so it has exact data of their load. Other
//! hosts use these engines only when their own are full. Without owners, many entry hosts would
//! choose by outdated load data and overload the same engine.

use std::collections::BTreeMap;

use crate::ids::{BackendId, HostId, ZoneId};

/// An engine to be assigned to an owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnassignedEngine {
    /// Start time of the engine, in milliseconds since the Unix epoch. Engines are assigned in this
    /// order, so a new engine never changes the owners of earlier ones.
    pub started_ms: u64,
    /// The engine.
    pub id: BackendId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Returns the owner of each engine: of the entry hosts in the engine's zone, or of all entry hosts
/// if that zone has none, the one that owns the fewest engines.
pub fn assign_engines(
    mut engines: Vec<UnassignedEngine>,
    entry_hosts: &BTreeMap<HostId, ZoneId>,
) -> BTreeMap<BackendId, HostId> {
    engines.sort();
    let mut counts: BTreeMap<&HostId, usize> = entry_hosts.keys().map(|it| (it, 0)).collect();
    let mut owners = BTreeMap::new();
    for engine in engines {
        let in_zone = |it: &&HostId| entry_hosts[*it] == engine.zone;
        let fewest = |hosts: &mut dyn Iterator<Item = &HostId>| {
            hosts.min_by_key(|it| (counts[*it], (*it).clone())).cloned()
        };
        let near = fewest(&mut entry_hosts.keys().filter(in_zone));
        let Some(owner) = near.or_else(|| fewest(&mut entry_hosts.keys())) else { break };
        if let Some((_, count)) = counts.iter_mut().find(|it| **it.0 == owner) {
            *count += 1;
        }
        owners.insert(engine.id, owner);
    }
    owners
}
