//! Writes log lines on a thread of its own, so that no task ever waits for the output.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{sync_channel, SyncSender, TrySendError},
        Arc,
    },
    thread,
};

/// Lines that may wait to be written; more are counted and left out.
const MAX_QUEUED_LINES: usize = 512;

/// Takes lines and never blocks.
#[derive(Clone, Debug)]
pub struct LineWriter {
    sender: SyncSender<String>,
    n_dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts a thread that writes to `output`.
    pub fn start(mut output: impl Write + Send + 'static) -> io::Result<LineWriter> {
        let (sender, lines) = sync_channel::<String>(MAX_QUEUED_LINES);
        let n_dropped = Arc::new(AtomicU64::new(0));
        let writer = LineWriter { sender, n_dropped: n_dropped.clone() };
        let write = move || {
            while let Ok(mut text) = lines.recv() {
                // What waits already goes out in one write.
                text.extend(lines.try_iter().take(MAX_QUEUED_LINES));
                let n_lost = n_dropped.swap(0, Ordering::Relaxed);
                if n_lost > 0 {
                    text.push_str(&format!("WARN  log: lines left out n={n_lost}\n"));
                }
                // Nobody can be told when the output is gone.
                if output.write_all(text.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().name("log".to_owned()).spawn(write)?;
        Ok(writer)
    }

    /// Hands a line over, with its line end; leaves it out when too many wait.
    pub fn enqueue(&self, line: String) {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(line) {
            self.n_dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
