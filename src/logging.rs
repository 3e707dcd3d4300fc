//! Log lines on standard error, or on standard output without ever waiting for it.
//!
//! A line is a short sentence after the prefix of its part, with fields as `key=value`. Warnings
//! and errors that repeat are held back and counted.

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
    rate_limit::{LineTurn, RateLimit},
    repeat_limiter::{Admittance, RepeatLimiter},
};

/// Starts logging at `level`; fails when a logger is set already.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    let (max_level, lines) = fern::Dispatch::new()
        .format(|out, message, record| {
            let now = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!("{now} {:5} {message}", record.level()));
        })
        .level(LevelFilter::Warn)
        .level_for("crocustiller", level)
        .chain(std::io::stderr())
        .into_log();
    log::set_boxed_logger(Box::new(LimitedLog { lines, limiter: Mutex::default() }))?;
    log::set_max_level(max_level);
    Ok(())
}

/// Starts logging on standard output through a thread of its own; fails when a logger is set already.
pub fn init_stdout(level: LevelFilter) -> Result<(), SetLoggerError> {
    let writer = match LineWriter::start(std::io::stdout()) {
        Ok(writer) => writer,
        Err(err) => {
            eprintln!("no thread for logs ({err}); they go to standard error");
            return init(level);
        }
    };
    let (max_level, lines) = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("crocustiller", level)
        .chain(fern::Output::call(move |record| {
            let now = humantime::format_rfc3339_millis(SystemTime::now());
            writer.put(format!("{now} {:5} {}\n", record.level(), record.args()));
        }))
        .into_log();
    log::set_boxed_logger(Box::new(LimitedLog { lines, limiter: Mutex::default() }))?;
    log::set_max_level(max_level);
    Ok(())
}

/// Passes lines on, but for warnings and errors that repeat.
struct LimitedLog {
    lines: Box<dyn Log>,
    limiter: Mutex<RepeatLimiter>,
}

impl Log for LimitedLog {
    fn enabled(&self, metadata: &Metadata) -> bool {
        self.lines.enabled(metadata)
    }

    fn log(&self, record: &Record) {
        if record.level() > Level::Warn || !self.enabled(record.metadata()) {
            return self.lines.log(record);
        }
        let message = record.args().to_string();
        let admittance = self.limiter.lock().unwrap().admit(&message, Instant::now());
        match admittance {
            Admittance::HoldBack => {}
            Admittance::Log(0) => self.lines.log(record),
            Admittance::Log(n) => {
                let args = format_args!("{message} held_back={n}");
                self.lines
                    .log(&Record::builder().metadata(record.metadata().clone()).args(args).build());
            }
        }
    }

    fn flush(&self) {
        self.lines.flush();
    }
}
