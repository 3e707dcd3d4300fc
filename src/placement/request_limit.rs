//! How many requests a backend server takes from all entry hosts together.

/// A limit that a backend server named.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestLimit {
    max_requests_per_s: f64,
}

impl RequestLimit {
    /// Creates the limit to a number of requests per second; `None` if it is no number or negative.
    pub fn per_second(max_requests_per_s: f64) -> Option<RequestLimit> {
        (max_requests_per_s >= 0.0).then_some(RequestLimit { max_requests_per_s })
    }

    /// Returns the requests per second that the server named.
    pub fn max_requests_per_s(&self) -> f64 {
        self.max_requests_per_s
    }

    /// Returns the limit with a rate that is greater by a factor.
    pub(crate) fn grown(&self, factor: f64) -> RequestLimit {
        RequestLimit { max_requests_per_s: self.max_requests_per_s * factor }
    }
}
