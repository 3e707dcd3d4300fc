//! Sends beacons to the other entry hosts and takes theirs.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    io,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::{Duration, Instant},
};

use async_executor::Task;
use async_io::Async;

use crate::{
    entry::entry_host::EntryHost,
    fleet::{entry_registry, Beacon, PeerMessage},
    platform::store::Store,
    runtime,
};

/// Pause between two beacons of a small deployment.
const INTERVAL: Duration = Duration::from_millis(100);
/// Entry hosts up to which that pause holds; it grows in proportion beyond.
const SMALL_DEPLOYMENT: usize = 8;
/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Pause between two tries to register.
const REGISTER_RETRY: Duration = Duration::from_millis(300);
/// Pause between two reads of the list of entry hosts by a process that hears nobody.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Starts to exchange beacons.
pub(crate) fn start(host: &Rc<EntryHost>, store: &Store) -> io::Result<Vec<Task<()>>> {
    let socket = Rc::new(Async::<UdpSocket>::bind(host.settings.peers)?);
    let addresses = Rc::new(RefCell::new(BTreeSet::new()));
    let find = find_peers(host.clone(), store.clone(), addresses.clone());
    let send = send_all(host.clone(), socket.clone(), addresses.clone());
    let receive = receive_all(host.clone(), socket, addresses);
    Ok(vec![runtime::spawn_local(find), runtime::spawn_local(send), runtime::spawn_local(receive)])
}

/// Registers this host and reads who else there is.
async fn find_peers(
    host: Rc<EntryHost>,
    store: Store,
    addresses: Rc<RefCell<BTreeSet<SocketAddr>>>,
) {
    while let Err(err) =
        entry_registry::register(&store, &host.settings.host.id, host.settings.peers).await
    {
        log::warn!("fleet: not registered error=\"{err}\"");
        runtime::sleep(REGISTER_RETRY.mul_f64(0.5 + fastrand::f64())).await;
    }
    loop {
        match entry_registry::list(&store).await {
            Ok(listed) => {
                log::info!("fleet: entry hosts listed n={}", listed.len());
                addresses.borrow_mut().extend(listed);
            }
            Err(err) => log::warn!("fleet: entry hosts not listed error=\"{err}\""),
        }
        runtime::sleep(LIST_INTERVAL.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
        while host.peers.borrow().alive(Instant::now()).next().is_some() {
            runtime::sleep(LIST_INTERVAL).await;
        }
    }
}

async fn send_all(
    host: Rc<EntryHost>,
    socket: Rc<Async<UdpSocket>>,
    addresses: Rc<RefCell<BTreeSet<SocketAddr>>>,
) {
    loop {
        let targets: Vec<SocketAddr> = addresses.borrow().iter().copied().collect();
        match bincode::serialize(&PeerMessage::Beacon(host.beacon())) {
            Ok(bytes) => {
                for target in targets.iter().filter(|it| **it != host.settings.peers) {
                    if let Err(err) = socket.send_to(&bytes, *target).await {
                        log::debug!("fleet: beacon not sent to={target} error=\"{err}\"");
                    }
                }
            }
            Err(err) => log::error!("fleet: beacon not encoded error=\"{err}\""),
        }
        let growth = (targets.len() as f64 / SMALL_DEPLOYMENT as f64).max(1.0);
        runtime::sleep(INTERVAL.mul_f64(growth)).await;
    }
}

async fn receive_all(
    host: Rc<EntryHost>,
    socket: Rc<Async<UdpSocket>>,
    addresses: Rc<RefCell<BTreeSet<SocketAddr>>>,
) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (n_bytes, from) = match socket.recv_from(&mut bytes).await {
            Ok(it) => it,
            Err(err) => {
                log::debug!("fleet: beacon not received error=\"{err}\"");
                runtime::sleep(INTERVAL).await;
                continue;
            }
        };
        match bincode::deserialize(&bytes[..n_bytes]) {
            Ok(PeerMessage::Beacon(beacon)) => take(&host, &addresses, beacon, from),
            Ok(PeerMessage::EngineNotice(notice)) => host.take_notice(&notice),
            Ok(PeerMessage::PiecesHeld(_)) => log::debug!("fleet: message not for entry hosts"),
            Err(err) => log::warn!("fleet: beacon not readable from={from} error=\"{err}\""),
        }
    }
}

fn take(
    host: &EntryHost,
    addresses: &RefCell<BTreeSet<SocketAddr>>,
    beacon: Beacon,
    from: SocketAddr,
) {
    addresses.borrow_mut().insert(from);
    let now = Instant::now();
    let known = |host: &EntryHost| -> Vec<_> {
        host.peers.borrow().alive(now).map(|it| (it.host.clone(), it.state)).collect()
    };
    let before = known(host);
    host.peers.borrow_mut().hear(beacon, now);
    if known(host) != before {
        host.update_homes();
    }
}
