//! Resolves the name of a version to the digest of its manifest.

use quick_error::quick_error;

use crate::{
    digest::Digest,
    node::Node,
    rollout::WeightsTarget,
    weights::{Manifest, ManifestError, OriginClient, OriginError},
};

quick_error! {
    /// The reason why a version cannot be resolved.
    #[derive(Debug)]
    pub enum ResolveError {
        /// The manifest could not be read from the origin.
        Origin(version: String, err: OriginError) {
            source(err)
            display("failed to read the manifest of version {version}: {err}")
        }
        /// The manifest is invalid.
        Manifest(version: String, err: ManifestError) {
            source(err)
            display("the manifest of version {version} is invalid: {err}")
        }
        /// The manifest is that of another version.
        Version(expected: String, actual: String) {
            display("the origin sent the manifest of version {actual} for version {expected}; store the right manifest there")
        }
    }
}

/// Reads the manifest of a version from the origin and returns a target with its digest.
///
/// The digest pins the target: weights that are stored later under the same name do not match it.
pub async fn resolve_target(node: &Node, version: &str) -> Result<WeightsTarget, ResolveError> {
    let origin = OriginClient::new(node.settings.weights.origin.clone(), node.http.clone());
    let json = origin
        .manifest(version)
        .await
        .map_err(|err| ResolveError::Origin(version.to_owned(), err))?;
    // No memory limit here: each host that fetches the weights checks its own.
    let manifest = Manifest::parse(&json, u64::MAX)
        .map_err(|err| ResolveError::Manifest(version.to_owned(), err))?;
    if manifest.version != version {
        return Err(ResolveError::Version(version.to_owned(), manifest.version));
    }
    Ok(WeightsTarget { version: version.to_owned(), manifest_digest: Digest::of(&json) })
}
