//! Suppression and counting of repeated warnings.

use std::time::{Duration, Instant};

use crocustiller::logging::{RepeatDecision, RepeatLimiter};

#[test]
fn repeats_are_suppressed_and_counted() {
    let cases = [
        (
            0,
            "platform: failed to read an object name=charter error=\"refused\"",
            RepeatDecision::Log(0),
        ),
        (
            1,
            "platform: failed to read an object name=charter error=\"refused\"",
            RepeatDecision::Suppress,
        ),
        (
            2,
            "platform: failed to read an object name=charter error=\"timed out\"",
            RepeatDecision::Suppress,
        ),
        (
            2,
            "platform: failed to read an object name=quarantine error=\"refused\"",
            RepeatDecision::Log(0),
        ),
        (
            10,
            "platform: failed to read an object name=charter error=\"refused\"",
            RepeatDecision::Log(2),
        ),
        (
            21,
            "platform: failed to read an object name=charter error=\"refused\"",
            RepeatDecision::Log(0),
        ),
    ];
    let start = Instant::now();
    let mut limiter = RepeatLimiter::default();
    for (at_s, message, expected) in cases {
        let now = start + Duration::from_secs(at_s);
        assert_eq!(limiter.decide(message, now), expected, "at {at_s} s: {message}");
    }
}
