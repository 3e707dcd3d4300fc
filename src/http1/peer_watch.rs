//! Breaks connections whose peer is gone while sent bytes wait for an acknowledgement.
//!
//! TCP keepalive covers connections without such bytes. The TCP user timeout would cover the others,
//! but it also breaks those whose peer is alive and only reads late.

use std::{
    cell::RefCell,
    io::{self, ErrorKind},
    net::{Shutdown, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Weak,
    },
    time::{Duration, Instant},
};

use async_io::Async;
use socket2::SockRef;

use crate::{
    http1::{ack_status::AckStatus, peer_silence::PeerSilence},
    runtime,
};

/// Interval between two checks of all connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

thread_local! {
    static WATCHED: RefCell<Vec<WatchedConnection>> = const { RefCell::new(Vec::new()) };
}

/// Whether the peer of a connection was found to be gone.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerState {
    is_gone: Arc<AtomicBool>,
}

struct WatchedConnection {
    stream: Weak<Async<TcpStream>>,
    state: PeerState,
    silence: PeerSilence,
}

impl PeerState {
    /// Watches the peer of a connection until the connection is dropped.
    ///
    /// Once the peer is gone, reads return no bytes and writes fail.
    pub(crate) fn watch(stream: &Arc<Async<TcpStream>>) -> PeerState {
        let state = PeerState::default();
        let watched = WatchedConnection {
            stream: Arc::downgrade(stream),
            state: state.clone(),
            silence: PeerSilence::new(Instant::now()),
        };
        let is_first = WATCHED.with_borrow_mut(|it| {
            it.push(watched);
            it.len() == 1
        });
        if is_first {
            runtime::spawn_local(check_all()).detach();
        }
        state
    }

    /// Fails if the peer is gone.
    pub(crate) fn check(&self) -> io::Result<()> {
        match self.is_gone.load(Ordering::Relaxed) {
            true => Err(io::Error::new(ErrorKind::TimedOut, "the peer acknowledges nothing")),
            false => Ok(()),
        }
    }
}

impl WatchedConnection {
    /// Breaks the connection if its peer is gone; returns `false` if it needs no further checks.
    fn check(&mut self, now: Instant) -> bool {
        let Some(stream) = self.stream.upgrade() else { return false };
        let Ok(status) = AckStatus::read(stream.get_ref()) else { return false };
        if !self.silence.observe(status, now) {
            return true;
        }
        log::debug!("http: the peer of a connection acknowledges nothing");
        self.state.is_gone.store(true, Ordering::Relaxed);
        if let Err(err) = break_connection(stream.get_ref()) {
            log::debug!("http: failed to break a connection error=\"{err}\"");
        }
        false
    }
}

/// Wakes up readers and writers of a connection; nothing more is sent once it is dropped.
fn break_connection(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    stream.shutdown(Shutdown::Both)
}

/// Checks all connections of the thread until there are none.
async fn check_all() {
    let mut has_connections = true;
    while has_connections {
        runtime::sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        has_connections = WATCHED.with_borrow_mut(|connections| {
            connections.retain_mut(|it| it.check(now));
            !connections.is_empty()
        });
    }
}
