//! Runs a daemon as a separate process, without the platform's metadata store.
#![allow(dead_code)]

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    process::Child,
    thread,
    time::{Duration, Instant},
};

use tempfile::TempDir;

use crate::entry_process::{
    daemon_command, peak_memory_kb, read_response, send_signal, unique_loopback_ip,
};

/// Time within which a process must listen.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A daemon process, with the addresses that it listens on. It is killed when dropped.
pub struct DaemonProcess {
    child: Child,
    _folder: TempDir,
    pub request: SocketAddr,
    pub peer: SocketAddr,
    pub operator: SocketAddr,
}

impl DaemonProcess {
    /// Starts an entry host that joins the process at the peer address `join`, with more lines in the
    /// section `limits`, and waits until it listens.
    pub fn start_entry(
        platform: SocketAddr,
        join: Option<SocketAddr>,
        limits: &str,
    ) -> DaemonProcess {
        DaemonProcess::start("entry", platform, join, "", limits, None)
    }

    /// Starts an entry host that joins no process and may have only `n_descriptors` open, and waits until
    /// it listens.
    pub fn start_with_descriptors(platform: SocketAddr, n_descriptors: u64) -> DaemonProcess {
        DaemonProcess::start("entry", platform, None, "", "", Some(n_descriptors))
    }

    /// Starts a slot that joins the process at the peer address `join`, with the section `backend` of
    /// its settings, and waits until it listens.
    pub fn start_slot(
        platform: SocketAddr,
        join: Option<SocketAddr>,
        backend: &str,
    ) -> DaemonProcess {
        DaemonProcess::start("backend", platform, join, &format!("[backend]\n{backend}"), "", None)
    }

    fn start(
        role: &str,
        platform: SocketAddr,
        join: Option<SocketAddr>,
        section: &str,
        limits: &str,
        n_descriptors: Option<u64>,
    ) -> DaemonProcess {
        let ip = unique_loopback_ip();
        let [request, peer, operator] = [9201, 9202, 9203].map(|port| SocketAddr::from((ip, port)));
        let folder = tempfile::tempdir().unwrap();
        // The secret of the deployment with this platform, see `deployment::settings::peer_secret`.
        let secret = format!("deployment-with-platform-{platform}");
        std::fs::write(folder.path().join("peer.key"), secret).unwrap();
        let join = join.map_or(String::new(), |it| format!("peers = {it}"));
        let text = format!(
            "[host]\nid = {role}-process\nrole = {role}\nregion = south\nzone = depot\n\n\
             [listen]\nrequest = {request}\npeer = {peer}\noperator = {operator}\n\n\
             [platform]\naddresses = {platform}\ntimeout_ms = 500\n\n[join]\n{join}\n\n\
             [secrets]\npeer_key_file = peer.key\noperator_token_digest = {}\n\n\
             [weights]\norigin = {platform}\n\n{section}\n[limits]\n{limits}\n",
            "0".repeat(64)
        );
        let path = folder.path().join("settings.ini");
        std::fs::write(&path, text).unwrap();
        let child = daemon_command(n_descriptors).arg("--settings").arg(&path).spawn().unwrap();
        let mut daemon = DaemonProcess { child, _folder: folder, request, peer, operator };
        let started = Instant::now();
        while TcpStream::connect(operator).is_err() {
            assert!(!daemon.has_exited(), "the daemon exited; see its error above");
            assert!(started.elapsed() < START_TIMEOUT, "the daemon does not listen");
            thread::sleep(Duration::from_millis(10));
        }
        daemon
    }

    /// Waits until the process serves requests.
    pub fn wait_until_ready(&self) {
        let started = Instant::now();
        while !self.is_ready() {
            assert!(started.elapsed() < START_TIMEOUT, "the daemon does not become ready");
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.operator) else { return false };
        let request = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request).unwrap();
        read_response(&mut stream).status() == 200
    }

    /// Sends the signal with this name, such as `HUP`, to the process.
    pub fn signal(&self, name: &str) {
        send_signal(&self.child, name);
    }

    /// Returns the largest resident memory of the process so far, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        peak_memory_kb(&self.child)
    }

    /// Returns `true` if the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Waits until the process exits and returns whether it reported success.
    pub fn wait_for_success(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
