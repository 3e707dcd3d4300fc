//! Probes other processes and marks those as gone that nobody can reach.
//!
//! Each round probes one host. One that does not answer is probed through third hosts; only when
//! they can't reach it either is it suspect. A suspicion spreads, the host can refute it, and a few
//! hosts that rank first confirm it through others once more before the host counts as gone.

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
        suspicion::{self, Finding},
    },
    peer::{LinkClass, PeerPool, ProbeResponse},
    runtime,
};

/// Pause between two rounds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of a direct probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit of a probe through a third host.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(3000);
/// Third hosts asked about one host.
const MAX_THIRD_HOSTS: usize = 3;
/// A round that took longer than this means that this process itself was paused.
const PAUSE_LIMIT: Duration = Duration::from_secs(4);

/// The failure detector of one process.
#[derive(Clone, Debug)]
pub struct Detector {
    membership: Arc<Membership>,
    peers: Arc<PeerPool>,
    in_check: Arc<Mutex<BTreeSet<HostId>>>,
    last_round: Arc<Mutex<Instant>>,
}

impl Detector {
    /// Prepares the detector.
    pub fn new(membership: Arc<Membership>, peers: Arc<PeerPool>) -> Detector {
        let last_round = Arc::new(Mutex::new(Instant::now()));
        Detector { membership, peers, in_check: Arc::default(), last_round }
    }

    /// Probes until the task is dropped.
    pub async fn run(self) {
        let mut order: Vec<HostId> = Vec::new();
        loop {
            runtime::sleep(PROBE_INTERVAL.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
            if self.note_round() > PAUSE_LIMIT {
                log::warn!("members: this process was paused, no probes in this round");
                continue;
            }
            self.membership.with_table(|it| it.forget(Instant::now()));
            if let Some(target) = self.next_target(&mut order) {
                self.start_check(target, HostState::Suspect);
            }
            for suspect in self.suspects_to_confirm() {
                self.start_check(suspect, HostState::Gone);
            }
        }
    }

    fn note_round(&self) -> Duration {
        let mut last = self.last_round.lock().unwrap();
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(*last);
        *last = now;
        elapsed
    }

    fn next_target(&self, order: &mut Vec<HostId>) -> Option<Arc<MemberRecord>> {
        if order.is_empty() {
            *order = self.others().into_iter().map(|it| it.host.clone()).collect();
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
        let is_due = |record: &MemberRecord, since: Instant| {
            let age = now.saturating_duration_since(since);
            age >= suspicion::confirm_delay(self.own_rank(&record.host))
        };
        let due = suspects.into_iter().filter(|(record, since)| is_due(record, *since));
        due.map(|it| it.0).collect()
    }

    fn own_rank(&self, suspect: &str) -> usize {
        let own = self.membership.own().host.clone();
        let live = self.membership.records();
        let up = live.iter().filter(|it| it.state != HostState::Suspect);
        let hosts: Vec<HostId> = up.map(|it| it.host.clone()).collect();
        let ranked = rank(&format!("confirm/{suspect}"), &hosts);
        ranked.iter().position(|it| *it == own).unwrap_or(ranked.len())
    }

    /// Checks one host beside the rounds; a host that is being checked is not checked twice.
    fn start_check(&self, target: Arc<MemberRecord>, mark: HostState) {
        if !self.in_check.lock().unwrap().insert(target.host.clone()) {
            return;
        }
        let detector = self.clone();
        runtime::spawn(async move {
            detector.check(&target, mark).await;
            detector.in_check.lock().unwrap().remove(&target.host);
        })
        .detach();
    }

    async fn check(&self, target: &MemberRecord, mark: HostState) {
        let started = Instant::now();
        let finding = self.probe(target).await;
        let is_paused = started.elapsed() > PROBE_TIMEOUT + INDIRECT_TIMEOUT + PAUSE_LIMIT;
        match finding {
            Finding::Alive if mark == HostState::Gone => self.tell_suspect(target).await,
            Finding::Unreachable if !is_paused => self.mark(target, mark),
            Finding::Alive | Finding::Unreachable | Finding::Unsure => {}
        }
    }

    fn mark(&self, target: &MemberRecord, mark: HostState) {
        // A leaving host that is unreachable has left.
        let state = if target.state == HostState::Leaving { HostState::Gone } else { mark };
        if self.membership.mark(target, state) {
            log::info!("members: host not reachable host={} state={state:?}", target.host);
        }
        if state == HostState::Gone {
            self.peers.close_connections(target.peer_address);
        }
    }

    async fn probe(&self, target: &MemberRecord) -> Finding {
        if self.ping(target).await {
            return Finding::Alive;
        }
        let mut third_hosts = self.others();
        third_hosts.retain(|it| it.host != target.host && it.state != HostState::Suspect);
        fastrand::shuffle(&mut third_hosts);
        let n_third_hosts = third_hosts.len();
        third_hosts.truncate(MAX_THIRD_HOSTS);
        let probes = third_hosts.iter().map(|it| self.probe_through(it, target));
        suspicion::judge(n_third_hosts, &join_all(probes).await)
    }

    /// Whether a process of the host answers at its address.
    async fn ping(&self, target: &MemberRecord) -> bool {
        let call = self.peers.call(
            target.peer_address,
            LinkClass::Control,
            PROBE_TIMEOUT,
            |peer, ctx| async move { peer.ping(ctx).await },
        );
        let answer = runtime::timeout(PROBE_TIMEOUT, call).await;
        matches!(answer, Ok(Ok(identity)) if identity.host == target.host)
    }

    async fn probe_through(
        &self,
        third_host: &MemberRecord,
        target: &MemberRecord,
    ) -> Option<ProbeResponse> {
        let (host, address) = (target.host.clone(), target.peer_address);
        let call = self.peers.call(
            third_host.peer_address,
            LinkClass::Control,
            INDIRECT_TIMEOUT,
            |peer, ctx| async move { peer.probe(ctx, host, address).await },
        );
        runtime::timeout(INDIRECT_TIMEOUT, call).await.ok()?.ok()
    }

    /// Tells a reachable host that it is suspect, so that it refutes at once.
    async fn tell_suspect(&self, target: &MemberRecord) {
        let record = MemberRecord { state: HostState::Suspect, ..target.clone() };
        let call = self.peers.call(
            target.peer_address,
            LinkClass::Control,
            PROBE_TIMEOUT,
            |peer, ctx| async move { peer.announce(ctx, record).await },
        );
        if let Err(err) = call.await {
            log::debug!("members: suspect not told host={} error=\"{err}\"", target.host);
        }
    }

    fn others(&self) -> Vec<Arc<MemberRecord>> {
        let own = self.membership.own().host.clone();
        let mut records = self.membership.records();
        records.retain(|it| it.host != own);
        records
    }
}
