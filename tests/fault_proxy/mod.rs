//! A TCP proxy between two processes that can stall or disconnect, for tests of network faults.

use std::{
    io,
    net::{Shutdown, SocketAddr},
    sync::{Arc, Mutex},
};

use async_executor::Task;
use async_net::{TcpListener, TcpStream};
use crocustiller::runtime;
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

/// How a proxy treats the connections through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards all bytes.
    Forward,
    /// Keeps the bytes and forwards them when the mode is `Forward` again.
    Stall,
    /// Drops the bytes, closes the connections and closes new ones at once.
    Disconnect,
}

/// A TCP proxy that forwards the connections to its address to a fixed target.
pub struct FaultProxy {
    address: SocketAddr,
    shared_mode: Arc<SharedMode>,
    _accept: Task<()>,
}

/// The mode of a proxy, shared by its connections.
struct SharedMode {
    mode: Mutex<ProxyMode>,
    changed: Event,
}

impl FaultProxy {
    /// Starts a proxy to `target` on a free port, in the mode `Forward`.
    pub async fn start(target: SocketAddr) -> io::Result<FaultProxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared_mode =
            Arc::new(SharedMode { mode: Mutex::new(ProxyMode::Forward), changed: Event::new() });
        let accept = runtime::spawn(accept_loop(listener, target, shared_mode.clone()));
        Ok(FaultProxy { address, shared_mode, _accept: accept })
    }

    /// Returns the address to connect to instead of that of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode of all current and future connections.
    pub fn set(&self, mode: ProxyMode) {
        *self.shared_mode.mode.lock().unwrap() = mode;
        self.shared_mode.changed.notify(usize::MAX);
    }
}

impl SharedMode {
    fn mode(&self) -> ProxyMode {
        *self.mode.lock().unwrap()
    }

    /// Waits until the mode is `Forward`; returns an error if it is `Disconnect`.
    async fn wait_until_forwarding(&self) -> io::Result<()> {
        loop {
            let changed = self.changed.listen();
            match self.mode() {
                ProxyMode::Forward => return Ok(()),
                ProxyMode::Disconnect => return Err(io::ErrorKind::ConnectionReset.into()),
                ProxyMode::Stall => changed.await,
            }
        }
    }

    async fn wait_until_disconnected(&self) {
        loop {
            let changed = self.changed.listen();
            if self.mode() == ProxyMode::Disconnect {
                return;
            }
            changed.await;
        }
    }
}

async fn accept_loop(listener: TcpListener, target: SocketAddr, shared_mode: Arc<SharedMode>) {
    loop {
        let Ok((client, _)) = listener.accept().await else { return };
        let shared_mode = shared_mode.clone();
        runtime::spawn(async move {
            if shared_mode.wait_until_forwarding().await.is_err() {
                return;
            }
            let Ok(server) = TcpStream::connect(target).await else { return };
            let _ = client.set_nodelay(true);
            let _ = server.set_nodelay(true);
            let to_server = copy(client.clone(), server.clone(), &shared_mode);
            let to_client = copy(server.clone(), client.clone(), &shared_mode);
            let both_directions = async {
                futures_util::future::join(to_server, to_client).await;
            };
            both_directions.or(shared_mode.wait_until_disconnected()).await;
            let _ = client.shutdown(Shutdown::Both);
            let _ = server.shutdown(Shutdown::Both);
        })
        .detach();
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, shared_mode: &SharedMode) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(n @ 1..) = from.read(&mut buffer).await {
        if shared_mode.wait_until_forwarding().await.is_err()
            || to.write_all(&buffer[..n]).await.is_err()
        {
            break;
        }
    }
    let _ = shared_mode.wait_until_forwarding().await;
    let _ = to.shutdown(Shutdown::Write);
}
