//! Assigns chunks to the hosts that fetch them from the origin or from another region.

use crate::{
    ids::{HostId, RegionId},
    weights::{rank, Manifest},
};

/// A host that participates in a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanHost {
    /// Id of the host.
    pub host: HostId,
    /// Region of the host.
    pub region: RegionId,
}

/// The ranks of one host for one chunk.
///
/// Rank 0 requests the chunk first; each further rank takes over after a longer delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkRole {
    /// Rank of the host among all hosts for requests to the origin.
    pub origin_rank: u32,
    /// Rank of the host in its region for requests to another region.
    pub relay_rank: u32,
    /// Whether the host of origin rank 0 is in the same region.
    pub is_origin_host_in_region: bool,
}

/// The roles of one host for all chunks.
///
/// They depend only on the manifest and the participating hosts, so hosts with the same member list
/// agree on them without messages.
#[derive(Clone, Debug)]
pub struct FetchPlan {
    hosts: Vec<PlanHost>,
    host_hashes: Vec<u64>,
    own: usize,
    roles: Vec<ChunkRole>,
    chunk_hashes: Vec<u64>,
    origin_order: Vec<u32>,
}

impl FetchPlan {
    /// Returns the plan of the host `own`, or `None` if it is not one of `hosts`.
    pub fn new(manifest: &Manifest, own: &str, hosts: Vec<PlanHost>) -> Option<FetchPlan> {
        let own = hosts.iter().position(|it| it.host == own)?;
        let host_hashes = hosts.iter().map(|it| rank::host_hash(&it.host)).collect();
        let chunk_hashes: Vec<u64> = chunk_hashes(manifest);
        let mut origin_order: Vec<u32> = (0..manifest.n_chunks()).collect();
        origin_order.sort_by_key(|it| (chunk_hashes[*it as usize], *it));
        let roles = Vec::new();
        let mut plan = FetchPlan { hosts, host_hashes, own, roles, chunk_hashes, origin_order };
        plan.roles = plan.chunk_hashes.iter().map(|it| plan.role_for(*it)).collect();
        Some(plan)
    }

    /// Returns the role of the host for a chunk.
    pub fn role(&self, chunk: u32) -> ChunkRole {
        self.roles[chunk as usize]
    }

    /// Returns the chunks in the order in which they are requested from the origin.
    pub fn origin_order(&self) -> &[u32] {
        &self.origin_order
    }

    /// Returns the first `n` hosts by origin rank for a chunk.
    pub fn origin_hosts(&self, chunk: u32, n: usize) -> Vec<HostId> {
        self.ranked(chunk, n, |_| true)
    }

    /// Returns the first `n` hosts of the own region by relay rank for a chunk.
    pub fn relay_hosts(&self, chunk: u32, n: usize) -> Vec<HostId> {
        let region = &self.hosts[self.own].region;
        self.ranked(chunk, n, |it| it.region == *region)
    }

    /// Returns the participating hosts.
    pub fn hosts(&self) -> &[PlanHost] {
        &self.hosts
    }

    /// Returns the number of participating hosts.
    pub fn n_hosts(&self) -> usize {
        self.hosts.len()
    }

    fn ranked(&self, chunk: u32, n: usize, is_eligible: impl Fn(&PlanHost) -> bool) -> Vec<HostId> {
        let item = self.chunk_hashes[chunk as usize];
        let mut idxs: Vec<usize> = (0..self.hosts.len()).collect();
        idxs.retain(|it| is_eligible(&self.hosts[*it]));
        idxs.sort_by_key(|it| std::cmp::Reverse(rank::score(item, self.host_hashes[*it])));
        idxs.into_iter().take(n).map(|it| self.hosts[it].host.clone()).collect()
    }

    fn role_for(&self, item: u64) -> ChunkRole {
        let own_score = rank::score(item, self.host_hashes[self.own]);
        let own_region = &self.hosts[self.own].region;
        let mut best = (own_score, self.own);
        let (mut origin_rank, mut relay_rank) = (0, 0);
        for (idx, host) in self.hosts.iter().enumerate() {
            let score = rank::score(item, self.host_hashes[idx]);
            if score <= own_score {
                continue;
            }
            origin_rank += 1;
            relay_rank += u32::from(host.region == *own_region);
            best = best.max((score, idx));
        }
        let is_origin_host_in_region = self.hosts[best.1].region == *own_region;
        ChunkRole { origin_rank, relay_rank, is_origin_host_in_region }
    }
}

/// Returns one hash for each chunk; equal chunks at different indexes get different hashes.
fn chunk_hashes(manifest: &Manifest) -> Vec<u64> {
    let hash = |(idx, digest)| rank::digest_hash(digest) ^ u64::rotate_right(idx, 16);
    (0u64..).zip(&manifest.chunks).map(hash).collect()
}
