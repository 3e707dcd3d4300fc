//! A TCP connection that can be frozen or cut on its way, for failure tables.

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

/// What a wire does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireState {
    /// Passes them on.
    Open,
    /// Holds them, and passes them on once it is open again.
    Frozen,
    /// Drops them with their connections, and refuses new ones.
    Cut,
}

/// Passes connections to its address on to a target.
pub struct Wire {
    address: SocketAddr,
    switch: Arc<Switch>,
    _accept: Task<()>,
}

struct Switch {
    state: Mutex<WireState>,
    changed: Event,
}

impl Wire {
    /// Listens on a free port; the wire is open.
    pub async fn start(target: SocketAddr) -> io::Result<Wire> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let switch = Arc::new(Switch { state: Mutex::new(WireState::Open), changed: Event::new() });
        let accept = runtime::spawn(accept_loop(listener, target, switch.clone()));
        Ok(Wire { address, switch, _accept: accept })
    }

    /// The address to connect to in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to bytes.
    pub fn set(&self, state: WireState) {
        *self.switch.state.lock().unwrap() = state;
        self.switch.changed.notify(usize::MAX);
    }
}

impl Switch {
    fn state(&self) -> WireState {
        *self.state.lock().unwrap()
    }

    /// Waits until bytes may pass; an error when the wire is cut.
    async fn pass(&self) -> io::Result<()> {
        loop {
            let changed = self.changed.listen();
            match self.state() {
                WireState::Open => return Ok(()),
                WireState::Cut => return Err(io::ErrorKind::ConnectionReset.into()),
                WireState::Frozen => changed.await,
            }
        }
    }

    async fn wait_until_cut(&self) {
        loop {
            let changed = self.changed.listen();
            if self.state() == WireState::Cut {
                return;
            }
            changed.await;
        }
    }
}

async fn accept_loop(listener: TcpListener, target: SocketAddr, switch: Arc<Switch>) {
    loop {
        let Ok((near, _)) = listener.accept().await else { return };
        let switch = switch.clone();
        runtime::spawn(async move {
            if switch.pass().await.is_err() {
                return;
            }
            let Ok(far) = TcpStream::connect(target).await else { return };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let there = copy(near.clone(), far.clone(), &switch);
            let back = copy(far.clone(), near.clone(), &switch);
            let both = async {
                futures_util::future::join(there, back).await;
            };
            both.or(switch.wait_until_cut()).await;
            let _ = near.shutdown(Shutdown::Both);
            let _ = far.shutdown(Shutdown::Both);
        })
        .detach();
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, switch: &Switch) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(n @ 1..) = from.read(&mut buffer).await {
        if switch.pass().await.is_err() || to.write_all(&buffer[..n]).await.is_err() {
            break;
        }
    }
    let _ = switch.pass().await;
    let _ = to.shutdown(Shutdown::Write);
}
