//! Computed times of alternative schemes that distribute the weights over the same links.
//!
//! These schemes are not run.

use serde::Serialize;

use crate::burst::{LINK_COPIES_PER_WINDOW, ORIGIN_COPIES_PER_WINDOW};

/// The number of chunks per version.
const N_CHUNKS: f64 = 256.0;

/// The minimum time and the origin copies of an alternative distribution scheme.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Baseline {
    pub(crate) way: &'static str,
    /// Always `computed`: derived from the link rates only, without latency, loss or live requests.
    pub(crate) source: &'static str,
    pub(crate) time_to_all_s: f64,
    pub(crate) ratio: f64,
    pub(crate) origin_copies: f64,
}

/// Computes all baselines for `n_hosts` hosts in `n_regions` regions.
pub(crate) fn compute(
    n_hosts: usize,
    n_regions: usize,
    window_s: f64,
    bound_s: f64,
) -> Vec<Baseline> {
    let baseline = |way, time_to_all_s, origin_copies| Baseline {
        way,
        source: "computed",
        time_to_all_s,
        ratio: time_to_all_s / bound_s,
        origin_copies,
    };
    let copy_over_link_s = window_s / LINK_COPIES_PER_WINDOW;
    let copies_from_origin_s = |copies: f64| copies * window_s / ORIGIN_COPIES_PER_WINDOW;
    let regions = n_regions as f64;
    let chain_length = n_hosts.saturating_sub(1) as f64;
    vec![
        baseline(
            "every host from the origin",
            copies_from_origin_s(n_hosts as f64).max(copy_over_link_s),
            n_hosts as f64,
        ),
        baseline(
            "one first copy a region",
            copies_from_origin_s(regions).max(copy_over_link_s),
            regions,
        ),
        baseline("chain", copy_over_link_s * (1.0 + chain_length / N_CHUNKS), 1.0),
    ]
}
