//! Sends datagrams to other entry hosts.

use std::net::SocketAddr;

use crate::{entry::entry_host::EntryHost, fleet::PeerMessage};

/// Sends a message to `targets` except this host. A lost one is not sent again.
pub(crate) fn send(host: &EntryHost, targets: &[SocketAddr], message: &PeerMessage) {
    let bytes = match bincode::serialize(message) {
        Ok(bytes) => bytes,
        Err(err) => return log::error!("fleet: failed to encode a message error=\"{err}\""),
    };
    for target in targets.iter().filter(|it| **it != host.settings.peers) {
        if let Err(err) = host.socket.get_ref().send_to(&bytes, *target) {
            log::debug!("fleet: failed to send a message to={target} error=\"{err}\"");
        }
    }
}
