//! Warnings that repeat are held back and counted.

use std::time::{Duration, Instant};

use crocustiller::logging::{Admittance, RepeatLimiter};

#[test]
fn repeats_are_held_back_and_counted() {
    let cases = [
        (0, "platform: object not read name=charter error=\"refused\"", Admittance::Log(0)),
        (1, "platform: object not read name=charter error=\"refused\"", Admittance::HoldBack),
        (2, "platform: object not read name=charter error=\"timed out\"", Admittance::HoldBack),
        (2, "platform: object not read name=quarantine error=\"refused\"", Admittance::Log(0)),
        (10, "platform: object not read name=charter error=\"refused\"", Admittance::Log(2)),
        (21, "platform: object not read name=charter error=\"refused\"", Admittance::Log(0)),
    ];
    let start = Instant::now();
    let mut limiter = RepeatLimiter::default();
    for (at_s, message, expected) in cases {
        let now = start + Duration::from_secs(at_s);
        assert_eq!(limiter.admit(message, now), expected, "at {at_s} s: {message}");
    }
}
