//! A server whose responses are scripted by the test.

use std::{
    collections::HashMap,
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::raw_http::RawRequest;

/// One step of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Sends these bytes.
    Send(Vec<u8>),
    /// Sends these bytes so many times.
    SendTimes(Vec<u8>, u32),
    /// Sends these bytes again and again until the client closes the connection.
    SendEndlessly(Vec<u8>),
    /// Waits for this time.
    Pause(Duration),
    /// Closes the connection in an orderly way.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends the process, as far as clients can tell, which is back after this time.
    Crash(Duration),
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
    process: Arc<Mutex<Process>>,
}

/// The sockets that the end of the server's process closes.
struct Process {
    listener: TcpListener,
    /// The open connections by the address of the client.
    connections: HashMap<SocketAddr, TcpStream>,
    /// Time until the server listens again; `None` while its process runs.
    restart_time: Option<Duration>,
    /// End of the time for which the process does nothing.
    silent_until: Instant,
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
            process: Arc::new(Mutex::new(Process {
                listener: listener.try_clone()?,
                connections: HashMap::new(),
                restart_time: None,
                silent_until: Instant::now(),
            })),
        };
        let process = server.process.clone();
        let (requests, n_aborted_connections) =
            (server.requests.clone(), server.n_aborted_connections.clone());
        let n_open_connections = server.n_open_connections.clone();
        let script: Arc<Script> = Arc::new(script);
        thread::spawn(move || {
            let mut listener = listener;
            let mut n_connections = 0;
            loop {
                let Ok((stream, client)) = listener.accept() else {
                    if let Some(restarted) = restart(address, &process) {
                        listener = restarted;
                    }
                    continue;
                };
                n_connections += 1;
                let connection = n_connections;
                let copy = stream.try_clone().map(|it| (client, it));
                process.lock().unwrap().connections.extend(copy);
                let process = process.clone();
                let (requests, script) = (requests.clone(), script.clone());
                let (n_aborted_connections, n_open_connections) =
                    (n_aborted_connections.clone(), n_open_connections.clone());
                thread::spawn(move || {
                    n_open_connections.fetch_add(1, Ordering::Relaxed);
                    if serve(stream, connection, &requests, &*script, &process).is_err() {
                        n_aborted_connections.fetch_add(1, Ordering::Relaxed);
                    }
                    // The last copy closes the connection.
                    process.lock().unwrap().connections.remove(&client);
                    n_open_connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(server)
    }

    /// Ends the process, as far as clients can tell; the server is back at its address after
    /// `restart_time`.
    pub fn crash(&self, restart_time: Duration) {
        self.process.lock().unwrap().crash(restart_time);
    }

    /// Suspends the process, as far as clients can tell: what it has read or is writing goes on after
    /// `time`, on the same connections.
    pub fn fall_silent(&self, time: Duration) {
        self.process.lock().unwrap().silent_until = Instant::now() + time;
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

impl Process {
    /// Closes all sockets, the listening one first, as the end of a process does.
    fn crash(&mut self, restart_time: Duration) {
        self.restart_time = Some(restart_time);
        // A socket that is closed already does not matter.
        drop(socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both));
        for (_, connection) in self.connections.drain() {
            drop(connection.shutdown(Shutdown::Both));
        }
    }
}

/// Waits until the server is to be back and listens again; does nothing while its process runs.
fn restart(address: SocketAddr, process: &Mutex<Process>) -> Option<TcpListener> {
    let restart_time = process.lock().unwrap().restart_time?;
    thread::sleep(restart_time);
    let listener = TcpListener::bind(address).unwrap();
    let mut process = process.lock().unwrap();
    process.listener = listener.try_clone().unwrap();
    process.restart_time = None;
    Some(listener)
}

fn serve(
    stream: TcpStream,
    connection: u32,
    requests: &Mutex<Vec<RawRequest>>,
    script: &Script,
    process: &Mutex<Process>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(mut request) = RawRequest::read(&mut reader)? {
        request.connection = connection;
        requests.lock().unwrap().push(request.clone());
        for step in script(&request) {
            wait_while_silent(process);
            match step {
                Step::Send(bytes) => writer.write_all(&bytes)?,
                Step::SendTimes(bytes, n_times) => {
                    for _ in 0..n_times {
                        writer.write_all(&bytes)?;
                    }
                }
                Step::SendEndlessly(bytes) => loop {
                    writer.write_all(&bytes)?;
                },
                Step::Pause(pause) => thread::sleep(pause),
                Step::Close => return Ok(()),
                Step::Reset => return reset(writer),
                Step::Crash(restart_time) => {
                    process.lock().unwrap().crash(restart_time);
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

/// Waits until the process goes on.
fn wait_while_silent(process: &Mutex<Process>) {
    let silent_until = process.lock().unwrap().silent_until;
    thread::sleep(silent_until.saturating_duration_since(Instant::now()));
}

/// Makes the connection reset when it is dropped, without waiting for unsent data.
fn reset(stream: TcpStream) -> io::Result<()> {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}
