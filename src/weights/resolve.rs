//! Asks the origin which weights a version's name stands for.

use quick_error::quick_error;

use crate::{
    digest::Digest,
    node::Node,
    rollout::WeightsTarget,
    weights::{Manifest, ManifestError, OriginClient, OriginError},
};

quick_error! {
    /// Why a version can't be rolled out now.
    #[derive(Debug)]
    pub enum ResolveError {
        /// The origin gave no manifest.
        Origin(version: String, err: OriginError) {
            source(err)
            display("the manifest of version {version} is not there: {err}")
        }
        /// The manifest is not usable.
        Manifest(version: String, err: ManifestError) {
            source(err)
            display("the manifest of version {version} is refused: {err}")
        }
        /// The manifest names another version.
        Version(expected: String, actual: String) {
            display("the manifest at version {expected} is that of version {actual}; store the right one")
        }
    }
}

/// Fixes a version by the digest of its manifest, which the origin is asked for.
pub async fn resolve_target(node: &Node, version: &str) -> Result<WeightsTarget, ResolveError> {
    let origin = OriginClient::new(node.settings.weights.origin.clone(), node.http.clone());
    let json = origin
        .manifest(version)
        .await
        .map_err(|err| ResolveError::Origin(version.to_owned(), err))?;
    // The hosts that fetch the weights check them against their own memory limit.
    let manifest = Manifest::parse(&json, u64::MAX)
        .map_err(|err| ResolveError::Manifest(version.to_owned(), err))?;
    if manifest.version != version {
        return Err(ResolveError::Version(version.to_owned(), manifest.version));
    }
    Ok(WeightsTarget { version: version.to_owned(), manifest_digest: Digest::of(&json) })
}
