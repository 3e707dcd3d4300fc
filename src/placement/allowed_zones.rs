//! The availability zones whose backend servers may get a request now: those in its regions that are
//! not evacuated.
//!
//! Load pattern: a zone is evacuated, or a charter changes the regions of a route, while requests wait.
//! A request for which no server is left is refused at once, as waiting can't help it.

use std::collections::BTreeMap;

use crate::{
    ids::{RegionId, ZoneId},
    placement::RegionConstraint,
};

/// The zones that one request may use.
#[derive(Clone, Debug)]
pub struct AllowedZones<'a> {
    regions: &'a RegionConstraint,
    region_by_zone: &'a BTreeMap<ZoneId, RegionId>,
    /// `None` while it is not known which zones are evacuated.
    evacuated: Option<Vec<ZoneId>>,
}

/// The reason why no backend server may get a request, whatever their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAllowedServer {
    /// Its route and its customer have no region in common.
    NoRegion,
    /// No server in its regions accepts requests.
    NoServer,
    /// All servers that accept requests in its regions are in evacuated zones.
    Evacuated,
    /// It is not known yet which zones are evacuated.
    EvacuationsUnknown,
}

impl NoAllowedServer {
    /// Returns its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NoAllowedServer::NoRegion => "no-region",
            NoAllowedServer::NoServer => "no-server",
            NoAllowedServer::Evacuated => "evacuated",
            NoAllowedServer::EvacuationsUnknown => "evacuations-unknown",
        }
    }
}

impl<'a> AllowedZones<'a> {
    /// Creates the zones of a request with this constraint; `region_by_zone` are the known zones, and
    /// `evacuated` is `None` while it is not known which zones are evacuated.
    pub fn new(
        regions: &'a RegionConstraint,
        region_by_zone: &'a BTreeMap<ZoneId, RegionId>,
        evacuated: Option<Vec<ZoneId>>,
    ) -> AllowedZones<'a> {
        AllowedZones { regions, region_by_zone, evacuated }
    }

    /// Returns `true` if the backend servers of a zone may get the request.
    pub fn allows(&self, zone: &ZoneId) -> bool {
        let is_in_use = self.evacuated.as_ref().is_some_and(|it| !it.contains(zone));
        is_in_use && self.is_in_region(zone)
    }

    /// Returns `true` if every zone is allowed, also an unknown one.
    pub fn allows_all(&self) -> bool {
        *self.regions == RegionConstraint::Any && self.evacuated.as_ref().is_some_and(Vec::is_empty)
    }

    /// Returns the reason why the request can't be served, if none of the servers that accept requests,
    /// whose zones these are, may get it.
    pub fn refusal<'z>(
        &self,
        server_zones: impl IntoIterator<Item = &'z ZoneId>,
    ) -> Option<NoAllowedServer> {
        if self.evacuated.is_none() {
            return Some(NoAllowedServer::EvacuationsUnknown);
        }
        if self.regions.allows_none() {
            return Some(NoAllowedServer::NoRegion);
        }
        let mut in_region = server_zones.into_iter().filter(|it| self.is_in_region(it)).peekable();
        if in_region.peek().is_some() {
            return in_region.all(|it| !self.allows(it)).then_some(NoAllowedServer::Evacuated);
        }
        // Without a constraint the servers themselves are missing.
        (*self.regions != RegionConstraint::Any).then_some(NoAllowedServer::NoServer)
    }

    fn is_in_region(&self, zone: &ZoneId) -> bool {
        self.regions.allows(self.region_by_zone.get(zone))
    }
}
