//! An engine that names limits, under more requests than it takes, in random schedules: whatever the views
//! of the hosts are, all that it told stay together below the outer bound.

mod limited_engine;

use std::ops::Range;

use limited_engine::World;

/// Returns the seeds to run; `LIMIT_SEEDS` names another number of them.
fn seeds() -> Range<u64> {
    let n_seeds = std::env::var("LIMIT_SEEDS").ok().and_then(|it| it.parse().ok());
    0..n_seeds.unwrap_or(40)
}

/// Hosts that don't hear each other, two owners at once, owners that are killed or frozen, hosts that
/// start, an engine that starts again or names another limit or none, late responses and lost notices.
#[test]
fn bound_of_all_hosts() {
    let most: usize = seeds().map(|seed| World::new(seed).run(&format!("seed {seed}"))).sum();
    assert!(most > 8 * seeds().end as usize, "a limited engine gets requests: {most}");
}
