//! A server whose responses are scripted by the test.

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

/// One step of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Sends these bytes.
    Send(Vec<u8>),
    /// Sends these bytes again and again until the client closes the connection.
    SendEndlessly(Vec<u8>),
    /// Waits for this time.
    Pause(Duration),
    /// Closes the connection in an orderly way.
    Close,
    /// Resets the connection.
    Reset,
}

type Script = dyn Fn(&RawRequest) -> Vec<Step> + Send + Sync;

/// A server that runs the steps of a script for each request, until its process ends.
///
/// Tests use it to send malformed, late or incomplete responses.
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

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections that ended with an error, for instance because the client
    /// closed the connection while a response was sent.
    pub fn n_aborted_connections(&self) -> u32 {
        self.n_aborted_connections.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub fn n_open_connections(&self) -> u32 {
        self.n_open_connections.load(Ordering::Relaxed)
    }

    /// Returns the requests received so far, in order.
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
                Step::SendEndlessly(bytes) => loop {
                    writer.write_all(&bytes)?;
                },
                Step::Pause(pause) => thread::sleep(pause),
                Step::Close => return Ok(()),
                Step::Reset => return reset(writer),
            }
        }
    }
    Ok(())
}

/// Makes the connection reset when it is dropped, without waiting for unsent data.
fn reset(stream: TcpStream) -> io::Result<()> {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}
