//! Receives the datagrams of other processes.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use async_io::Async;
use futures_lite::future;

use crate::{fleet::beacon::PeerMessage, runtime};

/// Number of datagrams after which other tasks get a turn, though more may have arrived.
const MESSAGES_PER_TURN: u32 = 16;
/// Delay after a failed receive.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receives and decodes the messages that arrive at a socket.
pub(crate) struct MessageReceiver<'a> {
    socket: &'a Async<UdpSocket>,
    bytes: Vec<u8>,
    n_received: u32,
}

impl MessageReceiver<'_> {
    /// Creates the receiver of messages of at most `max_bytes` each.
    pub(crate) fn new(socket: &Async<UdpSocket>, max_bytes: usize) -> MessageReceiver<'_> {
        MessageReceiver { socket, bytes: vec![0; max_bytes], n_received: 0 }
    }

    /// Returns the next message and its sender; malformed ones are skipped.
    pub(crate) async fn next(&mut self) -> (SocketAddr, PeerMessage) {
        loop {
            self.n_received = self.n_received.wrapping_add(1);
            if self.n_received % MESSAGES_PER_TURN == 0 {
                future::yield_now().await;
            }
            let (n_bytes, from) = match self.socket.recv_from(&mut self.bytes).await {
                Ok(it) => it,
                Err(err) => {
                    log::debug!("fleet: failed to receive a message error=\"{err}\"");
                    runtime::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            match bincode::deserialize(&self.bytes[..n_bytes]) {
                Ok(message) => return (from, message),
                Err(err) => {
                    log::warn!("fleet: failed to decode a message error=\"{err}\" from={from}")
                }
            }
        }
    }
}
