//! Fetches the text of a manifest from other hosts or from the origin.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use crate::{
    digest::Digest,
    membership::{HostState, MemberRecord},
    node::Node,
    peer::{LinkClass, ManifestRequest},
    rollout::WeightsTarget,
    runtime,
    weights::{fetch_status::FetchStatus, rank, Manifest, ManifestError, OriginClient},
};

/// Number of hosts that request a manifest from the same host.
const FAN_OUT: usize = 4;
/// Time for which a queried host may wait for the manifest before it responds.
const HOST_WAIT: Duration = Duration::from_secs(2);
/// Time by which the timeout of a call exceeds `HOST_WAIT`.
const CALL_MARGIN: Duration = Duration::from_secs(3);
/// Delay before the next attempt; a random part of up to the same length is added.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A manifest and its JSON text.
#[derive(Debug)]
pub(crate) struct ManifestText {
    pub(crate) json: Vec<u8>,
    pub(crate) manifest: Manifest,
}

/// Fetches one manifest.
///
/// Hosts pass it on in a tree, so that not all of them send requests to the origin.
#[derive(Debug)]
pub(crate) struct ManifestFetch {
    pub(crate) node: Arc<Node>,
    pub(crate) origin: Arc<OriginClient>,
    pub(crate) target: WeightsTarget,
    pub(crate) limit_bytes: u64,
    pub(crate) status: Arc<FetchStatus>,
}

impl ManifestFetch {
    /// Fetches the manifest, with retries until a source sends it; an error means that the manifest
    /// is invalid or its weights do not fit into memory, so that no retry can succeed.
    pub(crate) async fn run(&self) -> Result<ManifestText, ManifestError> {
        loop {
            for source in self.sources() {
                let json = match source {
                    ManifestSource::Host(host) => self.request_from_host(&host).await,
                    ManifestSource::Origin => self.request_from_origin().await,
                };
                let Some(json) = json else { continue };
                match self.parse(json) {
                    Err(err @ ManifestError::Digest(..)) => self.record_problem(&err.to_string()),
                    res => return res,
                }
            }
            runtime::sleep(RETRY_DELAY.mul_f64(1.0 + fastrand::f64())).await;
        }
    }

    /// Returns the sources in the order in which they are queried.
    ///
    /// The hosts form a tree by rank; a host queries its ancestors up to the root, then the origin,
    /// then a random host.
    fn sources(&self) -> Vec<ManifestSource> {
        let own = self.node.membership.own();
        let is_eligible = |it: &&Arc<MemberRecord>| {
            it.host == own.host || (it.role == own.role && it.state <= HostState::Live)
        };
        let records = self.node.membership.records();
        let mut hosts: Vec<_> = records.iter().filter(is_eligible).cloned().collect();
        let item = rank::digest_hash(&self.target.manifest_digest);
        hosts.sort_by_key(|it| Reverse(rank::score(item, rank::host_hash(&it.host))));
        let own_idx = hosts.iter().position(|it| it.host == own.host).unwrap_or(0);
        let mut sources = Vec::new();
        let mut ancestor = own_idx;
        while ancestor > 0 {
            ancestor = (ancestor - 1) / FAN_OUT;
            sources.push(ManifestSource::Host(hosts[ancestor].clone()));
        }
        sources.push(ManifestSource::Origin);
        // Any other host may have the manifest while the origin is unavailable.
        let other = fastrand::usize(..hosts.len().max(1));
        if other != own_idx {
            sources.push(ManifestSource::Host(hosts[other].clone()));
        }
        sources
    }

    async fn request_from_host(&self, host: &MemberRecord) -> Option<Vec<u8>> {
        let request = ManifestRequest {
            manifest_digest: self.target.manifest_digest,
            wait_ms: HOST_WAIT.as_millis() as u32,
        };
        let peers = &self.node.peers;
        let call = peers.call(
            host.peer_address,
            LinkClass::Weights,
            HOST_WAIT + CALL_MARGIN,
            |peer, ctx| async move { peer.manifest(ctx, request).await },
        );
        call.await.ok().flatten().map(|it| it.into_vec())
    }

    async fn request_from_origin(&self) -> Option<Vec<u8>> {
        match self.origin.manifest(&self.target.version).await {
            Ok(json) => Some(json),
            Err(err) => {
                self.record_problem(&err.to_string());
                None
            }
        }
    }

    fn parse(&self, json: Vec<u8>) -> Result<ManifestText, ManifestError> {
        let wanted: &Digest = &self.target.manifest_digest;
        let manifest = Manifest::parse_verified(&json, wanted, self.limit_bytes)?;
        Ok(ManifestText { json, manifest })
    }

    fn record_problem(&self, problem: &str) {
        if self.status.problem().as_deref() != Some(problem) {
            log::warn!(
                "weights: failed to fetch a manifest, retrying version={} error=\"{problem}\"",
                self.target.version
            );
        }
        self.status.set_problem(Some(problem.to_owned()));
    }
}

enum ManifestSource {
    Host(Arc<MemberRecord>),
    Origin,
}
