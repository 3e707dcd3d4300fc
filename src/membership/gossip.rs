//! Exchanges document numbers and membership events with a few random peers a second.

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

/// Pause between two rounds of gossip; every second round may go to another region.
const ROUND: Duration = Duration::from_millis(500);
/// Rounds after which one neighbour of each kind is replaced.
const RENEW_ROUNDS: u64 = 30;
/// Rounds between two tries to reach hosts that are gone or unknown.
const REACH_ROUNDS: u64 = 10;
/// Gone hosts that are told in one go, as long as each answers.
const MAX_REACHED: usize = 20;
/// Peers that hear of a new document at once.
const NEWS_PEERS: usize = 2;
/// Time limit of one call to a peer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Membership events of one message.
const MAX_EVENTS: usize = 24;
/// Exchanges in a row with another view before the views are compared.
const MAX_MISMATCHES: u32 = 3;
/// Time between two comparisons of views.
const COMPARE_INTERVAL: Duration = Duration::from_secs(2);
/// Records that one comparison brings.
pub(crate) const MAX_DIFFERING: usize = 64;
/// A pause of the process after which its view is worthless.
const VIEW_LIFETIME: Duration = Duration::from_secs(1800);

/// Gossip state of one process.
#[derive(Debug)]
pub struct Gossip {
    pub(crate) documents: Arc<DocumentStore>,
    pub(crate) membership: Arc<Membership>,
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) join: Vec<SocketAddr>,
    pulling: Mutex<BTreeSet<DocumentName>>,
    progress: Mutex<Progress>,
}

/// What only the rounds of gossip change.
#[derive(Debug)]
struct Progress {
    neighbours: Neighbours,
    n_mismatches: u32,
    compared_at: Instant,
}

impl Gossip {
    /// Prepares gossip; `join` are addresses to begin with while no host is known.
    pub fn new(
        documents: Arc<DocumentStore>,
        membership: Arc<Membership>,
        peers: Arc<PeerPool>,
        join: Vec<SocketAddr>,
    ) -> Gossip {
        let now = Instant::now();
        let progress =
            Progress { neighbours: Neighbours::default(), n_mismatches: 0, compared_at: now };
        let progress = Mutex::new(progress);
        Gossip { documents, membership, peers, join, pulling: Mutex::default(), progress }
    }

    /// Answers an exchange that another process began.
    pub fn answer(self: &Arc<Self>, exchange: GossipExchange) -> GossipReply {
        let known = self.membership.merge_events(exchange.events);
        self.start_pull(exchange.from_address, &exchange.documents);
        let sender = self.membership.record(&exchange.from);
        let mut events = self.membership.with_table(|it| it.take_events(MAX_EVENTS));
        let accused = sender.as_ref().filter(|it| is_accused(it));
        events.extend(accused.map(|it| (**it).clone()));
        GossipReply {
            from: self.membership.own().host.clone(),
            documents: self.documents.digests(),
            membership_hash: self.membership.with_table(|it| it.hash()),
            events,
            known,
            wants_sender: sender.is_none(),
        }
    }

    /// Joins, then gossips until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        join::join(&self).await;
        let reporter = Reporter::new(self.clone());
        let _report_task = runtime::spawn(reporter.run());
        let mut last_round = Instant::now();
        for round in 0u64.. {
            if last_round.elapsed() > VIEW_LIFETIME {
                self.start_again().await;
            }
            last_round = Instant::now();
            self.choose_neighbours(round % RENEW_ROUNDS == 0);
            let may_be_far = round % 2 == 1;
            // Beside the rounds, as a peer that does not answer takes the whole time limit.
            if let Some(address) = self.choose_peer(may_be_far) {
                self.start_exchange(address);
            }
            if round % REACH_ROUNDS == REACH_ROUNDS - 1 {
                let gossip = self.clone();
                runtime::spawn(async move { gossip.reach_lost().await }).detach();
            }
            self.wait_for_round().await;
        }
    }

    /// Exchanges with the process at `address`; says whether it answered.
    pub(crate) async fn exchange_with(self: &Arc<Self>, address: SocketAddr) -> bool {
        match self.exchange(address).await {
            Ok(reply) => {
                self.take_reply(address, reply).await;
                true
            }
            Err(err) => {
                log::debug!("gossip: exchange failed error=\"{err}\"");
                false
            }
        }
    }

    /// Takes the whole list of hosts from the process at `address`.
    pub(crate) async fn take_list(&self, address: SocketAddr) -> Result<(), PeerError> {
        let call =
            self.peers.call(address, LinkClass::Control, CALL_TIMEOUT, |peer, ctx| async move {
                peer.members(ctx).await
            });
        let n_taken = self.membership.merge(call.await?);
        log::debug!("gossip: list of hosts taken from={address} newer={n_taken}");
        Ok(())
    }

    fn start_exchange(self: &Arc<Self>, address: SocketAddr) {
        let gossip = self.clone();
        runtime::spawn(async move { gossip.exchange_with(address).await }).detach();
    }

    async fn exchange(&self, address: SocketAddr) -> Result<GossipReply, PeerError> {
        let own = self.membership.own();
        let events = self.membership.with_table(|it| it.take_events(MAX_EVENTS));
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

    async fn take_reply(self: &Arc<Self>, address: SocketAddr, reply: GossipReply) {
        self.membership.merge_events(reply.events);
        self.membership.with_table(|it| it.note_known(&reply.known));
        if reply.wants_sender {
            self.announce_to(address, (*self.membership.own()).clone()).await;
        }
        self.tell_accused(address, &reply.from).await;
        self.pull(address, &reply.documents).await;
        if self.is_comparison_due(reply.membership_hash) {
            self.compare_with(address).await;
        }
    }

    /// Tells a host that answers, though it counts as suspect or gone here.
    async fn tell_accused(&self, address: SocketAddr, host: &str) {
        let Some(record) = self.membership.record(host) else { return };
        if is_accused(&record) && record.host != self.membership.own().host {
            self.announce_to(address, (*record).clone()).await;
        }
    }

    async fn announce_to(&self, address: SocketAddr, record: MemberRecord) {
        let call =
            self.peers.call(address, LinkClass::Control, CALL_TIMEOUT, |peer, ctx| async move {
                peer.announce(ctx, record).await
            });
        if let Err(err) = call.await {
            log::debug!("gossip: record not announced error=\"{err}\"");
        }
    }

    fn is_comparison_due(&self, their_hash: u64) -> bool {
        let own_hash = self.membership.with_table(|it| it.hash());
        let mut progress = self.progress.lock().unwrap();
        if own_hash == their_hash {
            progress.n_mismatches = 0;
            return false;
        }
        progress.n_mismatches += 1;
        let is_due = progress.n_mismatches >= MAX_MISMATCHES
            && progress.compared_at.elapsed() >= COMPARE_INTERVAL;
        if is_due {
            progress.n_mismatches = 0;
            progress.compared_at = Instant::now();
        }
        is_due
    }

    /// Takes the records of the peer's view that differ, as far as one message goes.
    async fn compare_with(&self, address: SocketAddr) {
        let hashes = self.membership.with_table(|it| it.bucket_hashes());
        let call =
            self.peers.call(address, LinkClass::Control, CALL_TIMEOUT, |peer, ctx| async move {
                peer.differing_members(ctx, hashes).await
            });
        match call.await {
            Ok(records) => {
                let n_taken = self.membership.merge(records);
                log::debug!("gossip: views compared with={address} newer={n_taken}");
            }
            Err(err) => log::debug!("gossip: views not compared error=\"{err}\""),
        }
    }

    /// Pulls newer documents beside the answer to an exchange.
    fn start_pull(self: &Arc<Self>, address: SocketAddr, theirs: &[DocumentDigest]) {
        if self.documents.missing(theirs).is_empty() {
            return;
        }
        let gossip = self.clone();
        let theirs = theirs.to_vec();
        runtime::spawn(async move { gossip.pull(address, &theirs).await }).detach();
    }

    /// Pulls newer documents; one that is being pulled is left to that call.
    async fn pull(&self, address: SocketAddr, theirs: &[DocumentDigest]) {
        for name in self.documents.missing(theirs) {
            if !self.pulling.lock().unwrap().insert(name.clone()) {
                continue;
            }
            self.pull_one(address, name.clone()).await;
            self.pulling.lock().unwrap().remove(&name);
        }
    }

    async fn pull_one(&self, address: SocketAddr, name: DocumentName) {
        let call =
            self.peers.call(address, LinkClass::Control, CALL_TIMEOUT, |peer, ctx| async move {
                peer.document(ctx, name).await
            });
        match call.await {
            Ok(Some(document)) => {
                if let Err(err) = self.documents.offer(document) {
                    log::warn!("gossip: document refused error=\"{err}\"");
                }
            }
            Ok(None) => {}
            Err(err) => log::debug!("gossip: document not pulled error=\"{err}\""),
        }
    }

    /// Waits for the next round; a new document is told to some neighbours at once.
    async fn wait_for_round(self: &Arc<Self>) {
        let pause = ROUND.mul_f64(0.75 + 0.5 * fastrand::f64());
        let until = Instant::now() + pause;
        loop {
            let news = self.documents.listen();
            let has_news = async {
                news.await;
                true
            };
            let is_over = async {
                runtime::sleep_until(until).await;
                false
            };
            if !has_news.or(is_over).await {
                return;
            }
            for idx in 0..NEWS_PEERS {
                if let Some(address) = self.choose_peer(idx == 1) {
                    self.start_exchange(address);
                }
            }
        }
    }

    fn choose_neighbours(&self, must_renew: bool) {
        let own = self.membership.own();
        let records = self.membership.records();
        let mut random = fastrand::Rng::new();
        let neighbours = &mut self.progress.lock().unwrap().neighbours;
        if must_renew {
            neighbours.renew(&own, &records, &mut random);
        } else {
            neighbours.fill(&own, &records, &mut random);
        }
    }

    fn choose_peer(&self, may_be_far: bool) -> Option<SocketAddr> {
        let own = self.membership.own();
        let records = self.membership.records();
        let progress = self.progress.lock().unwrap();
        progress.neighbours.choose(&own, &records, may_be_far, &mut fastrand::Rng::new())
    }

    /// Tries hosts that are gone and addresses to join by that belong to no known host, so that
    /// two parts of the fleet that lost each other meet again.
    async fn reach_lost(self: &Arc<Self>) {
        let mut addresses = self.lost_addresses();
        fastrand::shuffle(&mut addresses);
        for address in addresses.into_iter().take(MAX_REACHED) {
            if !self.exchange_with(address).await {
                return;
            }
        }
    }

    /// Addresses to join by: those of the settings and of the platform's list.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        let mut seeds = self.join.clone();
        seeds.extend(self.membership.listed());
        seeds
    }

    fn lost_addresses(&self) -> Vec<SocketAddr> {
        let present = self.membership.records();
        let gone = self.membership.gone();
        let mut addresses: Vec<SocketAddr> = gone.iter().map(|it| it.peer_address).collect();
        addresses.extend(self.seeds());
        addresses.retain(|it| present.iter().all(|record| record.peer_address != *it));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    async fn start_again(self: &Arc<Self>) {
        log::warn!("gossip: this process was paused for long, it joins anew");
        self.membership.with_table(|it| it.restart());
        self.membership.set_joined(false);
        join::join(self).await;
    }
}

fn is_accused(record: &MemberRecord) -> bool {
    matches!(record.state, HostState::Suspect | HostState::Gone)
}
