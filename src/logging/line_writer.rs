//! Writes log lines on a separate thread, so that no task blocks on the output.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{sync_channel, SyncSender, TrySendError},
        Arc,
    },
    thread,
};

/// Maximum number of queued lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 512;

/// A queue of log lines that a separate thread writes; adding a line never blocks.
///
/// When the output is slower than the log, lines are dropped, and a later line reports how many.
#[derive(Clone, Debug)]
pub struct LineWriter {
    sender: SyncSender<String>,
    n_dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the thread that writes to `output`.
    pub fn start(mut output: impl Write + Send + 'static) -> io::Result<LineWriter> {
        let (sender, lines) = sync_channel::<String>(MAX_QUEUED_LINES);
        let n_dropped = Arc::new(AtomicU64::new(0));
        let writer = LineWriter { sender, n_dropped: n_dropped.clone() };
        let write = move || {
            while let Ok(mut text) = lines.recv() {
                // Writes all queued lines at once.
                text.extend(lines.try_iter().take(MAX_QUEUED_LINES));
                let n_lost = n_dropped.swap(0, Ordering::Relaxed);
                if n_lost > 0 {
                    text.push_str(&format!("WARN  log: dropped lines n={n_lost}\n"));
                }
                // A failure of the log output itself can't be reported.
                if output.write_all(text.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().name("log".to_owned()).spawn(write)?;
        Ok(writer)
    }

    /// Adds a line, which includes its line end, to the queue; drops it if the queue is full.
    pub fn enqueue(&self, line: String) {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(line) {
            self.n_dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
