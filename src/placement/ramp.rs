//! How the rate of requests to a server rises after the end of a limit, so that the requests that wait
//! don't all reach it at once.

use std::time::Duration;

/// Time after which there is no limit any more.
const RAMP_TIME: Duration = Duration::from_secs(2);
/// Time in which the rate doubles until then.
const RAMP_DOUBLING: Duration = Duration::from_millis(500);

/// Returns the factor on a limit that ended `ago`; `None` once there is none any more.
pub(crate) fn growth(ago: Duration) -> Option<f64> {
    (ago < RAMP_TIME).then(|| 2f64.powf(ago.as_secs_f64() / RAMP_DOUBLING.as_secs_f64()))
}
