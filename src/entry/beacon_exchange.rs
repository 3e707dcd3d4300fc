//! Sends beacons to the other entry hosts and takes theirs.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::{Duration, Instant},
};

use async_executor::Task;
use async_io::Async;

use crate::{
    entry::entry_host::EntryHost,
    fleet::{beacon_interval, entry_registry, Beacon, PeerMessage},
    platform::store::Store,
    runtime,
};

/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Pause between two tries to register.
const REGISTER_RETRY: Duration = Duration::from_millis(300);

/// Starts to exchange beacons.
pub(crate) fn start(host: &Rc<EntryHost>, store: &Store) -> io::Result<Vec<Task<()>>> {
    let socket = Rc::new(Async::<UdpSocket>::bind(host.settings.peers)?);
    let register = register(host.clone(), store.clone());
    let send = send_all(host.clone(), socket.clone());
    let receive = receive_all(host.clone(), socket);
    Ok(vec![
        runtime::spawn_local(register),
        runtime::spawn_local(send),
        runtime::spawn_local(receive),
    ])
}

/// Registers this host, so that others find it.
async fn register(host: Rc<EntryHost>, store: Store) {
    let own = &host.settings.host;
    while let Err(err) =
        entry_registry::register(&store, &own.id, host.settings.peers, &own.zone).await
    {
        log::warn!("fleet: not registered error=\"{err}\"");
        runtime::sleep(REGISTER_RETRY.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Sends beacons: to the hosts of the own zone often, as their engines are used first, to all others
/// the more seldom the more hosts there are.
async fn send_all(host: Rc<EntryHost>, socket: Rc<Async<UdpSocket>>) {
    let mut all_sent: Option<Instant> = None;
    loop {
        let all: Vec<SocketAddr> = host.beacon_targets.borrow().iter().copied().collect();
        let near = host.peers.borrow().peers_of_zone(&host.settings.host.zone, Instant::now());
        let is_all_due = all_sent.is_none_or(|it| it.elapsed() >= beacon_interval(all.len()));
        let targets = if is_all_due { &all } else { &near };
        send(&host, &socket, targets).await;
        if is_all_due {
            all_sent = Some(Instant::now());
        }
        runtime::sleep(beacon_interval(near.len() + 1).min(beacon_interval(all.len()))).await;
    }
}

async fn send(host: &EntryHost, socket: &Async<UdpSocket>, targets: &[SocketAddr]) {
    let bytes = match bincode::serialize(&PeerMessage::Beacon(host.beacon())) {
        Ok(bytes) => bytes,
        Err(err) => return log::error!("fleet: beacon not encoded error=\"{err}\""),
    };
    for target in targets.iter().filter(|it| **it != host.settings.peers) {
        if let Err(err) = socket.send_to(&bytes, *target).await {
            log::debug!("fleet: beacon not sent to={target} error=\"{err}\"");
        }
    }
}

async fn receive_all(host: Rc<EntryHost>, socket: Rc<Async<UdpSocket>>) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (n_bytes, from) = match socket.recv_from(&mut bytes).await {
            Ok(it) => it,
            Err(err) => {
                log::debug!("fleet: beacon not received error=\"{err}\"");
                runtime::sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        match bincode::deserialize(&bytes[..n_bytes]) {
            Ok(PeerMessage::Beacon(beacon)) => take(&host, beacon, from),
            Ok(PeerMessage::EngineNotice(notice)) => host.take_notice(&notice),
            Ok(PeerMessage::PiecesHeld(_) | PeerMessage::Manifest(_)) => {
                log::debug!("fleet: message not for entry hosts")
            }
            Err(err) => log::warn!("fleet: beacon not readable from={from} error=\"{err}\""),
        }
    }
}

fn take(host: &EntryHost, beacon: Beacon, from: SocketAddr) {
    host.beacon_targets.borrow_mut().insert(from);
    host.peers.borrow_mut().record_beacon(beacon, Instant::now());
    host.refresh_peers();
}
