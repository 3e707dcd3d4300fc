//! Log lines on standard error.

use std::time::SystemTime;

use log::SetLoggerError;

use crate::settings::Settings;

/// Starts logging at the level that the settings name; fails when a logger is set already.
pub fn init(settings: &Settings) -> Result<(), SetLoggerError> {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let now = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!("{now} {:5} {message}", record.level()));
        })
        .level(log::LevelFilter::Warn)
        .level_for("crocustiller", settings.log.level)
        .chain(std::io::stderr());
    dispatch.apply()
}
