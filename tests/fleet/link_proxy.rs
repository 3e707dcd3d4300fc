//! A TCP proxy in front of one host that corrupts or stalls what the host sends.

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

/// Only reads of at least this many bytes are corrupted, as they are assumed to lie inside a chunk.
const MIN_CORRUPTED_READ_BYTES: usize = 8 << 10;

/// The fault that the proxy applies to what the host sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Changes one byte in this percentage of the long reads.
    Corrupt(u8),
    /// Forwards nothing more after this many bytes, counted over all connections, and keeps
    /// the connections open.
    StallAfter(u64),
}

/// A running proxy; it accepts connections until it is dropped.
pub struct LinkProxy {
    pub address: SocketAddr,
    _task: Task<()>,
}

impl LinkProxy {
    /// Starts a proxy on a free port that forwards to `host_address`.
    pub async fn start(host_address: SocketAddr, fault: LinkFault) -> LinkProxy {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let task = runtime::spawn(async move {
            let sent_bytes = Arc::new(AtomicU64::new(0));
            while let Ok((downstream, _)) = listener.accept().await {
                let Ok(upstream) = TcpStream::connect(host_address).await else { continue };
                let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
                runtime::spawn(relay(
                    downstream.clone(),
                    upstream.clone(),
                    None,
                    sent_bytes.clone(),
                ))
                .detach();
                runtime::spawn(relay(upstream, downstream, Some(fault), sent_bytes.clone()))
                    .detach();
            }
        });
        LinkProxy { address, _task: task }
    }
}

async fn relay(
    mut from: TcpStream,
    mut to: TcpStream,
    fault: Option<LinkFault>,
    sent_bytes: Arc<AtomicU64>,
) {
    let mut random = fastrand::Rng::with_seed(11);
    let mut buf = vec![0; 64 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        match fault {
            Some(LinkFault::Corrupt(percent)) => {
                let is_corrupted = n >= MIN_CORRUPTED_READ_BYTES && random.u8(0..100) < percent;
                buf[n / 2] ^= if is_corrupted { 0xff } else { 0 };
            }
            Some(LinkFault::StallAfter(limit_bytes)) => {
                let sent_before = sent_bytes.fetch_add(n as u64, Ordering::Relaxed);
                if sent_before >= limit_bytes {
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
