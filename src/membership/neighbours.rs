//! Selection of the peers with which a process gossips.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    ids::HostId,
    membership::member_record::{HostRole, HostState, MemberRecord},
};

/// The maximum number of neighbours in the region of this host.
const MAX_SAME_REGION: usize = 8;
/// The maximum number of neighbours in other regions.
const MAX_OTHER_REGIONS: usize = 4;
/// The number of exchanges with other regions that the slots of one region together start each
/// second.
const CROSS_REGION_EXCHANGES_PER_S: f64 = 64.0;

/// A small random set of peers that changes slowly, which limits the number of connections.
#[derive(Debug, Default)]
pub struct Neighbours {
    same_region: Vec<HostId>,
    other_regions: Vec<HostId>,
}

impl Neighbours {
    /// Replaces one random neighbour in each of the two sets, then fills the sets as `fill` does.
    pub fn renew(
        &mut self,
        own: &MemberRecord,
        records: &[Arc<MemberRecord>],
        random: &mut fastrand::Rng,
    ) {
        for set in [&mut self.same_region, &mut self.other_regions] {
            if !set.is_empty() {
                set.swap_remove(random.usize(0..set.len()));
            }
        }
        self.fill(own, records, random);
    }

    /// Removes hosts that are no longer up and fills both sets with random hosts that are up.
    pub fn fill(
        &mut self,
        own: &MemberRecord,
        records: &[Arc<MemberRecord>],
        random: &mut fastrand::Rng,
    ) {
        let others = records.iter().filter(|it| it.host != own.host && is_up(it));
        let (same_region, other_regions): (Vec<&MemberRecord>, Vec<&MemberRecord>) =
            others.map(|it| &**it).partition(|it| it.region == own.region);
        fill_set(&mut self.same_region, &same_region, MAX_SAME_REGION, random);
        fill_set(&mut self.other_regions, &other_regions, MAX_OTHER_REGIONS, random);
    }

    /// Returns the address of a random neighbour for the next exchange.
    ///
    /// With `allows_other_region` an entry host prefers a neighbour in another region. A slot does
    /// so with a probability that falls with the number of hosts in its region, which bounds the
    /// total number of exchanges between regions.
    pub fn choose(
        &self,
        own: &MemberRecord,
        records: &[Arc<MemberRecord>],
        allows_other_region: bool,
        random: &mut fastrand::Rng,
    ) -> Option<SocketAddr> {
        let n_same_region = records.iter().filter(|it| it.region == own.region).count().max(1);
        let cross_region_share = CROSS_REGION_EXCHANGES_PER_S / n_same_region as f64;
        let is_cross_region = allows_other_region
            && (own.role == HostRole::Entry || random.f64() < cross_region_share);
        let (preferred, fallback) = if is_cross_region {
            (&self.other_regions, &self.same_region)
        } else {
            (&self.same_region, &self.other_regions)
        };
        let set = if preferred.is_empty() { fallback } else { preferred };
        let host = set.get(random.usize(0..set.len().max(1)))?;
        records.iter().find(|it| it.host == *host).map(|it| it.peer_address)
    }

    /// Returns the number of neighbours in all regions.
    pub fn n_hosts(&self) -> usize {
        self.same_region.len() + self.other_regions.len()
    }
}

fn fill_set(
    set: &mut Vec<HostId>,
    candidates: &[&MemberRecord],
    max_hosts: usize,
    random: &mut fastrand::Rng,
) {
    set.retain(|host| candidates.iter().any(|it| it.host == *host));
    let mut unused: Vec<&HostId> =
        candidates.iter().map(|it| &it.host).filter(|it| !set.contains(it)).collect();
    random.shuffle(&mut unused);
    let n_free = max_hosts.saturating_sub(set.len());
    set.extend(unused.into_iter().take(n_free).cloned());
}

fn is_up(record: &MemberRecord) -> bool {
    matches!(record.state, HostState::Joining | HostState::Live | HostState::Leaving)
}
