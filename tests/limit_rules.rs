//! What the limit in a response says, and for how long it holds.

use std::time::{Duration, Instant};

use crocustiller::{
    http1::ResponseHead,
    placement::{
        Admission, AdmissionCell, CellEngine, Demand, LimitChange, LimitStatement, RecentRequests,
        RequestLimit, RequestQuota, ReservationId, ServerLimits, ShareRank,
    },
    platform::wire_headers::decode_response_info,
    relay::StatedLimit,
};

const MS: Duration = Duration::from_millis(1);

/// What the header of a response says; anything but plain numbers says nothing.
#[test]
fn limits_in_headers() {
    let limited = |it: f64| StatedLimit::Limited(RequestLimit::per_second(it).unwrap());
    let table: [(&[&str], StatedLimit); 17] = [
        (&[], StatedLimit::Unlimited),
        (&["1"], limited(1.0)),
        (&["1.3"], limited(1.3)),
        (&[" 0.25\t"], limited(0.25)),
        (&["0"], limited(0.0)),
        (&["12."], limited(12.0)),
        (&["007"], limited(7.0)),
        (&["99999999999999999999"], limited(1e20)),
        // The strictest of several fields counts.
        (&["3", "2.5"], limited(2.5)),
        (&["soon", "4"], limited(4.0)),
        (&["-1"], StatedLimit::Unreadable),
        (&["+1"], StatedLimit::Unreadable),
        (&["1e3"], StatedLimit::Unreadable),
        (&["NaN"], StatedLimit::Unreadable),
        (&["inf"], StatedLimit::Unreadable),
        (&[""], StatedLimit::Unreadable),
        (&["1, 2"], StatedLimit::Unreadable),
    ];
    for (values, expected) in table {
        for status in [200, 404, 500, 503] {
            let mut head = ResponseHead::new(status, "x");
            values.iter().for_each(|it| head.headers.push("Server-Limit", *it));
            assert_eq!(decode_response_info(&head).limit, expected, "{status} {values:?}");
        }
    }
}

/// Returns what a response says to the start 1000, whose request began and which arrived at these times.
fn statement(limit: Option<f64>, begun: Instant, arrived: Instant) -> LimitStatement {
    LimitStatement {
        backend: "i-1".to_owned(),
        started_ms: 1000,
        latest_start_ms: 5000,
        limit: limit.and_then(RequestLimit::per_second),
        begun,
        arrived,
        is_own: true,
    }
}

fn rate(limits: &ServerLimits, started_ms: u64, at: Instant) -> Option<f64> {
    limits.limit("i-1", started_ms, at).map(|it| it.max_requests_per_s())
}

/// Responses overtake each other: a stricter limit counts at once, a looser one or none only if its
/// request began after the limit was last named.
#[test]
fn order_of_responses() {
    let now = Instant::now();
    let mut limits = ServerLimits::default();
    assert_eq!(limits.record(&statement(None, now, now)), LimitChange::Unchanged);
    assert!(limits.is_empty());
    let at = |ms: u32| now + ms * MS;
    let mut record = |limit: Option<f64>, begun: u32, arrived: u32| {
        let change = limits.record(&statement(limit, at(begun), at(arrived)));
        (change, rate(&limits, 1000, at(arrived)))
    };
    assert_eq!(record(Some(2.0), 0, 100), (LimitChange::Named, Some(2.0)));
    assert_eq!(record(Some(2.0), 0, 150), (LimitChange::Unchanged, Some(2.0)));
    // Begun before the limit was last named.
    assert_eq!(record(None, 149, 200), (LimitChange::Unchanged, Some(2.0)));
    assert_eq!(record(Some(3.0), 149, 200), (LimitChange::Unchanged, Some(2.0)));
    // A late one with a stricter limit.
    assert_eq!(record(Some(1.0), 0, 210), (LimitChange::Named, Some(1.0)));
    assert_eq!(record(Some(3.0), 210, 300), (LimitChange::Named, Some(3.0)));
    let lasted = 300 * MS;
    assert_eq!(record(None, 300, 400), (LimitChange::Ended { lasted, n_held_back: 0 }, Some(3.0)));
    // One that another host got before the request that ended the limit began.
    assert_eq!(record(Some(3.0), 200, 299), (LimitChange::Unchanged, Some(3.0)));
    assert_eq!(record(Some(4.0), 350, 450), (LimitChange::Named, Some(4.0)));
}

/// After its end a limit rises for two seconds before it is lifted, as a late response may have ended it.
#[test]
fn rise_after_the_end() {
    let now = Instant::now();
    let mut limits = ServerLimits::default();
    limits.record(&statement(Some(2.0), now, now));
    assert_eq!(rate(&limits, 1000, now + 3600 * 1000 * MS), Some(2.0));
    limits.note_held_back("i-1");
    let end = now + 1000 * MS;
    let lasted = 1000 * MS;
    let change = limits.record(&statement(None, end, end));
    assert_eq!(change, LimitChange::Ended { lasted, n_held_back: 1 });
    for (after_ms, expected) in
        [(0, Some(2.0)), (500, Some(4.0)), (1000, Some(8.0)), (1500, Some(16.0)), (2000, None)]
    {
        assert_eq!(rate(&limits, 1000, end + after_ms * MS), expected, "{after_ms}");
    }
    assert_eq!(limits.n_limited(), 0);
    limits.forget_old(|_| true, end + 59_000 * MS);
    assert!(!limits.is_empty());
    limits.forget_old(|_| true, end + 60_000 * MS);
    assert!(limits.is_empty());
}

/// A server that starts again under its id has named nothing, also if the limit came before the entry of
/// the start that named it.
#[test]
fn starts_that_a_limit_binds() {
    let now = Instant::now();
    let mut limits = ServerLimits::default();
    limits.record(&statement(Some(2.0), now, now));
    for (started_ms, expected) in
        [(0, Some(2.0)), (1000, Some(2.0)), (5000, Some(2.0)), (5001, None)]
    {
        assert_eq!(rate(&limits, started_ms, now), expected, "{started_ms}");
    }
    // A late response of the earlier start changes nothing of the later one.
    let later = LimitStatement {
        started_ms: 6000,
        latest_start_ms: 7000,
        ..statement(Some(9.0), now, now + MS)
    };
    assert_eq!(limits.record(&later), LimitChange::Named);
    limits.record(&statement(Some(1.0), now, now + 2 * MS));
    limits.record(&statement(None, now + 3 * MS, now + 4 * MS));
    assert_eq!(rate(&limits, 6000, now + 4 * MS), Some(9.0));
}

/// The limit of a removed server is kept for a while, as its entry may come back.
#[test]
fn limit_of_a_removed_server() {
    let now = Instant::now();
    let mut limits = ServerLimits::default();
    limits.record(&statement(Some(2.0), now, now));
    limits.forget_old(|_| false, now + 599_000 * MS);
    assert_eq!(rate(&limits, 1000, now), Some(2.0));
    limits.forget_old(|_| true, now + 3600 * 1000 * MS);
    assert_eq!(rate(&limits, 1000, now), Some(2.0));
    limits.forget_old(|_| false, now + 600_000 * MS);
    assert!(limits.is_empty());
}

/// Guards against an owner that counts only what it granted since an engine named its limit: the engine
/// got 4.5 requests a second before, and the bound of four seconds counts those too.
#[test]
fn requests_before_the_limit() {
    let start = Instant::now();
    let mut cell = AdmissionCell::default();
    let mut granted: Vec<u32> = Vec::new();
    for ms in (0..20_000).step_by(222) {
        let now = start + ms * MS;
        let limit = (ms >= 8000).then(|| RequestLimit::per_second(1.0).unwrap());
        if grants(&mut cell, ms, limit, now) {
            granted.push(ms);
        }
    }
    for end in (11_000..20_000).step_by(100) {
        let n_granted = granted.iter().filter(|it| (end - 4000..=end).contains(*it)).count();
        assert!(n_granted <= 11, "{n_granted} until {end}");
        let n_later = granted.iter().filter(|it| **it > 12_500 && **it <= end).count();
        assert!(n_later + 1 >= (end.max(12_500) - 12_500) as usize / 1111, "{n_later} until {end}");
    }
}

/// Returns `true` if an owner grants a request to an engine with this limit at once.
fn grants(cell: &mut AdmissionCell, ms: u32, limit: Option<RequestLimit>, now: Instant) -> bool {
    let id = ReservationId { holder: ([10, 1, 0, 1], 7700).into(), number: u64::from(ms) };
    let engine = CellEngine {
        id: "i-1".to_owned(),
        slots: 16,
        is_on_probation: false,
        rate_limit: None,
        request_limit: limit,
    };
    let demand = Demand { prompt_tokens: 1, ..Demand::default() };
    let decision = cell.request(id, demand, &|_: &Demand| vec![engine.clone()], now);
    cell.release(&id, now);
    matches!(decision, Some(Admission::Granted { .. }))
}

/// A grant that its holder gives back counts no more.
#[test]
fn grant_given_back() {
    let now = Instant::now();
    let limit = RequestLimit::per_second(0.5).unwrap();
    let mut recent = RecentRequests::default();
    let [pace, _] = limit.owner_quotas();
    assert_eq!(recent.next_due("i-1", &pace, now), None);
    recent.record("i-1", now);
    assert_eq!(recent.next_due("i-1", &pace, now), Some(now + 2000 * MS));
    recent.take_back("i-1", now);
    assert_eq!(recent.next_due("i-1", &pace, now), None);
}

/// The shares of all hosts stay together below the outer bound, however small a limit is and however many
/// hosts there are.
#[test]
fn shares_of_all_hosts() {
    for n_hosts in [1, 2, 7, 38, 149] {
        for max_requests_per_s in [0.0, 0.1, 0.3, 0.5, 1.0, 1.3, 2.0, 4.5, 17.0, 250.0] {
            let limit = RequestLimit::per_second(max_requests_per_s).unwrap();
            let ranks = || (0..n_hosts).map(|rank| ShareRank { rank, n_hosts });
            let total = |quota: &dyn Fn(ShareRank) -> Option<RequestQuota>| -> usize {
                ranks().filter_map(quota).map(|it| it.max_requests).sum()
            };
            let case = format!("{n_hosts} hosts, {max_requests_per_s}");
            let outer = 6.0 * max_requests_per_s.max(1.0 / 60.0) + 1.0;
            let engine = total(&|it| limit.engine_quota(it)) as f64;
            assert!(engine <= outer && engine > outer - 1.0, "{case}: {engine}");
            let plain = total(&|it| limit.plain_quota(it)) as f64;
            assert!(plain <= outer && plain >= 1.0, "{case}: {plain}");
            assert!(plain <= (4.0 * max_requests_per_s).max(n_hosts as f64), "{case}: {plain}");
        }
    }
}

/// A server that names another limit in each response would make its hosts tell all others each time: small
/// changes hold, but are not told at once.
#[test]
fn small_changes() {
    let now = Instant::now();
    let mut limits = ServerLimits::default();
    let mut record = |limit: f64, ms: u32| {
        let at = now + ms * MS;
        let change = limits.record(&statement(Some(limit), at, at));
        (change, rate(&limits, 1000, at).unwrap())
    };
    assert_eq!(record(10.0, 0), (LimitChange::Named, 10.0));
    assert_eq!(record(11.5, 1), (LimitChange::Adjusted, 11.5));
    assert_eq!(record(8.5, 2), (LimitChange::Adjusted, 8.5));
    assert_eq!(record(7.5, 3), (LimitChange::Named, 7.5));
    assert_eq!(record(0.0, 4), (LimitChange::Named, 0.0));
    assert_eq!(record(0.01, 5), (LimitChange::Adjusted, 0.01));
}
