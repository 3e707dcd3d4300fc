//! The requests that arrive at an emulated cell.

use fastrand::Rng;

/// The longest prompt that a caller sends, in tokens.
const MAX_PROMPT_TOKENS: f64 = 12_000.0;

/// Share of the deployment's rates that keeps a quarter of its engines just busy.
const RATE_SHARE: f64 = 0.25 * 0.62;

/// The requests of one route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) rank: u32,
    pub(crate) rate_per_s: f64,
    pub(crate) prompt_tokens: f64,
    pub(crate) n_events: f64,
    pub(crate) objective_ms: u64,
    /// Value of a response in time, and late.
    pub(crate) values: [f64; 2],
}

/// The streams of deployment A at a quarter of their rates.
pub(crate) const KINDS: [Kind; 3] = [
    kind(0, 222.0, 1290.0, 21.0, 400, [3.7, 0.37]),
    kind(1, 266.0, 787.0, 21.0, 400, [1.7, 0.42]),
    kind(2, 188.0, 607.0, 10.0, 800, [0.51, 0.19]),
];

const fn kind(
    rank: u32,
    rate_per_s: f64,
    prompt_tokens: f64,
    n_events: f64,
    objective_ms: u64,
    values: [f64; 2],
) -> Kind {
    Kind {
        rank,
        rate_per_s: rate_per_s * RATE_SHARE,
        prompt_tokens,
        n_events,
        objective_ms,
        values,
    }
}

/// A time in which more requests of a kind arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    pub(crate) kind: usize,
    pub(crate) factor: f64,
}

/// What arrives at a cell, and what happens to it.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) factor: f64,
    pub(crate) bursts: Vec<Burst>,
    /// Spread of the sizes, as the standard deviation of their logarithms.
    pub(crate) size_spread: f64,
    /// Share of the requests that one of the 24 customers sends.
    pub(crate) large_customer_share: f64,
    /// Engines that are lost during the burst.
    pub(crate) n_lost: usize,
    pub(crate) n_owners: usize,
    pub(crate) kinds: [Kind; 3],
    /// The number of times that the large customer returns at once, before its one retry.
    pub(crate) n_hasty_returns: u32,
    /// Whether the queue and the memory of refusals are lost during the burst.
    pub(crate) loses_owner: bool,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            factor: 1.0,
            bursts: Vec::new(),
            size_spread: 0.7,
            large_customer_share: 0.2,
            n_lost: 0,
            n_owners: 1,
            kinds: KINDS,
            n_hasty_returns: 0,
            loses_owner: false,
        }
    }
}

/// The length of a run in milliseconds, and the time of bursts and losses in it.
pub(crate) const RUN_MS: u64 = 24_000;
pub(crate) const BURST_MS: std::ops::Range<u64> = 8_000..14_000;

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_ms: f64,
    pub(crate) kind: usize,
    pub(crate) customer: u32,
    pub(crate) prompt_tokens: u32,
    pub(crate) n_events: u32,
    /// The caller's estimate of the output in tokens.
    pub(crate) output_tokens: u32,
}

impl Load {
    /// Returns the requests in order of arrival.
    pub(crate) fn arrivals(&self, steps_per_event: u32, seed: u64) -> Vec<Arrival> {
        let mut all = Vec::new();
        for (idx, kind) in self.kinds.iter().enumerate() {
            let mut random = Rng::with_seed(seed * 10 + idx as u64);
            let burst = self.bursts.iter().find(|it| it.kind == idx).map_or(1.0, |it| it.factor);
            let mut at_ms = 0.0;
            while at_ms < RUN_MS as f64 {
                let is_burst = BURST_MS.contains(&(at_ms as u64));
                let rate = kind.rate_per_s * self.factor * if is_burst { burst } else { 1.0 };
                at_ms -= (1.0 - random.f64()).ln() * 1000.0 / rate;
                let prompt = kind.prompt_tokens * spread(&mut random, self.size_spread);
                let events = (kind.n_events * spread(&mut random, 0.4)).ceil().clamp(1.0, 200.0);
                let tokens = events * f64::from(steps_per_event);
                let customer = match random.f64() < self.large_customer_share {
                    true => 0,
                    false => random.u32(1..24),
                };
                all.push(Arrival {
                    at_ms,
                    kind: idx,
                    customer,
                    prompt_tokens: prompt.clamp(20.0, MAX_PROMPT_TOKENS) as u32,
                    n_events: events as u32,
                    output_tokens: (tokens * spread(&mut random, 0.6)) as u32,
                });
            }
        }
        all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        all
    }
}

/// Returns a log-normal random number with a mean of 1.
fn spread(random: &mut Rng, deviation: f64) -> f64 {
    let radius = (-2.0 * (1.0 - random.f64()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * random.f64()).cos();
    (deviation * normal - deviation * deviation / 2.0).exp()
}
