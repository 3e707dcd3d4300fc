//! Rendezvous hashing: every process computes the same ranking of hosts without communication.

use crate::ids::HostId;

/// Returns `hosts` ranked by rendezvous hash for `decision`, without duplicates.
///
/// The first host is responsible for the decision; callers let later ones take over after a delay.
/// The ranking does not depend on the order of `hosts`, and adding or removing one host keeps the
/// relative order of the others.
pub fn rank(decision: &str, hosts: &[HostId]) -> Vec<HostId> {
    let mut scored: Vec<(u64, &HostId)> =
        hosts.iter().map(|it| (score(decision, it), it)).collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.dedup_by(|a, b| a.1 == b.1);
    scored.into_iter().map(|(_, it)| it.clone()).collect()
}

fn score(decision: &str, host: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(decision.len() as u64).to_le_bytes());
    hasher.update(decision.as_bytes());
    hasher.update(host.as_bytes());
    let mut first = [0u8; 8];
    hasher.finalize_xof().fill(&mut first);
    u64::from_le_bytes(first)
}
