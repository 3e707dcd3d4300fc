//! Finds the classes of requests that are served too seldom.
//!
//! Load pattern: overload that lasts. An order by rank alone would refuse all requests of the least urgent
//! kind, and long prompts are refused first by any order, as they need an engine that is nearly idle.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    ids::ServiceId,
    placement::{served_share::ServedShare, size_shares::SizeShares, Demand},
};

/// Share of what its kind gets below which a size class goes first. Each is to get half at least; the share is
/// known only after some refusals.
const MIN_SIZE_SHARE: f64 = 0.55;
/// As `MIN_SIZE_SHARE`, where requests are ranked and shorter prompts go first.
const MIN_RANKED_SIZE_SHARE: f64 = 0.8;
/// Share of what all get below which a kind goes first; each is to get a quarter at least.
const MIN_KIND_SHARE: f64 = 0.5;
/// As `MIN_KIND_SHARE`, for a customer.
const MIN_CUSTOMER_SHARE: f64 = 0.4;
/// Weight of an output token beside one of the prompt: written one by one, read many at a time.
const OUTPUT_WEIGHT: u64 = 10;
/// Interval at which classes without recent requests are forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Which class of a request is served too seldom, so that it goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shortfall {
    /// The largest requests of its kind.
    Size,
    /// Its kind.
    Kind,
    /// Its customer.
    Customer,
}

/// The shares of requests that were served lately, by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServedShares {
    services: BTreeMap<ServiceId, ServiceShares>,
    next_forget: Option<Instant>,
}

#[derive(Clone, Debug)]
struct ServiceShares {
    all: ServedShare,
    kinds: BTreeMap<(u32, u32), KindShares>,
    customers: BTreeMap<u32, ServedShare>,
}

#[derive(Clone, Debug)]
struct KindShares {
    all: ServedShare,
    /// By prompt alone, which decides how soon an engine has room for it.
    by_prompt: SizeShares,
    /// By all its work, of which the output is only estimated.
    by_work: SizeShares,
}

impl ServedShares {
    /// Records the decision on a request that is not a return.
    pub(crate) fn record(&mut self, demand: &Demand, is_served: bool, now: Instant) {
        self.forget_old(now);
        let empty = ServedShare::new(now);
        let shares = self.services.entry(demand.service.clone()).or_insert_with(|| ServiceShares {
            all: empty,
            kinds: BTreeMap::new(),
            customers: BTreeMap::new(),
        });
        shares.all.record(is_served, now);
        if demand.class.is_ranked {
            let customer = shares.customers.entry(demand.class.customer).or_insert(empty);
            customer.record(is_served, now);
        }
        let kind = shares.kinds.entry(kind_key(demand)).or_insert_with(|| KindShares {
            all: empty,
            by_prompt: SizeShares::new(now),
            by_work: SizeShares::new(now),
        });
        kind.all.record(is_served, now);
        kind.by_prompt.record(demand.prompt_tokens.into(), is_served, now);
        kind.by_work.record(work_tokens(demand), is_served, now);
    }

    /// Returns the class of a request that is served too seldom, if any.
    pub(crate) fn shortfall(&self, demand: &Demand, now: Instant) -> Option<Shortfall> {
        let shares = self.services.get(&demand.service)?;
        let is_below = |part: Option<f64>, min_share: f64, whole: &ServedShare| {
            part.zip(whole.share(now)).is_some_and(|(part, whole)| part < min_share * whole)
        };
        let kind = shares.kinds.get(&kind_key(demand))?;
        let min_share = match demand.class.is_ranked {
            true => MIN_RANKED_SIZE_SHARE,
            false => MIN_SIZE_SHARE,
        };
        let by_prompt = kind.by_prompt.share(demand.prompt_tokens.into(), now);
        let by_work = kind.by_work.share(work_tokens(demand), now);
        if [by_prompt, by_work].into_iter().any(|it| is_below(it, min_share, &kind.all)) {
            return Some(Shortfall::Size);
        }
        if !demand.class.is_ranked {
            return None;
        }
        if is_below(kind.all.share(now), MIN_KIND_SHARE, &shares.all) {
            return Some(Shortfall::Kind);
        }
        let customer = shares.customers.get(&demand.class.customer)?;
        is_below(customer.share(now), MIN_CUSTOMER_SHARE, &shares.all)
            .then_some(Shortfall::Customer)
    }

    fn forget_old(&mut self, now: Instant) {
        if self.next_forget.is_some_and(|it| now < it) {
            return;
        }
        self.next_forget = Some(now + FORGET_INTERVAL);
        for shares in self.services.values_mut() {
            shares.customers.retain(|_, it| !it.is_forgotten(now));
            shares.kinds.retain(|_, it| !it.all.is_forgotten(now));
        }
        self.services.retain(|_, it| !it.all.is_forgotten(now));
    }
}

fn kind_key(demand: &Demand) -> (u32, u32) {
    (demand.rank, demand.class.kind)
}

fn work_tokens(demand: &Demand) -> u64 {
    u64::from(demand.prompt_tokens) + OUTPUT_WEIGHT * u64::from(demand.output_tokens)
}
