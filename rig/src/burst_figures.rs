//! The figures of a burst and the guarantees that it violated.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use crate::{
    baseline::Baseline,
    live_load::{Outcome, RequestSample},
};

/// The figures of one burst.
///
/// `None` means not measured and is printed as null.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct BurstFigures {
    pub(crate) hosts: usize,
    pub(crate) size_bytes: u64,
    pub(crate) mode: String,
    pub(crate) faults: Vec<String>,
    pub(crate) seed: u64,
    /// The lower bound of the transfer time at the configured link rates.
    pub(crate) bound_s: f64,
    /// The time from the last patch until the last live host verified the target.
    pub(crate) time_to_all_s: Option<f64>,
    /// The time from the first patch until every live engine has loaded the target.
    pub(crate) time_to_all_serving_s: Option<f64>,
    /// `time_to_all_s` divided by `bound_s`.
    pub(crate) ratio: Option<f64>,
    /// The bytes of the target that the origin sent, divided by the size of the weights.
    pub(crate) origin_copies: Option<f64>,
    /// The copies that the region with the most cross-region traffic received from other regions.
    pub(crate) region_link_copies_max: Option<f64>,
    /// The number of chunks that hosts received again, divided by the chunks of all hosts.
    pub(crate) duplicate_chunk_share: Option<f64>,
    /// The number of answers whose fingerprint matches no registered version.
    pub(crate) bad_digest_served: u64,
    /// The number of answers from partial weights or from several versions.
    pub(crate) mixed_answers: u64,
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) lost: u64,
    pub(crate) cut: u64,
    pub(crate) wrong_answers: u64,
    /// The p99 of the answered requests that ended before the first patch.
    pub(crate) live_p99_ms_without: Option<f64>,
    /// The p99 of the answered requests that ended during the burst.
    pub(crate) live_p99_ms_with: Option<f64>,
    /// The p99 of those requests in `live_p99_ms_with` that ended before the last host verified the
    /// target.
    pub(crate) live_p99_ms_transfer: Option<f64>,
    /// The p99 of those requests in `live_p99_ms_with` that ended later, while engines load the
    /// target.
    pub(crate) live_p99_ms_load: Option<f64>,
    /// `live_p99_ms_with` divided by `live_p99_ms_without`.
    pub(crate) live_p99_ratio: Option<f64>,
    /// The longest time for which customers were served by different versions.
    pub(crate) skew_s: Option<f64>,
    /// The calls to the platform per second during the burst, from all processes together.
    pub(crate) platform_calls_per_s: Option<f64>,
    pub(crate) peak_rss_max_bytes: Option<u64>,
    pub(crate) hosts_at_target: usize,
    pub(crate) hosts_live: usize,
    /// Alternative distribution schemes over the same links.
    pub(crate) baselines: Vec<Baseline>,
    /// The number of requests without a correct answer, by reason.
    pub(crate) failures: BTreeMap<String, u64>,
    /// The violated guarantees.
    pub(crate) broken: Vec<String>,
}

/// The longest allowed time for which customers of a pool are served by different versions.
const MAX_SKEW_S: f64 = 2.0;
/// The maximum number of distinct failure reasons in the figures.
const MAX_FAILURE_REASONS: usize = 20;

impl BurstFigures {
    /// Adds the outcomes and latencies of the callers' requests.
    ///
    /// `digests` are the content digests of the versions, oldest first.
    pub(crate) fn add_samples(
        &mut self,
        samples: &[RequestSample],
        digests: &[String],
        burst: std::ops::Range<std::time::Instant>,
    ) {
        for sample in samples {
            self.add_sample(sample, digests);
        }
        let answered = |it: &&RequestSample| it.outcome == Outcome::Answered;
        let before_burst = samples.iter().filter(answered).filter(|it| it.ended < burst.start);
        self.live_p99_ms_without = p99_ms(before_burst);
        let transfer_s = self.time_to_all_s.unwrap_or(f64::MAX).min(1e6);
        let verified_at = burst.start + Duration::from_secs_f64(transfer_s);
        let during_burst =
            || samples.iter().filter(answered).filter(|it| burst.contains(&it.ended));
        self.live_p99_ms_with = p99_ms(during_burst());
        self.live_p99_ms_transfer = p99_ms(during_burst().filter(|it| it.ended < verified_at));
        self.live_p99_ms_load = p99_ms(during_burst().filter(|it| it.ended >= verified_at));
        let p99s = self.live_p99_ms_with.zip(self.live_p99_ms_without);
        self.live_p99_ratio = p99s.map(|(with, without)| with / without);
        self.skew_s = version_skew(samples, digests).map(|it| it.as_secs_f64());
    }

    fn add_sample(&mut self, sample: &RequestSample, digests: &[String]) {
        self.requests += 1;
        let reason = match &sample.outcome {
            Outcome::Answered => {
                self.answered += 1;
                None
            }
            Outcome::Lost(reason) => {
                self.lost += 1;
                Some(reason)
            }
            Outcome::Cut(reason) => {
                self.cut += 1;
                Some(reason)
            }
            Outcome::Wrong(reason) => {
                self.wrong_answers += 1;
                Some(reason)
            }
        };
        if let Some(reason) = reason {
            if self.failures.len() < MAX_FAILURE_REASONS || self.failures.contains_key(reason) {
                *self.failures.entry(reason.clone()).or_default() += 1;
            }
        }
        let Some(fingerprint) = &sample.fingerprint else { return };
        if fingerprint.contains("weights") || fingerprint.contains('+') {
            self.mixed_answers += 1;
        } else if !digests.contains(fingerprint) {
            self.bad_digest_served += 1;
        }
    }

    /// Adds every guarantee that the figures violate to `broken`.
    ///
    /// With `kills_hosts`, answers may be cut.
    pub(crate) fn check_guarantees(&mut self, kills_hosts: bool, max_origin_copies: f64) {
        let mut broken = Vec::new();
        let mut check = |is_met: bool, violation: &str| {
            if !is_met {
                broken.push(violation.to_owned());
            }
        };
        check(self.hosts_at_target == self.hosts_live, "a live host is not at the target");
        check(self.time_to_all_s.is_some(), "the weights did not reach all live hosts");
        check(self.mixed_answers == 0, "an answer came from partial or mixed weights");
        check(self.bad_digest_served == 0, "an answer came from unknown weights");
        check(self.wrong_answers == 0, "an answer was wrong, short or another's");
        check(self.lost == 0, "a live request was lost");
        check(kills_hosts || self.cut == 0, "an answer was cut");
        check(self.answered > 0, "no live request was answered");
        let skew_s = self.skew_s.unwrap_or(0.0);
        check(skew_s <= MAX_SKEW_S, "customers were on different versions for too long");
        let copies = self.origin_copies.unwrap_or(f64::INFINITY);
        check(copies <= max_origin_copies, "the origin sent too many copies");
        self.broken.extend(broken);
    }
}

/// Returns the 99th percentile of the time from sending a request to the end of its response.
fn p99_ms<'a>(samples: impl Iterator<Item = &'a RequestSample>) -> Option<f64> {
    let mut times: Vec<Duration> = samples.map(|it| it.ended - it.sent).collect();
    times.sort();
    let idx = (times.len() * 99).div_ceil(100).checked_sub(1)?;
    Some(times[idx].as_secs_f64() * 1e3)
}

/// Returns the longest time for which customers were served by different versions.
///
/// For each version, this is the time from the first answer of that version until the last request
/// was sent that an older version answered.
fn version_skew(samples: &[RequestSample], digests: &[String]) -> Option<Duration> {
    let version_index =
        |it: &RequestSample| digests.iter().position(|d| Some(d) == it.fingerprint.as_ref());
    let mut longest = None;
    for newer in 1..digests.len() {
        let newer_samples = samples.iter().filter(|it| version_index(it) == Some(newer));
        let Some(first) = newer_samples.map(|it| it.ended).min() else { continue };
        let older_samples =
            samples.iter().filter(|it| version_index(it).is_some_and(|it| it < newer));
        let last = older_samples.map(|it| it.sent).max();
        let skew = last.map_or(Duration::ZERO, |it| it.saturating_duration_since(first));
        longest = longest.max(Some(skew));
    }
    longest
}
