//! Which host takes which chunk from the origin and across region links.

use crate::{
    ids::{HostId, RegionId},
    weights::{rank, Manifest},
};

/// A host that takes part in a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanHost {
    /// The host.
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
}

/// What one host does about one chunk; rank 0 acts first, others take over after a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkDuty {
    /// Rank of the host among all for asking the origin.
    pub origin_rank: u32,
    /// Rank of the host in its region for taking the chunk from another region.
    pub relay_rank: u32,
    /// Whether the host of origin rank 0 is in the same region.
    pub is_home_region: bool,
}

/// The duties of one host; a function of the manifest and the hosts that take part.
#[derive(Clone, Debug)]
pub struct FetchPlan {
    hosts: Vec<PlanHost>,
    host_hashes: Vec<u64>,
    own: usize,
    duties: Vec<ChunkDuty>,
    chunk_hashes: Vec<u64>,
    by_turn: Vec<u32>,
}

impl FetchPlan {
    /// Makes the plan of the host `own`, which must be one of `hosts`.
    pub fn new(manifest: &Manifest, own: &str, hosts: Vec<PlanHost>) -> Option<FetchPlan> {
        let own = hosts.iter().position(|it| it.host == own)?;
        let host_hashes = hosts.iter().map(|it| rank::host_hash(&it.host)).collect();
        let chunk_hashes: Vec<u64> = chunk_hashes(manifest);
        let mut by_turn: Vec<u32> = (0..manifest.n_chunks()).collect();
        by_turn.sort_by_key(|it| (chunk_hashes[*it as usize], *it));
        let duties = Vec::new();
        let mut plan = FetchPlan { hosts, host_hashes, own, duties, chunk_hashes, by_turn };
        plan.duties = plan.chunk_hashes.iter().map(|it| plan.duty_for(*it)).collect();
        Some(plan)
    }

    /// What the host does about a chunk.
    pub fn duty(&self, chunk: u32) -> ChunkDuty {
        self.duties[chunk as usize]
    }

    /// The chunks in the order in which they leave the origin.
    pub fn by_turn(&self) -> &[u32] {
        &self.by_turn
    }

    /// The first `n` hosts by origin rank of a chunk.
    pub fn origin_hosts(&self, chunk: u32, n: usize) -> Vec<HostId> {
        self.ranked(chunk, n, |_| true)
    }

    /// The first `n` hosts of the own region by rank of a chunk.
    pub fn relay_hosts(&self, chunk: u32, n: usize) -> Vec<HostId> {
        let region = &self.hosts[self.own].region;
        self.ranked(chunk, n, |it| it.region == *region)
    }

    /// The hosts that take part.
    pub fn hosts(&self) -> &[PlanHost] {
        &self.hosts
    }

    /// Number of hosts that take part.
    pub fn n_hosts(&self) -> usize {
        self.hosts.len()
    }

    fn ranked(&self, chunk: u32, n: usize, is_asked: impl Fn(&PlanHost) -> bool) -> Vec<HostId> {
        let item = self.chunk_hashes[chunk as usize];
        let mut idxs: Vec<usize> = (0..self.hosts.len()).collect();
        idxs.retain(|it| is_asked(&self.hosts[*it]));
        idxs.sort_by_key(|it| std::cmp::Reverse(rank::score(item, self.host_hashes[*it])));
        idxs.into_iter().take(n).map(|it| self.hosts[it].host.clone()).collect()
    }

    fn duty_for(&self, item: u64) -> ChunkDuty {
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
        let is_home_region = self.hosts[best.1].region == *own_region;
        ChunkDuty { origin_rank, relay_rank, is_home_region }
    }
}

/// Chunks of equal bytes at different places get different hashes.
fn chunk_hashes(manifest: &Manifest) -> Vec<u64> {
    let hash = |(idx, digest)| rank::digest_hash(digest) ^ u64::rotate_right(idx, 16);
    (0u64..).zip(&manifest.chunks).map(hash).collect()
}
