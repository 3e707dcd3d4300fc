//! The signals that begin the graceful shutdown of a process.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// The signals of an operator or a service manager.
///
/// None of them has its default action while this value is in use, as that would end the process
/// before its requests are complete.
#[derive(Debug)]
pub(crate) struct StopSignals {
    signals: Signals,
}

impl StopSignals {
    /// Replaces the default actions of the signals.
    pub(crate) fn listen() -> io::Result<StopSignals> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(StopSignals { signals })
    }

    /// Waits for SIGTERM or SIGINT. Reports SIGHUP in the log only.
    pub(crate) async fn wait(&mut self) {
        while let Some(signal) = self.signals.next().await {
            match signal {
                Ok(Signal::Hup) => {
                    log::info!("daemon: SIGHUP ignored; restart to apply new settings");
                }
                Ok(_) => return,
                Err(err) => log::warn!("daemon: failed to read a signal error=\"{err}\""),
            }
        }
    }
}
