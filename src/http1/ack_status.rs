//! What the system knows about the acknowledgements of a connection's peer.

use std::{
    io, mem,
    net::TcpStream,
    os::fd::{AsRawFd, RawFd},
    time::Duration,
};

/// The acknowledgements of a connection, as the system reports them at one moment.
///
/// The times have the resolution of the system's clock tick, some milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AckStatus {
    /// Number of sent segments that have not been acknowledged.
    pub n_unacked: u32,
    /// Number of probes of a closed window or an idle connection since the last acknowledgement.
    pub n_probes: u32,
    /// Time since bytes were last sent, including repeated ones.
    pub since_send: Duration,
    /// Time since the last acknowledgement was received.
    pub since_ack: Duration,
}

impl AckStatus {
    /// Reads the status of a connection.
    pub(crate) fn read(stream: &TcpStream) -> io::Result<AckStatus> {
        let info = tcp_info(stream.as_raw_fd())?;
        Ok(AckStatus {
            n_unacked: info.tcpi_unacked,
            n_probes: info.tcpi_probes.into(),
            since_send: Duration::from_millis(info.tcpi_last_data_sent.into()),
            since_ack: Duration::from_millis(info.tcpi_last_ack_recv.into()),
        })
    }

    /// Returns `true` if something has been sent after the last acknowledgement that the peer's
    /// system must acknowledge.
    ///
    /// A peer may have no room for bytes that were sent before it closed its window. The system
    /// repeats them ever more rarely, and each time the peer acknowledges that it has no room; in
    /// between there is nothing to acknowledge.
    pub(crate) fn awaits_ack(&self) -> bool {
        let has_sent_since_ack = self.since_send < self.since_ack;
        self.n_probes > 0 || (self.n_unacked > 0 && has_sent_since_ack)
    }
}

fn tcp_info(socket: RawFd) -> io::Result<libc::tcp_info> {
    // SAFETY: the structure consists of integers, for which zeros are valid.
    let mut info: libc::tcp_info = unsafe { mem::zeroed() };
    let mut length = mem::size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the system writes at most `length` bytes to `info`; an older one writes fewer.
    let res = unsafe {
        libc::getsockopt(
            socket,
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    match res {
        0 => Ok(info),
        _ => Err(io::Error::last_os_error()),
    }
}
