//! Logging to standard error, or to standard output without blocking the caller.
//!
//! A line consists of the prefix of a component, a short message and fields as `key=value`. Repeated
//! warnings and errors are suppressed and counted.

use std::{
    sync::Mutex,
    time::{Instant, SystemTime},
};

use log::{Level, LevelFilter, Log, Metadata, Record, SetLoggerError};

mod line_writer;
mod rate_limit;
mod repeat_limiter;

pub use crate::logging::{
    line_writer::LineWriter,
    rate_limit::{LineDecision, RateLimit},
    repeat_limiter::{RepeatDecision, RepeatLimiter},
};

/// Starts logging to standard error at `level`; fails if a logger is already set.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    let (max_level, logger) = fern::Dispatch::new()
        .format(|out, message, record| {
            let now = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!("{now} {:5} {message}", record.level()));
        })
        .level(LevelFilter::Warn)
        .level_for("crocustiller", level)
        .chain(std::io::stderr())
        .into_log();
    log::set_boxed_logger(Box::new(RepeatLimitedLog { logger, limiter: Mutex::default() }))?;
    log::set_max_level(max_level);
    Ok(())
}

/// Starts logging to standard output at `level`, on a separate thread; fails if a logger is already
/// set.
///
/// Logs to standard error if that thread can't be started.
pub fn init_stdout(level: LevelFilter) -> Result<(), SetLoggerError> {
    let writer = match LineWriter::start(std::io::stdout()) {
        Ok(writer) => writer,
        Err(err) => {
            eprintln!(
                "failed to start the logging thread ({err}); logging to standard error instead"
            );
            return init(level);
        }
    };
    let (max_level, logger) = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("crocustiller", level)
        .chain(fern::Output::call(move |record| {
            let now = humantime::format_rfc3339_millis(SystemTime::now());
            writer.enqueue(format!("{now} {:5} {}\n", record.level(), record.args()));
        }))
        .into_log();
    log::set_boxed_logger(Box::new(RepeatLimitedLog { logger, limiter: Mutex::default() }))?;
    log::set_max_level(max_level);
    Ok(())
}

/// A logger that suppresses repeated warnings and errors and passes all other lines on.
struct RepeatLimitedLog {
    logger: Box<dyn Log>,
    limiter: Mutex<RepeatLimiter>,
}

impl Log for RepeatLimitedLog {
    fn enabled(&self, metadata: &Metadata) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record) {
        if record.level() > Level::Warn || !self.enabled(record.metadata()) {
            return self.logger.log(record);
        }
        let message = record.args().to_string();
        let decision = self.limiter.lock().unwrap().decide(&message, Instant::now());
        match decision {
            RepeatDecision::Suppress => {}
            RepeatDecision::Log(0) => self.logger.log(record),
            RepeatDecision::Log(n_suppressed) => {
                let args = format_args!("{message} held_back={n_suppressed}");
                self.logger
                    .log(&Record::builder().metadata(record.metadata().clone()).args(args).build());
            }
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}
