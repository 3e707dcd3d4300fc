//! Listening sockets with a backlog that is long enough for a burst of new connections.

use std::{
    io,
    net::{SocketAddr, TcpListener},
};

use socket2::{Domain, Protocol, Socket, Type};

/// The maximum number of connections waiting to be accepted.
///
/// The usual 128 overflow when many callers connect at the same time.
const BACKLOG: i32 = 1024;

/// Returns a non-blocking socket that listens on `address`.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
