//! Sends beacons to the other entry hosts and receives theirs.

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

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum length of a datagram.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Mean delay between two attempts to register.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Registers this host in the store and starts to exchange beacons.
pub(crate) fn start(host: &Rc<EntryHost>, store: &Store) -> io::Result<Vec<Task<()>>> {
    let socket = Rc::new(Async::<UdpSocket>::bind(host.settings.peers)?);
    let register = register(host.clone(), store.clone());
    let send = send_loop(host.clone(), socket.clone());
    let receive = receive_loop(host.clone(), socket);
    Ok(vec![
        runtime::spawn_local(register),
        runtime::spawn_local(send),
        runtime::spawn_local(receive),
    ])
}

/// Registers this host in the store, so that other entry hosts send it beacons.
async fn register(host: Rc<EntryHost>, store: Store) {
    let own = &host.settings.host;
    while let Err(err) =
        entry_registry::register(&store, &own.id, host.settings.peers, &own.zone).await
    {
        log::warn!("fleet: failed to register, retrying error=\"{err}\"");
        runtime::sleep(REGISTER_RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Sends beacons until the task is dropped.
///
/// Hosts of the same zone receive them more often, because hosts prefer the engines of their own
/// zone and must know the load that the others put on them. The interval to all other hosts grows
/// with the number of hosts.
async fn send_loop(host: Rc<EntryHost>, socket: Rc<Async<UdpSocket>>) {
    let mut last_sent_to_all: Option<Instant> = None;
    loop {
        let all: Vec<SocketAddr> = host.beacon_targets.borrow().iter().copied().collect();
        let same_zone = host.peers.borrow().peers_of_zone(&host.settings.host.zone, Instant::now());
        let sends_to_all =
            last_sent_to_all.is_none_or(|it| it.elapsed() >= beacon_interval(all.len()));
        let targets = if sends_to_all { &all } else { &same_zone };
        send(&host, &socket, targets).await;
        if sends_to_all {
            last_sent_to_all = Some(Instant::now());
        }
        runtime::sleep(beacon_interval(same_zone.len() + 1).min(beacon_interval(all.len()))).await;
    }
}

async fn send(host: &EntryHost, socket: &Async<UdpSocket>, targets: &[SocketAddr]) {
    let bytes = match bincode::serialize(&PeerMessage::Beacon(host.next_beacon())) {
        Ok(bytes) => bytes,
        Err(err) => return log::error!("fleet: failed to encode a beacon error=\"{err}\""),
    };
    for target in targets.iter().filter(|it| **it != host.settings.peers) {
        if let Err(err) = socket.send_to(&bytes, *target).await {
            log::debug!("fleet: failed to send a beacon to={target} error=\"{err}\"");
        }
    }
}

async fn receive_loop(host: Rc<EntryHost>, socket: Rc<Async<UdpSocket>>) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (n_bytes, from) = match socket.recv_from(&mut bytes).await {
            Ok(it) => it,
            Err(err) => {
                log::debug!("fleet: failed to receive a message error=\"{err}\"");
                runtime::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match bincode::deserialize(&bytes[..n_bytes]) {
            Ok(PeerMessage::Beacon(beacon)) => apply_beacon(&host, beacon, from),
            Ok(PeerMessage::EngineNotice(notice)) => host.apply_notice(&notice),
            Ok(PeerMessage::PiecesHeld(_) | PeerMessage::Manifest(_)) => {
                log::debug!("fleet: ignored a message for slot processes")
            }
            Err(err) => log::warn!("fleet: failed to decode a message from={from} error=\"{err}\""),
        }
    }
}

fn apply_beacon(host: &EntryHost, beacon: Beacon, from: SocketAddr) {
    host.beacon_targets.borrow_mut().insert(from);
    host.peers.borrow_mut().record_beacon(beacon, Instant::now());
    host.refresh_peers();
}
