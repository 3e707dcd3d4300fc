//! Accepts connections and serves each in a task of its own.

use std::{future::Future, net::TcpListener, time::Duration};

use async_io::Async;

use crate::{http1::Connection, runtime};

/// Pause after a connection that could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Accepts until the task is dropped; `serve` makes the task of each connection.
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
                log::warn!("http: connection not accepted error=\"{err}\"");
                runtime::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
