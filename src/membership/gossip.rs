//! Gossip: exchanges document numbers and membership events with a random peer in each round.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures_lite::FutureExt;

use crate::{
    documents::DocumentStore,
    membership::{
        join,
        member_record::{HostState, MemberRecord},
        membership::Membership,
        neighbours::Neighbours,
        reporter::Reporter,
    },
    peer::{
        DocumentDigest, DocumentName, GossipExchange, GossipReply, LinkClass, PeerError, PeerPool,
    },
    runtime,
};

/// The mean interval between two gossip rounds; odd rounds may use a peer in another region.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// The number of rounds after which one neighbour in each of the two sets is replaced.
const NEIGHBOUR_RENEWAL_ROUNDS: u64 = 30;
/// The number of rounds between two attempts to reach hosts that are gone or not in the view.
const RECONNECT_ROUNDS: u64 = 10;
/// The maximum number of lost hosts contacted in one attempt, which ends at the first failure.
const MAX_RECONNECTS: usize = 20;
/// The number of peers that are notified of a new document without waiting for the next round.
const UPDATE_PEERS: usize = 2;
/// The timeout of one call to a peer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of membership events in one message.
const MAX_EVENTS: usize = 24;
/// The number of consecutive exchanges with differing view hashes before two views are compared.
const MAX_MISMATCHES: u32 = 3;
/// The minimum time between two comparisons of views.
const COMPARE_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum number of records returned by one comparison.
pub(crate) const MAX_DIFFERING_RECORDS: usize = 64;
/// The duration of a pause of this process after which its view is outdated and it joins again.
const VIEW_LIFETIME: Duration = Duration::from_secs(1800);

/// The gossip protocol of one process, which spreads documents and membership events.
#[derive(Debug)]
pub struct Gossip {
    pub(crate) documents: Arc<DocumentStore>,
    pub(crate) membership: Arc<Membership>,
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) configured_addresses: Vec<SocketAddr>,
    pulling: Mutex<BTreeSet<DocumentName>>,
    progress: Mutex<Progress>,
}

/// The state that gossip rounds and exchanges carry over to the next ones.
#[derive(Debug)]
struct Progress {
    neighbours: Neighbours,
    n_mismatches: u32,
    compared_at: Instant,
}

impl Gossip {
    /// Creates the gossip state; `configured_addresses` are the seed addresses in the settings.
    pub fn new(
        documents: Arc<DocumentStore>,
        membership: Arc<Membership>,
        peers: Arc<PeerPool>,
        configured_addresses: Vec<SocketAddr>,
    ) -> Gossip {
        let now = Instant::now();
        let progress =
            Progress { neighbours: Neighbours::default(), n_mismatches: 0, compared_at: now };
        let progress = Mutex::new(progress);
        Gossip {
            documents,
            membership,
            peers,
            configured_addresses,
            pulling: Mutex::default(),
            progress,
        }
    }

    /// Handles an exchange that another process started and returns the reply.
    ///
    /// A sender that is suspect or gone in this view gets its record, so that it can refute it.
    pub fn handle_exchange(self: &Arc<Self>, exchange: GossipExchange) -> GossipReply {
        let known = self.membership.merge_events(exchange.events);
        self.start_pull(exchange.from_address, &exchange.documents);
        let sender = self.membership.record(&exchange.from);
        let mut events = self.membership.with_table(|it| it.next_events(MAX_EVENTS));
        let reported_down = sender.as_ref().filter(|it| is_reported_down(it));
        events.extend(reported_down.map(|it| (**it).clone()));
        GossipReply {
            from: self.membership.own().host.clone(),
            documents: self.documents.digests(),
            membership_hash: self.membership.with_table(|it| it.hash()),
            events,
            known,
            wants_sender: sender.is_none(),
        }
    }

    /// Joins the deployment, then runs gossip rounds until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        join::join(&self).await;
        let reporter = Reporter::new(self.clone());
        let _report_task = runtime::spawn(reporter.run());
        let mut last_round = Instant::now();
        for round in 0u64.. {
            if last_round.elapsed() > VIEW_LIFETIME {
                self.rejoin().await;
            }
            last_round = Instant::now();
            self.choose_neighbours(round % NEIGHBOUR_RENEWAL_ROUNDS == 0);
            let allows_other_region = round % 2 == 1;
            // In a separate task, because a peer that does not respond would delay the next round
            // by the complete timeout.
            if let Some(address) = self.choose_peer(allows_other_region) {
                self.start_exchange(address);
            }
            if round % RECONNECT_ROUNDS == RECONNECT_ROUNDS - 1 {
                let gossip = self.clone();
                runtime::spawn(async move { gossip.reconnect_lost_hosts().await }).detach();
            }
            self.wait_for_round().await;
        }
    }

    /// Exchanges with the process at `address`; returns `true` if it responded.
    pub(crate) async fn exchange_with(self: &Arc<Self>, address: SocketAddr) -> bool {
        match self.exchange(address).await {
            Ok(reply) => {
                self.apply_reply(address, reply).await;
                true
            }
            Err(err) => {
                log::debug!("gossip: failed to exchange with a peer error=\"{err}\"");
                false
            }
        }
    }

    /// Fetches the complete list of hosts from the process at `address` and merges it.
    pub(crate) async fn fetch_members(&self, address: SocketAddr) -> Result<(), PeerError> {
        let call =
            self.peers.call(address, LinkClass::Control, CALL_TIMEOUT, |peer, ctx| async move {
                peer.members(ctx).await
            });
        let n_applied = self.membership.merge(call.await?);
        log::debug!("gossip: merged the list of hosts from={address} newer={n_applied}");
        Ok(())
    }

    fn start_exchange(self: &Arc<Self>, address: SocketAddr) {
        let gossip = self.clone();
        runtime::spawn(async move { gossip.exchange_with(address).await }).detach();
    }

    async fn exchange(&self, address: SocketAddr) -> Result<GossipReply, PeerError> {
        let own = self.membership.own();
        let events = self.membership.with_table(|it| it.next_events(MAX_EVENTS));
        let exchange = GossipExchange {
            from: own.host.clone(),
            from_address: own.peer_address,
            documents: self.documents.digests(),
            membership_hash: self.membership.with_table(|it| it.hash()),
            events,
        };
        let call =
            self.peers.call(address, LinkClass::Control, CALL_TIMEOUT, |peer, ctx| async move {
                peer.exchange(ctx, exchange).await
            });
        call.await
    }

    async fn apply_reply(self: &Arc<Self>, address: SocketAddr, reply: GossipReply) {
        self.membership.merge_events(reply.events);
        self.membership.with_table(|it| it.count_known_events(&reply.known));
        if reply.wants_sender {
            self.announce_to(address, (*self.membership.own()).clone()).await;
        }
        self.notify_reported_down(address, &reply.from).await;
        self.pull(address, &reply.documents).await;
        if self.should_compare_views(reply.membership_hash) {
            self.reconcile_with(address).await;
        }
    }

    /// Sends a responding host its record if it is suspect or gone in this view, so that it can
    /// refute it.
    async fn notify_reported_down(&self, address: SocketAddr, host: &str) {
        let Some(record) = self.membership.record(host) else { return };
        if is_reported_down(&record) && record.host != self.membership.own().host {
            self.announce_to(address, (*record).clone()).await;
        }
    }

    async fn announce_to(&self, address: SocketAddr, record: MemberRecord) {
        let call =
            self.peers.call(address, LinkClass::Control, CALL_TIMEOUT, |peer, ctx| async move {
                peer.announce(ctx, record).await
            });
        if let Err(err) = call.await {
            log::debug!("gossip: failed to announce a record error=\"{err}\"");
        }
    }

    fn should_compare_views(&self, peer_hash: u64) -> bool {
        let own_hash = self.membership.with_table(|it| it.hash());
        let mut progress = self.progress.lock().unwrap();
        if own_hash == peer_hash {
            progress.n_mismatches = 0;
            return false;
        }
        progress.n_mismatches += 1;
        let should_compare = progress.n_mismatches >= MAX_MISMATCHES
            && progress.compared_at.elapsed() >= COMPARE_INTERVAL;
        if should_compare {
            progress.n_mismatches = 0;
            progress.compared_at = Instant::now();
        }
        should_compare
    }

    /// Merges records that differ in the peer's view, at most `MAX_DIFFERING_RECORDS`.
    async fn reconcile_with(&self, address: SocketAddr) {
        let hashes = self.membership.with_table(|it| it.bucket_hashes());
        let call =
            self.peers.call(address, LinkClass::Control, CALL_TIMEOUT, |peer, ctx| async move {
                peer.differing_members(ctx, hashes).await
            });
        match call.await {
            Ok(records) => {
                let n_applied = self.membership.merge(records);
                log::debug!("gossip: merged differing records with={address} newer={n_applied}");
            }
            Err(err) => log::debug!("gossip: failed to compare views error=\"{err}\""),
        }
    }

    /// Pulls newer documents in a separate task, so that the reply to an exchange does not wait.
    fn start_pull(self: &Arc<Self>, address: SocketAddr, peer_digests: &[DocumentDigest]) {
        if self.documents.outdated(peer_digests).is_empty() {
            return;
        }
        let gossip = self.clone();
        let peer_digests = peer_digests.to_vec();
        runtime::spawn(async move { gossip.pull(address, &peer_digests).await }).detach();
    }

    /// Pulls newer documents, except those that another task is already pulling.
    async fn pull(&self, address: SocketAddr, peer_digests: &[DocumentDigest]) {
        for name in self.documents.outdated(peer_digests) {
            if !self.pulling.lock().unwrap().insert(name.clone()) {
                continue;
            }
            self.pull_document(address, name.clone()).await;
            self.pulling.lock().unwrap().remove(&name);
        }
    }

    async fn pull_document(&self, address: SocketAddr, name: DocumentName) {
        let call =
            self.peers.call(address, LinkClass::Control, CALL_TIMEOUT, |peer, ctx| async move {
                peer.document(ctx, name).await
            });
        match call.await {
            Ok(Some(document)) => {
                if let Err(err) = self.documents.offer(document) {
                    log::warn!("gossip: failed to apply a document error=\"{err}\"");
                }
            }
            Ok(None) => {}
            Err(err) => log::debug!("gossip: failed to pull a document error=\"{err}\""),
        }
    }

    /// Waits for the next round; meanwhile each change of the documents starts exchanges with
    /// `UPDATE_PEERS` neighbours.
    async fn wait_for_round(self: &Arc<Self>) {
        let pause = ROUND_INTERVAL.mul_f64(0.75 + 0.5 * fastrand::f64());
        let until = Instant::now() + pause;
        loop {
            let document_change = self.documents.listen();
            let is_document_changed = async {
                document_change.await;
                true
            };
            let is_round_over = async {
                runtime::sleep_until(until).await;
                false
            };
            if !is_document_changed.or(is_round_over).await {
                return;
            }
            for idx in 0..UPDATE_PEERS {
                if let Some(address) = self.choose_peer(idx == 1) {
                    self.start_exchange(address);
                }
            }
        }
    }

    fn choose_neighbours(&self, is_renewal_round: bool) {
        let own = self.membership.own();
        let records = self.membership.records();
        let mut random = fastrand::Rng::new();
        let neighbours = &mut self.progress.lock().unwrap().neighbours;
        if is_renewal_round {
            neighbours.renew(&own, &records, &mut random);
        } else {
            neighbours.fill(&own, &records, &mut random);
        }
    }

    fn choose_peer(&self, allows_other_region: bool) -> Option<SocketAddr> {
        let own = self.membership.own();
        let records = self.membership.records();
        let progress = self.progress.lock().unwrap();
        progress.neighbours.choose(&own, &records, allows_other_region, &mut fastrand::Rng::new())
    }

    /// Exchanges with gone hosts and seed addresses of no present host, until one does not respond.
    ///
    /// This merges the two parts of the fleet after a network partition.
    async fn reconnect_lost_hosts(self: &Arc<Self>) {
        let mut addresses = self.lost_host_addresses();
        fastrand::shuffle(&mut addresses);
        for address in addresses.into_iter().take(MAX_RECONNECTS) {
            if !self.exchange_with(address).await {
                return;
            }
        }
    }

    /// Returns the seed addresses: those in the settings and those in the platform's list of hosts.
    pub(crate) fn seed_addresses(&self) -> Vec<SocketAddr> {
        let mut seed_addresses = self.configured_addresses.clone();
        seed_addresses.extend(self.membership.platform_addresses());
        seed_addresses
    }

    fn lost_host_addresses(&self) -> Vec<SocketAddr> {
        let present = self.membership.records();
        let gone = self.membership.gone();
        let mut addresses: Vec<SocketAddr> = gone.iter().map(|it| it.peer_address).collect();
        addresses.extend(self.seed_addresses());
        addresses.retain(|it| present.iter().all(|record| record.peer_address != *it));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    async fn rejoin(self: &Arc<Self>) {
        log::warn!("gossip: this process was paused for too long; joining again");
        self.membership.with_table(|it| it.reset());
        self.membership.set_joined(false);
        join::join(self).await;
    }
}

fn is_reported_down(record: &MemberRecord) -> bool {
    matches!(record.state, HostState::Suspect | HostState::Gone)
}
