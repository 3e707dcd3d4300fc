//! Reads the memory and processor time of a process from `/proc`.

use std::fs;

/// The clock ticks per second in which the kernel reports processor time.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Returns the peak resident memory of a process since its start.
pub(crate) fn peak_rss_bytes(pid: u32) -> Option<u64> {
    status_kib(pid, "VmHWM:").map(|it| it << 10)
}

/// Returns the resident memory of a process.
pub(crate) fn rss_bytes(pid: u32) -> Option<u64> {
    status_kib(pid, "VmRSS:").map(|it| it << 10)
}

/// Returns the user and system processor time of a process since its start, in seconds.
pub(crate) fn cpu_s(pid: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) / CLOCK_TICKS_PER_S)
}

fn status_kib(pid: u32, key: &str) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|it| it.starts_with(key))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
