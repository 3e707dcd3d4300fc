//! Receives the datagrams of other processes and hands each to the part that it concerns.

use std::{net::SocketAddr, rc::Rc};

use crate::{
    entry::{
        beacon_exchange, crash_reports, crash_tries, entry_host::EntryHost, evacuations,
        limit_notices, server_notices,
    },
    fleet::{MessageReceiver, PeerMessage},
};

/// Maximum length of a datagram; a host may report more than a thousand reservations to one owner.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Receives and applies datagrams until the task is dropped.
pub(crate) async fn run(host: Rc<EntryHost>) {
    let mut receiver = MessageReceiver::new(&host.socket, MAX_DATAGRAM_BYTES);
    loop {
        let (from, message) = receiver.next().await;
        apply(&host, from, message);
    }
}

fn apply(host: &EntryHost, from: SocketAddr, message: PeerMessage) {
    match message {
        PeerMessage::Admission(message) => host.handle_admission(from, message),
        PeerMessage::Beacon(beacon) => beacon_exchange::apply(host, from, beacon),
        PeerMessage::EngineNotice(notice) => host.apply_notice(&notice),
        PeerMessage::CrashReport(report) => crash_reports::apply(host, report),
        PeerMessage::RequestTry(message) => crash_tries::apply(host, from, &message),
        PeerMessage::ServerLeaving(notice) => server_notices::apply(host, from, &notice),
        PeerMessage::RequestLimits(notices) => limit_notices::apply(host, from, &notices),
        PeerMessage::LostEvacuations(lost) => evacuations::learn(host, &lost),
        PeerMessage::PiecesHeld(_) | PeerMessage::Manifest(_) => {
            log::debug!("fleet: ignored a message for slot processes from={from}")
        }
    }
}
