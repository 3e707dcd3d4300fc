//! What a pause in a refusal says, and how long it binds a backend server.

use std::time::{Duration, Instant};

use crocustiller::{
    http1::ResponseHead,
    placement::{PausedServers, TRIAL_INTERVAL},
    platform::wire_headers::decode_response_info,
};

const MS: Duration = Duration::from_millis(1);

/// Guards against a late refusal of an earlier start that ends the pause of the present one.
#[test]
fn earlier_start_ends_no_pause() {
    let now = Instant::now();
    let mut paused = PausedServers::default();
    assert!(paused.record("i-1", 2000, Duration::from_secs(5), 2000, now));
    assert!(!paused.record("i-1", 1000, Duration::from_secs(9), 1000, now));
    assert_eq!(paused.time_left("i-1", 2000, now), Some(Duration::from_secs(5)));
}

/// What a refusal's header says; anything but plain seconds says nothing.
#[test]
fn pauses_in_headers() {
    let ms = |it: u64| Some(Duration::from_millis(it));
    let table: [(&[&str], Option<Duration>); 31] = [
        (&[], None),
        (&["1"], ms(1000)),
        (&["0.25"], ms(250)),
        (&[" 1.5 "], ms(1500)),
        (&["2."], ms(2000)),
        (&["0"], None),
        (&["0.000"], None),
        (&["-1"], None),
        (&["+1"], None),
        (&["1e3"], None),
        (&["inf"], None),
        (&["NaN"], None),
        (&[""], None),
        (&["."], None),
        (&[".5"], None),
        (&["soon"], None),
        (&["1, 2"], None),
        (&["Sat, 05 Dec 2026 08:00:00 GMT"], None),
        (&["99999999999999999999"], Some(Duration::MAX)),
        (&["01"], ms(1000)),
        (&["\t1\t"], ms(1000)),
        (&["   "], None),
        (&["1 2"], None),
        (&["1.2.3"], None),
        (&["0x10"], None),
        (&["1s"], None),
        (&["\u{663}"], None),
        (&["1.0000000000000000000000000000000000000000"], ms(1000)),
        // The longest of several fields counts.
        (&["1", "2"], ms(2000)),
        (&["x", "0.5", "-3"], ms(500)),
        (&["60", "0"], ms(60_000)),
    ];
    for (values, expected) in table {
        let decode = |status: u16| {
            let mut head = ResponseHead::new(status, "x");
            values.iter().for_each(|it| head.headers.push("Retry-After", *it));
            decode_response_info(&head).pause
        };
        assert_eq!(decode(503), expected, "{values:?}");
        assert_eq!(decode(200), None, "{values:?}");
        assert_eq!(decode(429), None, "{values:?}");
    }
    let mut head = ResponseHead::new(503, "x");
    head.headers.push("Retry-After", "9".repeat(400));
    assert_eq!(decode_response_info(&head).pause, Some(Duration::MAX));
}

/// The edges of a pause in time and in the starts of a server.
#[test]
fn edges_of_a_pause() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut paused = PausedServers::default();
    assert!(!paused.record("i-1", 1000, Duration::ZERO, 1000, now) && paused.is_empty());
    assert!(paused.record("i-1", 1000, second, 1000, now));
    for (started_ms, at, left) in [
        (1000, now, Some(second)),
        (1000, now + second / 2, Some(second / 2)),
        (1000, now + second - MS, Some(MS)),
        (1000, now + second, None),
        (1000, now + second + MS, None),
        (999, now, Some(second)),
        (0, now, Some(second)),
        (1001, now, None),
    ] {
        assert_eq!(paused.time_left("i-1", started_ms, at), left, "{started_ms} {:?}", at - now);
    }
    assert_eq!(paused.time_left("i-2", 1000, now), None);
    // A shorter one does not end a longer one, a longer one prolongs it.
    assert!(!paused.record("i-1", 1000, second / 4, 1000, now + second / 2));
    assert_eq!(paused.time_left("i-1", 1000, now + second - MS), Some(MS));
    assert!(!paused.record("i-1", 1000, second, 1000, now + second / 2));
    assert_eq!(paused.time_left("i-1", 1000, now + second), Some(second / 2));
    assert!(paused.expire(now + second * 3 / 2 - MS).is_empty());
    assert_eq!(paused.expire(now + second * 3 / 2), [("i-1".to_owned(), second * 3 / 2)]);
    assert!(paused.is_empty());
}

/// The starts that a pause binds: that which asked for it may be listed later, a start after the
/// response can't have asked.
#[test]
fn starts_that_a_pause_binds() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut paused = PausedServers::default();
    assert!(paused.record("i-1", 1000, second, 5000, now));
    for (started_ms, left) in
        [(0, Some(second)), (1000, Some(second)), (5000, Some(second)), (5001, None)]
    {
        assert_eq!(paused.time_left("i-1", started_ms, now), left, "{started_ms}");
    }
    // A shorter one of the start that is listed meanwhile, and a late one of the listed before.
    assert!(!paused.record("i-1", 4000, second / 2, 5100, now));
    assert_eq!(paused.time_left("i-1", 4000, now), Some(second));
    assert!(!paused.record("i-1", 1000, 2 * second, 5200, now));
    assert_eq!(paused.time_left("i-1", 4000, now), Some(second));
    // A later start has a pause of its own.
    assert!(paused.record("i-1", 6000, second / 2, 6500, now));
    assert_eq!(paused.time_left("i-1", 6000, now), Some(second / 2));
    // The clock of this host may be behind.
    assert!(paused.record("i-2", 9000, second, 8000, now));
    assert_eq!(paused.time_left("i-2", 9000, now), Some(second));
    assert_eq!(paused.time_left("i-2", 9001, now), None);
}

/// Guards against requests in crowds to a server whose pause is longer than `TRIAL_INTERVAL`: one
/// request at a time tries it from then on, and one that it serves ends the pause.
#[test]
fn long_pause_is_tried() {
    let now = Instant::now();
    for pause in [4 * TRIAL_INTERVAL, Duration::MAX] {
        let mut paused = PausedServers::default();
        paused.record("i-1", 1000, pause, 1000, now);
        assert_eq!(paused.note_served("i-1", 1000, now), None);
        let left = |paused: &PausedServers, at: Instant| paused.time_left("i-1", 1000, at);
        assert_eq!(left(&paused, now + TRIAL_INTERVAL - MS), Some(MS), "{pause:?}");
        let trial = now + TRIAL_INTERVAL;
        assert_eq!(left(&paused, trial), None, "{pause:?}");
        assert!(paused.expire(trial).is_empty());
        // A request that is begun takes the trial; nothing of another start does.
        paused.note_begun("i-1", 1001, trial);
        assert_eq!(left(&paused, trial), None, "{pause:?}");
        paused.note_begun("i-1", 1000, trial);
        assert_eq!(left(&paused, trial), Some(TRIAL_INTERVAL), "{pause:?}");
        assert_eq!(left(&paused, trial + TRIAL_INTERVAL), None, "{pause:?}");
        // Refused, it is tried again after the same time.
        assert!(!paused.record("i-1", 1000, MS, 1000, trial + MS));
        assert_eq!(left(&paused, trial + TRIAL_INTERVAL), Some(MS), "{pause:?}");
        let second = trial + TRIAL_INTERVAL + MS;
        paused.note_begun("i-1", 1000, second);
        // There is no third trial, as at most two requests may reach the server in a pause.
        let end = now + pause.min(Duration::from_secs(24 * 3600));
        assert_eq!(left(&paused, second), Some(end - second), "{pause:?}");
        assert_eq!(left(&paused, second + TRIAL_INTERVAL), Some(end - second - TRIAL_INTERVAL));
        assert_eq!(paused.note_served("i-1", 1000, second), Some(second - now), "{pause:?}");
        assert!(paused.is_empty());
    }
}

/// A pause of `TRIAL_INTERVAL` or less ends as asked, and so does a longer one that ends before the
/// request that tries the server is answered.
#[test]
fn pause_ends_as_asked() {
    let now = Instant::now();
    for pause in [TRIAL_INTERVAL - MS, TRIAL_INTERVAL, TRIAL_INTERVAL + MS] {
        let mut paused = PausedServers::default();
        paused.record("i-1", 1000, pause, 1000, now);
        let first = pause.min(TRIAL_INTERVAL);
        assert_eq!(paused.time_left("i-1", 1000, now + first - MS), Some(MS), "{pause:?}");
        assert_eq!(paused.time_left("i-1", 1000, now + first), None, "{pause:?}");
        paused.note_begun("i-1", 1000, now + first);
        assert_eq!(paused.time_left("i-1", 1000, now + pause), None, "{pause:?}");
        assert_eq!(paused.expire(now + pause), [("i-1".to_owned(), pause)]);
    }
}

/// The time until the first server takes requests again is known only if all pause.
#[test]
fn first_end_of_all_pauses() {
    let now = Instant::now();
    let mut paused = PausedServers::default();
    paused.record("i-1", 1, 700 * MS, 1, now);
    paused.record("i-2", 1, 300 * MS, 1, now);
    let first = |servers: &[&'static str], at: Instant| {
        paused.time_until_first(servers.iter().map(|it| (*it, 1)), at)
    };
    assert_eq!(first(&["i-1", "i-2"], now), Some(300 * MS));
    assert_eq!(first(&["i-1"], now), Some(700 * MS));
    assert_eq!(first(&["i-1", "i-2", "i-3"], now), None);
    assert_eq!(first(&["i-1", "i-2"], now + 300 * MS), None);
    assert_eq!(first(&[], now), None);
}
