//! Accepts connections and serves each one in its own task.

use std::{future::Future, io, net::TcpListener, sync::Arc, time::Duration};

use async_io::Async;
use futures_lite::{future, FutureExt};

use crate::{
    http1::{
        port_connections::{ConnectionSlot, PortConnections},
        Connection,
    },
    runtime,
};

/// Delay after a failed accept, which avoids a busy loop, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Number of accepted connections after which other tasks get a turn, though more may wait.
const ACCEPTS_PER_TURN: u32 = 8;

/// Accepts connections until the future is dropped and spawns the future that `serve` returns for
/// each of them. The future is dropped when its connection is closed for another one.
pub(crate) async fn accept_all<F: Future<Output = ()> + 'static>(
    listener: Async<TcpListener>,
    connections: Arc<PortConnections>,
    serve: impl Fn(Connection, Arc<ConnectionSlot>) -> F,
) {
    let mut n_accepted: u32 = 0;
    loop {
        let accepted = match listener.accept().await {
            Ok((stream, _)) => Connection::new(stream),
            Err(err) => Err(err),
        };
        let connection = match accepted {
            Ok(connection) => connection,
            Err(err) => {
                log::warn!("http: failed to accept a connection error=\"{err}\"");
                if is_out_of_descriptors(&err) {
                    connections.evict_oldest();
                }
                runtime::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        n_accepted = n_accepted.wrapping_add(1);
        let ends_turn = connections.is_full() || n_accepted % ACCEPTS_PER_TURN == 0;
        if let Some(slot) = connections.admit() {
            runtime::spawn_local(serve_until_evicted(serve(connection, slot.clone()), slot))
                .detach();
        }
        if ends_turn {
            // The evicted connections are closed in their own tasks.
            future::yield_now().await;
        }
    }
}

async fn serve_until_evicted(serve: impl Future<Output = ()>, slot: Arc<ConnectionSlot>) {
    // An eviction comes first: a request that arrives at the same time stays unread.
    slot.wait_until_evicted().or(serve).await;
}

/// Returns `true` if an accept failed as the process or the system has no descriptors left, so that closing
/// a connection helps.
pub(crate) fn is_out_of_descriptors(err: &io::Error) -> bool {
    matches!(err.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}
