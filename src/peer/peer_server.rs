//! A server for calls from other processes.

use std::{io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_compat::{Compat, CompatExt};
use async_executor::Task;
use async_net::{TcpListener, TcpStream};
use futures_lite::FutureExt;
use futures_util::StreamExt;
use tarpc::{
    serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio_util::codec::Framed;

use crate::{
    http1::{is_out_of_descriptors, ConnectionLimits, ConnectionSlot, PortConnections},
    peer::{
        counted_stream::CountedStream,
        handshake::{self, PeerKey},
        link_counters::LinkCounters,
        peer_pool::codec,
        peer_service::PeerService,
        protocol::Peer,
    },
    runtime,
};

/// The maximum number of open connections, if there are descriptors for them. For a further one, that
/// which has waited longest to prove its key is closed.
const MAX_CONNECTIONS: usize = 4096;
/// The time without a call after which a connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(180);
/// The delay after a failed accept, which avoids a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A server that accepts connections from other processes and runs their calls.
///
/// Dropping it stops listening and closes all connections.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    accept_task: Task<()>,
    /// Carries no messages; closing or dropping it closes all connections.
    shutdown_sender: Sender<()>,
}

impl PeerServer {
    /// Listens on `address` and serves calls with `service` until closed or dropped.
    pub async fn bind(
        address: SocketAddr,
        key: PeerKey,
        counters: Arc<LinkCounters>,
        service: PeerService,
    ) -> io::Result<PeerServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (shutdown_sender, shutdown_receiver) = async_channel::bounded(1);
        let accept_task =
            runtime::spawn(accept_loop(listener, key, counters, service, shutdown_receiver));
        Ok(PeerServer { address, accept_task, shutdown_sender })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes all connections.
    pub async fn close(self) {
        self.accept_task.cancel().await;
        self.shutdown_sender.close();
    }
}

async fn accept_loop(
    listener: TcpListener,
    key: PeerKey,
    counters: Arc<LinkCounters>,
    service: PeerService,
    shutdown_receiver: Receiver<()>,
) {
    let max_connections = MAX_CONNECTIONS.min(ConnectionLimits::of_this_process().peers);
    let connections = PortConnections::new("peers", max_connections);
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                if is_out_of_descriptors(&err) {
                    connections.evict_oldest();
                }
                runtime::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(slot) = connections.admit() else { continue };
        let (key, counters, service) = (key.clone(), counters.clone(), service.clone());
        let serve = serve_connection(stream, from, key, counters, service, slot.clone());
        let shutdown_receiver = shutdown_receiver.clone();
        runtime::spawn(async move {
            let stopped = async {
                let _ = shutdown_receiver.recv().await;
            };
            slot.wait_until_evicted().or(serve).or(stopped).await;
        })
        .detach();
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    from: SocketAddr,
    key: PeerKey,
    counters: Arc<LinkCounters>,
    service: PeerService,
    slot: Arc<ConnectionSlot>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let class = match handshake::respond(&mut stream, &key).await {
        Ok(class) => class,
        Err(err) => {
            log::warn!(
                "peer: refused a connection because the handshake failed error=\"{err}\" from={from}"
            );
            return;
        }
    };
    slot.begin_exchange();
    let stream = CountedStream::new(stream, class, counters);
    let framed = Framed::new(Compat::new(stream), codec());
    let transport = serde_transport::new(framed, Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(service.serve());
    let serve_requests = async {
        let mut requests = pin!(requests);
        // A host that crashes or loses its network does not close its connections; without the
        // timeout they would stay open forever.
        while let Ok(Some(response)) = runtime::timeout(MAX_IDLE, requests.next()).await {
            runtime::spawn(response.compat()).detach();
        }
    };
    serve_requests.compat().await;
}
