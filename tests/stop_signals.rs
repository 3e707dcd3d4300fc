//! Signals of an operator: which end a process, and that none ends it at once.

mod daemon_process;
mod entry_process;

use std::{net::SocketAddr, thread, time::Duration};

use daemon_process::DaemonProcess;

/// Time within which a signal that ends a process at once has done so.
const SIGNAL_TIME: Duration = Duration::from_millis(300);

/// Guards against an entry host that a SIGHUP ends at once, with all its requests.
#[test]
fn hang_up_ends_no_entry_host() {
    check_signals(DaemonProcess::start_entry(unused_address(), None, "entry_hosts_max_age_s = 1"));
}

/// Guards against a slot that a SIGHUP ends at once, with all its requests.
#[test]
fn hang_up_ends_no_slot() {
    let backend = format!("kind = service\nname = ledger\naddress = {}\n", unused_address());
    check_signals(DaemonProcess::start_slot(unused_address(), None, &backend));
}

/// Checks that a daemon goes on after SIGHUP, and leaves in order after SIGTERM whatever follows.
fn check_signals(mut daemon: DaemonProcess) {
    daemon.signal("HUP");
    thread::sleep(SIGNAL_TIME);
    assert!(!daemon.has_exited(), "SIGHUP ended the process");
    for name in ["TERM", "HUP", "TERM", "INT"] {
        daemon.signal(name);
        thread::sleep(SIGNAL_TIME);
        assert!(!daemon.has_exited(), "SIG{name} ended the process before its grace time");
    }
    assert!(daemon.wait_for_success());
}

/// Returns an address on which no process listens.
fn unused_address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}
