//! Reads the error response of a slot.

use std::time::Duration;

use http_types::StatusCode;

use crate::{
    ids::SwitchNumber,
    net::Exchange,
    request::{failure::Failure, headers, slot_response::error_message},
    runtime,
    verdict::Verdict,
};

/// Maximum size of the body of an error response.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The error response of a slot that did not run the request, or may have run it in part.
pub(crate) struct SlotRefusal {
    /// The failure that the slot reported.
    pub(crate) failure: Failure,
    switch_number: Option<SwitchNumber>,
    /// Whether the platform was unavailable; another slot would fail in the same way.
    pub(crate) is_platform_unavailable: bool,
}

impl SlotRefusal {
    /// Reads the response of `exchange`, which has the verdict `verdict`, within `timeout`.
    pub(crate) async fn read(
        exchange: Exchange,
        verdict: Verdict,
        timeout: Duration,
    ) -> SlotRefusal {
        let head = &exchange.response;
        let status = head.status();
        let retry_after_s =
            head.header(headers::RETRY_AFTER).and_then(|it| it.as_str().parse().ok());
        let switch_number = head.header(headers::SWITCH).and_then(|it| it.as_str().parse().ok());
        let is_crash = head.header(headers::CRASHED).is_some();
        let is_platform_unavailable = head.header(headers::PLATFORM_UNAVAILABLE).is_some();
        let message = match runtime::timeout(timeout, exchange.read(MAX_RESPONSE_BYTES)).await {
            Ok(Ok((_, body))) => error_message(&body),
            Ok(Err(err)) => err.to_string(),
            Err(_) => "the slot's response did not arrive in time".to_owned(),
        };
        let mut failure = match verdict {
            Verdict::NotRun => Failure::not_run(status, message),
            Verdict::Ran | Verdict::MayHaveRun => Failure::may_have_run(status, message),
        };
        failure.is_crash = is_crash;
        failure.retry_after_s = retry_after_s.map(Duration::from_secs);
        SlotRefusal { failure, switch_number, is_platform_unavailable }
    }

    /// Returns the slot's switch number if the slot refused the request for its switch number.
    pub(crate) fn mismatched_switch_number(&self) -> Option<SwitchNumber> {
        self.switch_number.filter(|_| self.failure.status == StatusCode::Conflict)
    }
}
