//! A TCP relay before one host that spoils or stalls what the host sends.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
};

use async_executor::Task;
use async_net::{TcpListener, TcpStream};
use crocustiller::runtime;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// Reads of at least this many bytes are taken for the inside of a chunk.
const CHUNK_READ_BYTES: usize = 8 << 10;

/// What happens to what the host sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// One byte of this share of the long reads is changed, in percent.
    Corrupt(u8),
    /// Nothing more is sent after so many bytes, and no connection is closed.
    StallAfter(u64),
}

/// A running relay.
pub struct BadLink {
    pub address: SocketAddr,
    _task: Task<()>,
}

impl BadLink {
    /// Relays to the host at `host`.
    pub async fn start(host: SocketAddr, fault: LinkFault) -> BadLink {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let task = runtime::spawn(async move {
            let n_sent = Arc::new(AtomicU64::new(0));
            while let Ok((stream, _)) = listener.accept().await {
                let Ok(inner) = TcpStream::connect(host).await else { continue };
                let _ = (stream.set_nodelay(true), inner.set_nodelay(true));
                runtime::spawn(relay(stream.clone(), inner.clone(), None, n_sent.clone())).detach();
                runtime::spawn(relay(inner, stream, Some(fault), n_sent.clone())).detach();
            }
        });
        BadLink { address, _task: task }
    }
}

async fn relay(
    mut from: TcpStream,
    mut to: TcpStream,
    fault: Option<LinkFault>,
    n_sent: Arc<AtomicU64>,
) {
    let mut random = fastrand::Rng::with_seed(11);
    let mut buf = vec![0; 64 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        match fault {
            Some(LinkFault::Corrupt(percent)) => {
                let is_spoiled = n >= CHUNK_READ_BYTES && random.u8(0..100) < percent;
                buf[n / 2] ^= if is_spoiled { 0xff } else { 0 };
            }
            Some(LinkFault::StallAfter(limit_bytes)) => {
                let n_before = n_sent.fetch_add(n as u64, Ordering::Relaxed);
                if n_before >= limit_bytes {
                    std::future::pending::<()>().await;
                }
            }
            None => {}
        }
        if to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}
