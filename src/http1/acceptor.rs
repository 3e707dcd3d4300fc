//! Accepts connections and serves each one in its own task.

use std::{future::Future, net::TcpListener, time::Duration};

use async_io::Async;

use crate::{http1::Connection, runtime};

/// Delay after a failed accept, which avoids a busy loop, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Accepts connections until the future is dropped and spawns the future that `serve` returns for
/// each of them.
pub(crate) async fn accept_all<F: Future<Output = ()> + 'static>(
    listener: Async<TcpListener>,
    serve: impl Fn(Connection) -> F,
) {
    loop {
        let accepted = match listener.accept().await {
            Ok((stream, _)) => Connection::new(stream),
            Err(err) => Err(err),
        };
        match accepted {
            Ok(connection) => runtime::spawn_local(serve(connection)).detach(),
            Err(err) => {
                log::warn!("http: failed to accept a connection error=\"{err}\"");
                runtime::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
