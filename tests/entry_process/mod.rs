//! Runs an entry host as a separate process against stand-ins for the store and the backend
//! servers.
#![allow(dead_code)]

mod backend_response;
mod caller_response;
mod deployment;
pub mod limited_server;
pub mod pausing_server;
pub mod sent_request;
mod store_entries;
pub mod zoned_servers;

use std::{
    fs::File,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command},
    sync::atomic::{AtomicU8, Ordering},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crocustiller_standins::raw_http::StoreStandin;
use tempfile::TempDir;

use caller_response::status_of;

#[allow(unused_imports, reason = "each test file uses a part of this module")]
pub use self::{
    backend_response::{complete_response, encode_response, event_chunk, stream_head},
    caller_response::{read_response, CallerResponse},
    deployment::Deployment,
    store_entries::{charter, charter_with_timeout, server_entry},
};

/// The API key of the only customer.
pub const API_KEY: &str = "weavers-key";
/// The host name of all routes.
pub const HOST: &str = "lots.example";
const SETTINGS_FILE: &str = "settings.ini";
const LOG_FILE: &str = "process.log";
/// Time within which a process must listen and become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// An entry host process, with the addresses that it listens on. It is killed when dropped.
pub struct EntryProcess {
    child: Child,
    folder: TempDir,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

/// Starts a process with the settings `text`; they and its log are deleted when the folder is
/// dropped.
pub fn start_platform_process(text: &str) -> (Child, TempDir) {
    start_with_descriptors(text, None)
}

/// Starts a process that may have only `n_descriptors` open, if that is named.
pub fn start_with_descriptors(text: &str, n_descriptors: Option<u64>) -> (Child, TempDir) {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join(SETTINGS_FILE), text).unwrap();
    (spawn_daemon(&folder, n_descriptors), folder)
}

/// Starts a process with the settings in `folder`.
fn spawn_daemon(folder: &TempDir, n_descriptors: Option<u64>) -> Child {
    // Standard error is inherited, so that the reason of a failed start is in the test's output.
    daemon_command(n_descriptors)
        .args(["--platform", "--settings"])
        .arg(folder.path().join(SETTINGS_FILE))
        .stdout(File::create(folder.path().join(LOG_FILE)).unwrap())
        .spawn()
        .unwrap()
}

/// Returns the command that runs a daemon, which may have only `n_descriptors` open if that is named.
pub fn daemon_command(n_descriptors: Option<u64>) -> Command {
    const DAEMON: &str = env!("CARGO_BIN_EXE_crocustillerd");
    let Some(n_descriptors) = n_descriptors else { return Command::new(DAEMON) };
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {n_descriptors} && exec \"$0\" \"$@\"");
    command.args(["-c", &script, DAEMON]);
    command
}

/// Returns the largest resident memory of a process so far, in kilobytes.
pub fn peak_memory_kb(process: &Child) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Returns the number of descriptors that a process has open.
pub fn n_descriptors(process: &Child) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", process.id())).unwrap().count()
}

/// Sends the signal with this name, such as `STOP`, to a process.
pub fn send_signal(process: &Child, name: &str) {
    let id = process.id().to_string();
    let status = Command::new("kill").args(["-s", name, &id]).status().unwrap();
    assert!(status.success());
}

impl EntryProcess {
    /// Starts an entry host with the id `id` and waits until it listens.
    pub fn start(store: &StoreStandin, id: &str) -> EntryProcess {
        EntryProcess::start_with_store(store.address(), id)
    }

    /// Starts an entry host that uses the store at the address `store`, and waits until it listens.
    pub fn start_with_store(store: SocketAddr, id: &str) -> EntryProcess {
        EntryProcess::start_with_bounds(store, id, "")
    }

    /// Starts an entry host with more lines in the section `bounds` of its settings, and a grace
    /// period of 4 s.
    pub fn start_with_bounds(store: SocketAddr, id: &str, bounds: &str) -> EntryProcess {
        EntryProcess::start_with_all_bounds(store, id, &format!("grace_s = 4\n{bounds}"))
    }

    /// Starts an entry host that may use this memory, and waits until it listens.
    pub fn start_with_memory(store: SocketAddr, id: &str, memory_mb: u64) -> EntryProcess {
        let host = format!("memory_mb = {memory_mb}\n");
        EntryProcess::start_with_settings(store, id, &host, "grace_s = 4\n", None)
    }

    /// Starts an entry host that may use this memory and have this number of descriptors open, and waits
    /// until it listens.
    pub fn start_with_limits(
        store: SocketAddr,
        memory_mb: u64,
        n_descriptors: Option<u64>,
    ) -> EntryProcess {
        let host = format!("memory_mb = {memory_mb}\n");
        EntryProcess::start_with_settings(store, "entry-1", &host, "grace_s = 4\n", n_descriptors)
    }

    /// Starts an entry host with these lines in the section `bounds` of its settings.
    pub fn start_with_all_bounds(store: SocketAddr, id: &str, bounds: &str) -> EntryProcess {
        EntryProcess::start_with_settings(store, id, "", bounds, None)
    }

    /// Starts an entry host with more lines in the section `host` of its settings, and these in the
    /// section `bounds`.
    fn start_with_settings(
        store: SocketAddr,
        id: &str,
        host: &str,
        bounds: &str,
        n_descriptors: Option<u64>,
    ) -> EntryProcess {
        let ip = unique_loopback_ip();
        let [callers, readiness, directory, peers, metrics] =
            [9101, 9102, 9103, 9104, 9105].map(|port| SocketAddr::from((ip, port)));
        let text = format!(
            "[host]\nid = {id}\nrole = entry\nregion = south\nzone = depot\n{host}\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\ndirectory = {directory}\n\
             peers = {peers}\nmetrics = {metrics}\n\n[store]\naddress = {}\n\n\
             [bounds]\n{bounds}",
            store
        );
        let (child, folder) = start_with_descriptors(&text, n_descriptors);
        let mut entry =
            EntryProcess { child, folder, callers, readiness, directory, peers, metrics };
        entry.wait_until_listening();
        entry
    }

    /// Starts a process with the same settings in place of this one, which has ended, and waits until it
    /// listens. Its log begins anew.
    pub fn restart(&mut self) {
        self.child = spawn_daemon(&self.folder, None);
        self.wait_until_listening();
    }

    fn wait_until_listening(&mut self) {
        let started = Instant::now();
        while TcpStream::connect(self.readiness).is_err() {
            assert!(!self.has_exited(), "the entry host exited; see its error above");
            assert!(started.elapsed() < START_TIMEOUT, "the entry host does not listen");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until the process reports that it is ready.
    pub fn wait_until_ready(&self) {
        let started = Instant::now();
        while self.readiness_status() != 200 {
            assert!(started.elapsed() < START_TIMEOUT, "the entry host does not become ready");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the status of a readiness request; 0 if there is no response.
    pub fn readiness_status(&self) -> u16 {
        let request = b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let Ok(mut stream) = TcpStream::connect(self.readiness) else { return 0 };
        stream.write_all(request).unwrap();
        status_of(&read_to_end(&mut stream))
    }

    /// Returns the file to which the process writes its log.
    pub fn log_path(&self) -> PathBuf {
        self.folder.path().join(LOG_FILE)
    }

    /// Waits until the log has this text, as a thread writes it, and returns `false` if it doesn't get it.
    pub fn logs(&self, text: &str) -> bool {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            if std::fs::read_to_string(self.log_path()).unwrap().contains(text) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Opens a connection to the address for callers.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.callers).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// Sends bytes on a new connection and reads the response.
    pub fn exchange(&self, bytes: &[u8]) -> CallerResponse {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        read_response(&mut stream)
    }

    /// Sends bytes on a new connection at once, and reads the response in a thread.
    pub fn exchange_later(&self, bytes: &[u8]) -> JoinHandle<CallerResponse> {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        thread::spawn(move || read_response(&mut stream))
    }

    /// Sends requests one after the other, each on a new connection, and reads the responses in threads.
    pub fn exchange_in_turn(&self, requests: &[Vec<u8>]) -> Vec<JoinHandle<CallerResponse>> {
        let send = |request: &Vec<u8>| {
            let response = self.exchange_later(request);
            thread::sleep(Duration::from_millis(100));
            response
        };
        requests.iter().map(send).collect()
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends SIGHUP to the process.
    pub fn hang_up(&self) {
        self.signal("HUP");
    }

    /// Stops the process until `resume` is called.
    pub fn suspend(&self) {
        self.signal("STOP");
    }

    /// Continues a suspended process.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Sends the signal with this name, such as `INT`, to the process.
    pub fn signal(&self, name: &str) {
        send_signal(&self.child, name);
    }

    /// Returns the largest resident memory of the process so far, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        peak_memory_kb(&self.child)
    }

    /// Returns the number of descriptors that the process has open.
    pub fn n_descriptors(&self) -> usize {
        n_descriptors(&self.child)
    }

    /// Returns `true` if the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Returns the bytes of a request with an empty body; `id` is its request id.
pub fn request(method: &str, path: &str, id: &str, extra_headers: &str) -> Vec<u8> {
    let headers = format!("Content-Length: 0\r\n{extra_headers}");
    request_head(method, path, id, 3000, &headers)
}

/// Returns the bytes of the head of a request whose caller waits for `deadline_ms`.
pub fn request_head(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    extra_headers: &str,
) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {API_KEY}\r\n{extra_headers}\r\n"
    )
    .into_bytes()
}

fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    // A connection reset after the response does not matter.
    drop(stream.read_to_end(&mut bytes));
    bytes
}

/// Returns a loopback address that no other process of any test listens on.
///
/// Tests run in parallel, so a port that was found free may be taken before a process listens on
/// it.
pub fn unique_loopback_ip() -> Ipv4Addr {
    static N_ADDRESSES: AtomicU8 = AtomicU8::new(0);
    let number = N_ADDRESSES.fetch_add(1, Ordering::Relaxed);
    assert!(number < 250, "too many processes in one test file");
    let pid = std::process::id();
    Ipv4Addr::new(127, 1 + (pid >> 8) as u8 % 250, pid as u8, number + 1)
}
