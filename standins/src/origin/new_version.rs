//! The content of a version, generated from a seed or read from a file.

use std::io;

use crocustiller::weights::Manifest;
use serde::{Deserialize, Serialize};

/// A version to register at the origin.
///
/// Its content is random bytes from a seed, a file, or a changed copy of another version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NewVersion {
    /// The name of the version.
    pub version: String,
    /// The seed of the random bytes.
    pub seed: u64,
    /// The size of the weights in bytes.
    pub size_bytes: u64,
    /// The path of a file with the content, in place of `seed` and `size_bytes`.
    pub file: Option<String>,
    /// The version whose content is copied, except for `changed_percent` of the chunks.
    pub similar_to: Option<String>,
    /// The percentage of the chunks that differ from `similar_to`.
    pub changed_percent: u32,
    /// Keeps the earlier manifest of the version, so that it does not match the new content.
    pub keep_manifest: bool,
}

impl NewVersion {
    /// Returns the content of the version; `base` is the content of `similar_to`.
    pub(crate) fn build_content(&self, base: Option<&[u8]>) -> io::Result<Vec<u8>> {
        if let Some(file) = &self.file {
            return std::fs::read(file);
        }
        let Some(base) = base else { return Ok(random_bytes(self.seed, self.size_bytes)) };
        Ok(self.similar_content(base))
    }

    fn similar_content(&self, base: &[u8]) -> Vec<u8> {
        let mut bytes = base.to_vec();
        let chunk_bytes = Manifest::build(&self.version, base).chunk_bytes as usize;
        let mut rng = fastrand::Rng::with_seed(self.seed);
        for chunk in bytes.chunks_mut(chunk_bytes) {
            if rng.u32(0..100) < self.changed_percent {
                rng.fill(chunk);
            }
        }
        bytes
    }
}

fn random_bytes(seed: u64, size_bytes: u64) -> Vec<u8> {
    let mut bytes = vec![0; size_bytes as usize];
    fastrand::Rng::with_seed(seed).fill(&mut bytes);
    bytes
}
