//! A server that answers each request with the steps that a script gives.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::raw_http::RawRequest;

/// One step of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits.
    Pause(Duration),
    /// Ends the connection in order.
    Close,
    /// Breaks the connection off.
    Reset,
}

type Script = dyn Fn(&RawRequest) -> Vec<Step> + Send + Sync;

/// A scripted server; it ends with its process.
#[derive(Clone)]
pub struct ScriptedServer {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<RawRequest>>>,
    n_aborted_connections: Arc<AtomicU32>,
    n_open_connections: Arc<AtomicU32>,
}

impl ScriptedServer {
    /// Listens on a free port of the loopback address.
    pub fn start(
        script: impl Fn(&RawRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> io::Result<ScriptedServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let server = ScriptedServer {
            address,
            requests: Arc::default(),
            n_aborted_connections: Arc::default(),
            n_open_connections: Arc::default(),
        };
        let (requests, n_aborted_connections) =
            (server.requests.clone(), server.n_aborted_connections.clone());
        let n_open_connections = server.n_open_connections.clone();
        let script: Arc<Script> = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (requests, script) = (requests.clone(), script.clone());
                let (n_aborted_connections, n_open_connections) =
                    (n_aborted_connections.clone(), n_open_connections.clone());
                thread::spawn(move || {
                    n_open_connections.fetch_add(1, Ordering::Relaxed);
                    if serve(stream, &requests, &*script).is_err() {
                        n_aborted_connections.fetch_add(1, Ordering::Relaxed);
                    }
                    n_open_connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(server)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that the other side broke off while an answer was sent.
    pub fn n_aborted_connections(&self) -> u32 {
        self.n_aborted_connections.load(Ordering::Relaxed)
    }

    /// Connections that are open.
    pub fn n_open_connections(&self) -> u32 {
        self.n_open_connections.load(Ordering::Relaxed)
    }

    /// The requests that have come, in order.
    pub fn requests(&self) -> Vec<RawRequest> {
        self.requests.lock().unwrap().clone()
    }
}

fn serve(stream: TcpStream, requests: &Mutex<Vec<RawRequest>>, script: &Script) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = RawRequest::read(&mut reader)? {
        requests.lock().unwrap().push(request.clone());
        for step in script(&request) {
            match step {
                Step::Send(bytes) => writer.write_all(&bytes)?,
                Step::Pause(pause) => thread::sleep(pause),
                Step::Close => return Ok(()),
                Step::Reset => return reset(writer),
            }
        }
    }
    Ok(())
}

/// Drops the connection without waiting for the other side to read.
fn reset(stream: TcpStream) -> io::Result<()> {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}
