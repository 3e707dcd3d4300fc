//! The regions in which a request may be served.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::RegionId;

/// A bound on the regions whose backend servers may get a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegionConstraint {
    /// Any region, also an unknown one.
    #[default]
    Any,
    /// These regions only; none if the set is empty.
    Only(BTreeSet<RegionId>),
}

impl RegionConstraint {
    /// Returns the constraint of a charter's list of regions, of which an empty one allows all.
    pub fn from_list(regions: impl IntoIterator<Item = RegionId>) -> RegionConstraint {
        let regions: BTreeSet<RegionId> = regions.into_iter().collect();
        match regions.is_empty() {
            true => RegionConstraint::Any,
            false => RegionConstraint::Only(regions),
        }
    }

    /// Returns the constraint that allows what both allow.
    pub fn intersection(&self, other: &RegionConstraint) -> RegionConstraint {
        match (self, other) {
            (RegionConstraint::Any, it) | (it, RegionConstraint::Any) => it.clone(),
            (RegionConstraint::Only(left), RegionConstraint::Only(right)) => {
                RegionConstraint::Only(left.intersection(right).cloned().collect())
            }
        }
    }

    /// Returns the constraint that allows what either allows.
    pub fn union(&self, other: &RegionConstraint) -> RegionConstraint {
        match (self, other) {
            (RegionConstraint::Any, _) | (_, RegionConstraint::Any) => RegionConstraint::Any,
            (RegionConstraint::Only(left), RegionConstraint::Only(right)) => {
                RegionConstraint::Only(left.union(right).cloned().collect())
            }
        }
    }

    /// Returns `true` if no region is allowed.
    pub fn allows_none(&self) -> bool {
        matches!(self, RegionConstraint::Only(regions) if regions.is_empty())
    }

    /// Returns `true` if the region is allowed; an unknown one is allowed only without a bound.
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        match self {
            RegionConstraint::Any => true,
            RegionConstraint::Only(regions) => region.is_some_and(|it| regions.contains(it)),
        }
    }
}
