//! The engines that waiting requests can use, found once for all with equal constraints.
//!
//! Load pattern: hundreds of requests wait with few different constraints; finding the engines for each of
//! them would cost a pass over all engines.

use crate::placement::{Candidate, CellEngine, Demand};

/// The engines that requests with equal constraints can use.
#[derive(Clone, Debug)]
pub(crate) struct Usable {
    demand: Demand,
    /// The engines.
    pub(crate) engines: Vec<CellEngine>,
    /// Their loads, in the same order.
    pub(crate) candidates: Vec<Candidate>,
}

/// The engines that were found since the last change of a load.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsableEngines {
    found: Vec<Usable>,
}

impl UsableEngines {
    /// Returns the engines that a request can use.
    pub(crate) fn of(
        &mut self,
        demand: &Demand,
        engines: &dyn Fn(&Demand) -> Vec<CellEngine>,
        candidate: impl FnMut(&CellEngine) -> Candidate,
    ) -> &Usable {
        let idx = self.found.iter().position(|it| has_equal_constraints(&it.demand, demand));
        let idx = idx.unwrap_or_else(|| {
            let engines = engines(demand);
            let candidates = engines.iter().map(candidate).collect();
            self.found.push(Usable { demand: demand.clone(), engines, candidates });
            self.found.len() - 1
        });
        &self.found[idx]
    }

    /// Forgets all engines, after a change of a load.
    pub(crate) fn clear(&mut self) {
        self.found.clear();
    }
}

/// Compares all fields by which the owner chooses usable engines.
fn has_equal_constraints(a: &Demand, b: &Demand) -> bool {
    a.service == b.service
        && a.model == b.model
        && a.excluded == b.excluded
        && a.regions == b.regions
}
