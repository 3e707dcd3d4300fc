//! The windows of time over which burn rates are computed.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Duration of the longest window; older counts are discarded.
pub(crate) const LONGEST_WINDOW: Duration = Duration::from_secs(6 * 3600);

/// A span of time that ends now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Window {
    /// Five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// One hour.
    #[serde(rename = "1h")]
    OneHour,
    /// Six hours.
    #[serde(rename = "6h")]
    SixHours,
}

impl Window {
    /// All windows, shortest first.
    pub const ALL: [Window; 3] = [Window::FiveMinutes, Window::OneHour, Window::SixHours];

    /// Returns the duration of the window.
    pub fn duration(self) -> Duration {
        match self {
            Window::FiveMinutes => Duration::from_secs(5 * 60),
            Window::OneHour => Duration::from_secs(3600),
            Window::SixHours => LONGEST_WINDOW,
        }
    }

    /// Returns the name of the window in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Window::FiveMinutes => "5 min",
            Window::OneHour => "1 h",
            Window::SixHours => "6 h",
        }
    }
}
