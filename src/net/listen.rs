//! Listening sockets with room for a burst of new connections.

use std::{
    io,
    net::{SocketAddr, TcpListener},
};

use socket2::{Domain, Protocol, Socket, Type};

/// Connections that wait to be accepted; the system's usual 128 overflow in a burst of callers.
const BACKLOG: i32 = 1024;

/// Listens at `address`.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
