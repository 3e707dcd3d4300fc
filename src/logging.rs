//! Log lines on standard error.

use std::time::SystemTime;

use crate::settings::Settings;

/// Starts logging at the level that the settings name; a second call changes nothing.
pub fn init(settings: &Settings) {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let now = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!("{now} {:5} {message}", record.level()));
        })
        .level(log::LevelFilter::Warn)
        .level_for("crocustiller", settings.log.level)
        .chain(std::io::stderr());
    let _ = dispatch.apply();
}
