//! Exchanges document numbers and membership events with a few random peers a second.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    documents::DocumentStore,
    membership::{membership::Membership, HostState, MemberRecord},
    peer::{DocumentDigest, GossipExchange, GossipReply, LinkClass, PeerPool},
    runtime,
};

/// Pause between two rounds of gossip.
const ROUND: Duration = Duration::from_millis(500);
/// Time limit of one call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Gossip state of one process.
#[derive(Debug)]
pub struct Gossip {
    documents: Arc<DocumentStore>,
    membership: Arc<Membership>,
    peers: Arc<PeerPool>,
    join: Vec<SocketAddr>,
}

impl Gossip {
    /// Prepares gossip; `join` are addresses to begin with while no host is known.
    pub fn new(
        documents: Arc<DocumentStore>,
        membership: Arc<Membership>,
        peers: Arc<PeerPool>,
        join: Vec<SocketAddr>,
    ) -> Gossip {
        Gossip { documents, membership, peers, join }
    }

    /// Answers an exchange that another process began.
    pub fn answer(&self, exchange: GossipExchange) -> GossipReply {
        self.membership.merge(exchange.events);
        GossipReply {
            documents: self.documents.digests(),
            membership_hash: 0,
            events: self.events(),
        }
    }

    /// Gossips until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            if let Some(address) = self.choose_peer() {
                self.exchange_with(address).await;
            }
            runtime::sleep(ROUND).await;
        }
    }

    async fn exchange_with(&self, address: SocketAddr) {
        let own = self.membership.own();
        let exchange = GossipExchange {
            from: own.host.clone(),
            from_address: own.peer_address,
            documents: self.documents.digests(),
            membership_hash: 0,
            events: self.events(),
        };
        let call =
            self.peers.call(address, LinkClass::Control, CALL_TIMEOUT, |peer, ctx| async move {
                peer.exchange(ctx, exchange).await
            });
        match call.await {
            Ok(reply) => {
                self.membership.merge(reply.events);
                self.pull(address, &reply.documents).await;
            }
            Err(err) => log::debug!("gossip: exchange failed error=\"{err}\""),
        }
    }

    async fn pull(&self, address: SocketAddr, theirs: &[DocumentDigest]) {
        for name in self.documents.missing(theirs) {
            let call = self.peers.call(
                address,
                LinkClass::Control,
                CALL_TIMEOUT,
                |peer, ctx| async move { peer.document(ctx, name).await },
            );
            let Ok(Some(document)) = call.await else { continue };
            if let Err(err) = self.documents.offer(document) {
                log::warn!("gossip: document refused error=\"{err}\"");
            }
        }
    }

    fn events(&self) -> Vec<MemberRecord> {
        self.membership.records().iter().map(|it| (**it).clone()).collect()
    }

    fn choose_peer(&self) -> Option<SocketAddr> {
        let own = self.membership.own().peer_address;
        let records = self.membership.records();
        let known = records.iter().filter(|it| it.state != HostState::Gone);
        let mut addresses: Vec<SocketAddr> = known.map(|it| it.peer_address).collect();
        addresses.extend(&self.join);
        addresses.retain(|it| *it != own);
        fastrand::choice(addresses)
    }
}
