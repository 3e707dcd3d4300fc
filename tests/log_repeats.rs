//! Suppression and counting of repeated warnings.

use std::time::{Duration, Instant};

use crocustiller::logging::{RepeatDecision, RepeatLimiter};

/// Guards against a line for each connection of clients that misbehave: one in 10 s for each port and
/// outcome.
#[test]
fn refused_connections() {
    let start = Instant::now();
    let mut limiter = RepeatLimiter::default();
    let mut n_logged = 0;
    for number in 0..100 {
        for (port, outcome) in
            [("callers", "evicted"), ("callers", "refused"), ("peers", "refused")]
        {
            let message =
                format!("http: too many connections port={port} max=100 outcome={outcome}");
            let decision = limiter.decide(&message, start + Duration::from_millis(99 * number));
            n_logged += u32::from(decision != RepeatDecision::Suppress);
        }
    }
    assert_eq!(n_logged, 3);
}

/// Guards against a fault that floods the log as it repeats, and against hiding another one.
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
