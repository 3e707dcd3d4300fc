//! Brings the text of a manifest from a host or from the origin.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use crate::{
    digest::Digest,
    membership::{HostState, MemberRecord},
    node::Node,
    peer::{LinkClass, ManifestRequest},
    rollout::WeightsTarget,
    runtime,
    weights::{fetch_log::FetchLog, rank, Manifest, ManifestError, OriginClient},
};

/// Hosts that ask the same host for a manifest.
const FAN_OUT: usize = 4;
/// Time that a host is given to get the manifest itself.
const WAIT: Duration = Duration::from_secs(2);
/// Time that a call may take beyond that.
const CALL_MARGIN: Duration = Duration::from_secs(3);
/// Pause before another attempt; a random part of it is added.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A manifest with its text.
#[derive(Debug)]
pub(crate) struct ManifestText {
    pub(crate) json: Vec<u8>,
    pub(crate) manifest: Manifest,
}

/// Fetches one manifest.
#[derive(Debug)]
pub(crate) struct ManifestFetch {
    pub(crate) node: Arc<Node>,
    pub(crate) origin: Arc<OriginClient>,
    pub(crate) target: WeightsTarget,
    pub(crate) limit_bytes: u64,
    pub(crate) log: Arc<FetchLog>,
}

impl ManifestFetch {
    /// Tries until the manifest is there; an error means that no source can ever give a usable one.
    pub(crate) async fn run(&self) -> Result<ManifestText, ManifestError> {
        loop {
            for source in self.sources() {
                let json = match source {
                    Source::Host(host) => self.ask(&host).await,
                    Source::Origin => self.ask_origin().await,
                };
                let Some(json) = json else { continue };
                match self.check(json) {
                    Err(err @ ManifestError::Digest(..)) => self.note(&err.to_string()),
                    res => return res,
                }
            }
            runtime::sleep(RETRY_DELAY.mul_f64(1.0 + fastrand::f64())).await;
        }
    }

    /// The hosts form a tree by rank, whose root asks the origin; a host asks the way up.
    fn sources(&self) -> Vec<Source> {
        let own = self.node.membership.own();
        let is_asked = |it: &&Arc<MemberRecord>| {
            it.host == own.host || (it.role == own.role && it.state <= HostState::Live)
        };
        let records = self.node.membership.records();
        let mut hosts: Vec<_> = records.iter().filter(is_asked).cloned().collect();
        let item = rank::digest_hash(&self.target.manifest_digest);
        hosts.sort_by_key(|it| Reverse(rank::score(item, rank::host_hash(&it.host))));
        let place = hosts.iter().position(|it| it.host == own.host).unwrap_or(0);
        let mut sources = Vec::new();
        let mut above = place;
        while above > 0 {
            above = (above - 1) / FAN_OUT;
            sources.push(Source::Host(hosts[above].clone()));
        }
        sources.push(Source::Origin);
        // Without the origin, any host will do.
        let other = fastrand::usize(..hosts.len().max(1));
        if other != place {
            sources.push(Source::Host(hosts[other].clone()));
        }
        sources
    }

    async fn ask(&self, host: &MemberRecord) -> Option<Vec<u8>> {
        let request = ManifestRequest {
            manifest_digest: self.target.manifest_digest,
            wait_ms: WAIT.as_millis() as u32,
        };
        let peers = &self.node.peers;
        let call = peers.call(
            host.peer_address,
            LinkClass::Weights,
            WAIT + CALL_MARGIN,
            |peer, ctx| async move { peer.manifest(ctx, request).await },
        );
        call.await.ok().flatten().map(|it| it.into_vec())
    }

    async fn ask_origin(&self) -> Option<Vec<u8>> {
        match self.origin.manifest(&self.target.version).await {
            Ok(json) => Some(json),
            Err(err) => {
                self.note(&err.to_string());
                None
            }
        }
    }

    fn check(&self, json: Vec<u8>) -> Result<ManifestText, ManifestError> {
        let wanted: &Digest = &self.target.manifest_digest;
        let manifest = Manifest::parse_as(&json, wanted, self.limit_bytes)?;
        Ok(ManifestText { json, manifest })
    }

    fn note(&self, problem: &str) {
        if self.log.problem().as_deref() != Some(problem) {
            log::warn!("weights: no manifest version={} error=\"{problem}\"", self.target.version);
        }
        self.log.set_problem(Some(problem.to_owned()));
    }
}

enum Source {
    Host(Arc<MemberRecord>),
    Origin,
}
