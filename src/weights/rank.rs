//! Rendezvous hashes of hosts and chunks.

use crate::digest::Digest;

/// Returns the hash of a host's id.
pub fn host_hash(host: &str) -> u64 {
    digest_hash(&Digest::of(host.as_bytes()))
}

/// Returns the first eight bytes of a digest as a number.
pub fn digest_hash(digest: &Digest) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns the score of a host for an item; the host with the highest score has rank 0.
pub fn score(item: u64, host: u64) -> u64 {
    // The finalizer of SplitMix64: each bit of the input affects all bits of the result.
    let mut x = item ^ host.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
