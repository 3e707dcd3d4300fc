//! Many clients at once, each of which sends bytes, reads nothing and keeps its connection.
#![allow(dead_code, reason = "not every test uses all of it")]

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// Held during a crowd: two at once would need more processor time and descriptors than a test has.
pub static CROWD: Mutex<()> = Mutex::new(());

/// Time after which a client takes its connection as refused, or what it sends as not read.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which clients that keep sending do so.
const SENDING_TIME: Duration = Duration::from_secs(4);
/// The number of bytes in one write.
const PART_BYTES: usize = 64 << 10;
/// The number of threads that open the connections.
const N_THREADS: usize = 10;

/// The open connections of a crowd; they are closed when it is dropped.
pub struct Crowd {
    pub clients: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `n_clients` connections and sends `bytes` on each, as far as the process reads them.
    pub fn open(n_clients: usize, address: SocketAddr, bytes: &[u8]) -> Crowd {
        Crowd::open_in_threads(N_THREADS, n_clients, address, bytes, CLIENT_TIMEOUT)
    }

    /// Opens `n_clients` connections at once and sends `bytes` on each for some seconds.
    pub fn send(n_clients: usize, address: SocketAddr, bytes: &[u8]) -> Crowd {
        Crowd::open_in_threads(n_clients, n_clients, address, bytes, SENDING_TIME)
    }

    fn open_in_threads(
        n_threads: usize,
        n_clients: usize,
        address: SocketAddr,
        bytes: &[u8],
        write_timeout: Duration,
    ) -> Crowd {
        let open = || {
            let connect_all = (0..n_clients / n_threads).map_while(|_| connect(address));
            connect_all.inspect(|it| send(it, bytes, write_timeout)).collect::<Vec<_>>()
        };
        let clients = thread::scope(|scope| {
            let threads: Vec<_> = (0..n_threads).map(|_| scope.spawn(open)).collect();
            threads.into_iter().flat_map(|it| it.join().unwrap()).collect()
        });
        Crowd { clients }
    }
}

/// Returns `None` if the system of the process takes no more connections.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect_timeout(&address, CLIENT_TIMEOUT).ok()
}

fn send(mut client: &TcpStream, bytes: &[u8], sending_time: Duration) {
    client.set_write_timeout(Some(sending_time)).unwrap();
    let started = Instant::now();
    for part in bytes.chunks(PART_BYTES) {
        // The process may refuse the client at any point, or read no further.
        if client.write_all(part).is_err() || started.elapsed() > sending_time {
            break;
        }
    }
}
