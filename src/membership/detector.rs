//! Failure detector: probes other processes and marks unreachable hosts as suspect, then gone.
//!
//! Each round probes one host. A host that does not respond is probed indirectly, through other
//! hosts (intermediaries), and is marked as suspect only if they can't reach it either. Gossip
//! spreads the suspicion and the host can refute it. The first few hosts in the rendezvous ranking
//! for the suspect probe it again, directly and indirectly, before they mark it as gone.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures_util::future::join_all;

use crate::{
    ids::HostId,
    membership::{
        member_record::{HostState, MemberRecord},
        membership::Membership,
        rank::rank,
        suspicion::{self, Reachability},
    },
    peer::{LinkClass, PeerPool, ProbeResponse},
    runtime,
};

/// The mean interval between two probe rounds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The timeout of a direct probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The timeout of an indirect probe.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(3000);
/// The maximum number of intermediaries, through which one target is probed indirectly.
const MAX_INTERMEDIARIES: usize = 3;
/// The duration of a round above which this process itself is assumed to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(4);

/// A failure detector that probes the other hosts of the membership view.
#[derive(Clone, Debug)]
pub struct Detector {
    membership: Arc<Membership>,
    peers: Arc<PeerPool>,
    checks_in_progress: Arc<Mutex<BTreeSet<HostId>>>,
    last_round: Arc<Mutex<Instant>>,
}

impl Detector {
    /// Creates a detector; `run` starts the probes.
    pub fn new(membership: Arc<Membership>, peers: Arc<PeerPool>) -> Detector {
        let last_round = Arc::new(Mutex::new(Instant::now()));
        Detector { membership, peers, checks_in_progress: Arc::default(), last_round }
    }

    /// Runs probe rounds until the task is dropped.
    pub async fn run(self) {
        let mut order: Vec<HostId> = Vec::new();
        loop {
            runtime::sleep(PROBE_INTERVAL.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
            if self.record_round() > PAUSE_THRESHOLD {
                log::warn!("members: this process was paused; skipped a probe round");
                continue;
            }
            self.membership.with_table(|it| it.forget_expired(Instant::now()));
            if let Some(target) = self.next_target(&mut order) {
                self.start_check(target, HostState::Suspect);
            }
            for suspect in self.suspects_to_confirm() {
                self.start_check(suspect, HostState::Gone);
            }
        }
    }

    /// Starts a round and returns the time since the last one started.
    fn record_round(&self) -> Duration {
        let mut last = self.last_round.lock().unwrap();
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(*last);
        *last = now;
        elapsed
    }

    fn next_target(&self, order: &mut Vec<HostId>) -> Option<Arc<MemberRecord>> {
        if order.is_empty() {
            *order = self.other_records().into_iter().map(|it| it.host.clone()).collect();
            fastrand::shuffle(order);
        }
        let host = order.pop()?;
        let record = self.membership.record(&host)?;
        let is_probed = !matches!(record.state, HostState::Suspect | HostState::Gone);
        is_probed.then_some(record)
    }

    fn suspects_to_confirm(&self) -> Vec<Arc<MemberRecord>> {
        let now = Instant::now();
        let suspects = self.membership.with_table(|it| it.suspects());
        let is_confirmable = |record: &MemberRecord, since: Instant| {
            let age = now.saturating_duration_since(since);
            age >= suspicion::confirm_delay(self.confirmer_rank(&record.host))
        };
        let to_confirm =
            suspects.into_iter().filter(|(record, since)| is_confirmable(record, *since));
        to_confirm.map(|it| it.0).collect()
    }

    /// Returns the position of this host among the hosts that probe `suspect` again, from 0.
    fn confirmer_rank(&self, suspect: &str) -> usize {
        let own = self.membership.own().host.clone();
        let present = self.membership.records();
        let up = present.iter().filter(|it| it.state != HostState::Suspect);
        let hosts: Vec<HostId> = up.map(|it| it.host.clone()).collect();
        let ranked = rank(&format!("confirm/{suspect}"), &hosts);
        ranked.iter().position(|it| *it == own).unwrap_or(ranked.len())
    }

    /// Checks one host in a separate task, unless a check of this host is already in progress.
    fn start_check(&self, target: Arc<MemberRecord>, failure_state: HostState) {
        if !self.checks_in_progress.lock().unwrap().insert(target.host.clone()) {
            return;
        }
        let detector = self.clone();
        runtime::spawn(async move {
            detector.check(&target, failure_state).await;
            detector.checks_in_progress.lock().unwrap().remove(&target.host);
        })
        .detach();
    }

    async fn check(&self, target: &MemberRecord, failure_state: HostState) {
        let started = Instant::now();
        let reachability = self.probe(target).await;
        let is_paused =
            started.elapsed() > PROBE_TIMEOUT + INDIRECT_PROBE_TIMEOUT + PAUSE_THRESHOLD;
        match reachability {
            Reachability::Alive if failure_state == HostState::Gone => {
                self.notify_suspect(target).await
            }
            Reachability::Unreachable if !is_paused => self.mark(target, failure_state),
            Reachability::Alive | Reachability::Unreachable | Reachability::Inconclusive => {}
        }
    }

    fn mark(&self, target: &MemberRecord, failure_state: HostState) {
        // An unreachable host that was leaving has exited, so it needs no confirmation.
        let state =
            if target.state == HostState::Leaving { HostState::Gone } else { failure_state };
        if self.membership.mark(target, state) {
            log::info!("members: host is unreachable host={} state={state:?}", target.host);
        }
        if state == HostState::Gone {
            self.peers.close_connections(target.peer_address);
        }
    }

    async fn probe(&self, target: &MemberRecord) -> Reachability {
        if self.ping(target).await {
            return Reachability::Alive;
        }
        let mut intermediaries = self.other_records();
        intermediaries.retain(|it| it.host != target.host && it.state != HostState::Suspect);
        fastrand::shuffle(&mut intermediaries);
        let n_intermediaries = intermediaries.len();
        intermediaries.truncate(MAX_INTERMEDIARIES);
        let probes = intermediaries.iter().map(|it| self.probe_via(it, target));
        suspicion::classify_probes(n_intermediaries, &join_all(probes).await)
    }

    /// Returns `true` if a process of the target host responds at the address in its record.
    async fn ping(&self, target: &MemberRecord) -> bool {
        let call = self.peers.call(
            target.peer_address,
            LinkClass::Control,
            PROBE_TIMEOUT,
            |peer, ctx| async move { peer.ping(ctx).await },
        );
        let response = runtime::timeout(PROBE_TIMEOUT, call).await;
        matches!(response, Ok(Ok(identity)) if identity.host == target.host)
    }

    async fn probe_via(
        &self,
        intermediary: &MemberRecord,
        target: &MemberRecord,
    ) -> Option<ProbeResponse> {
        let (host, address) = (target.host.clone(), target.peer_address);
        let call = self.peers.call(
            intermediary.peer_address,
            LinkClass::Control,
            INDIRECT_PROBE_TIMEOUT,
            |peer, ctx| async move { peer.probe(ctx, host, address).await },
        );
        runtime::timeout(INDIRECT_PROBE_TIMEOUT, call).await.ok()?.ok()
    }

    /// Notifies a reachable host that it is suspect, so that it refutes the suspicion at once.
    async fn notify_suspect(&self, target: &MemberRecord) {
        let record = MemberRecord { state: HostState::Suspect, ..target.clone() };
        let call = self.peers.call(
            target.peer_address,
            LinkClass::Control,
            PROBE_TIMEOUT,
            |peer, ctx| async move { peer.announce(ctx, record).await },
        );
        if let Err(err) = call.await {
            log::debug!("members: failed to notify a suspect host={} error=\"{err}\"", target.host);
        }
    }

    fn other_records(&self) -> Vec<Arc<MemberRecord>> {
        let own = self.membership.own().host.clone();
        let mut records = self.membership.records();
        records.retain(|it| it.host != own);
        records
    }
}
