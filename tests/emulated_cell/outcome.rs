//! What became of the requests of a load.

use super::{by_customer, load::Arrival, mean, Fate, Load};

/// What became of the requests of one kind.
#[derive(Clone, Debug)]
pub(crate) struct KindOutcome {
    /// Share of the value of responses in time.
    pub(crate) value: f64,
    /// Shares of the requests that were served: of all, the largest tenth, the fifth below it.
    pub(crate) served: f64,
    pub(crate) largest_tenth: f64,
    pub(crate) next_fifth: f64,
    pub(crate) n_refused: u32,
    pub(crate) mean_wait_ms: f64,
    pub(crate) max_held_ms: f64,
}

/// What became of the requests of a load.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) value: f64,
    pub(crate) served: f64,
    /// Share of the prompt tokens that were read.
    pub(crate) work: f64,
    pub(crate) kinds: Vec<KindOutcome>,
    pub(crate) worst_customer: f64,
    /// Shares of the value for the large customer and for all others.
    pub(crate) large_customer: f64,
    pub(crate) other_customers: f64,
}

impl Outcome {
    pub(crate) fn new(load: &Load, arrivals: &[Arrival], fates: &[Fate]) -> Outcome {
        let value_of = |it: &(&Arrival, &Fate)| {
            let kind = &load.kinds[it.0.kind];
            match it.1.first_event_ms {
                Some(at) if at - it.0.at_ms <= kind.objective_ms as f64 => kind.values[0],
                Some(_) => kind.values[1],
                None => 0.0,
            }
        };
        let served = |it: &(&Arrival, &Fate)| f64::from(u8::from(it.1.first_event_ms.is_some()));
        let all = || arrivals.iter().zip(fates);
        let kinds = (0..load.kinds.len()).map(|idx| {
            let mut own: Vec<(&Arrival, &Fate)> = all().filter(|it| it.0.kind == idx).collect();
            own.sort_by_key(|it| u64::from(it.0.prompt_tokens) + 10 * u64::from(it.0.n_events * 7));
            let waits = own.iter().filter_map(|it| Some(it.1.granted_ms? - it.0.at_ms));
            let (tenth, fifth) = (own.len() * 9 / 10, own.len() * 7 / 10);
            KindOutcome {
                value: mean(own.iter().map(value_of)) / load.kinds[idx].values[0],
                served: mean(own.iter().map(served)),
                largest_tenth: mean(own[tenth..].iter().map(served)),
                next_fifth: mean(own[fifth..tenth].iter().map(served)),
                n_refused: own.iter().map(|it| it.1.n_refused).sum(),
                mean_wait_ms: mean(waits),
                max_held_ms: own.iter().map(|it| it.1.max_held_ms).fold(0.0, f64::max),
            }
        });
        let possible: f64 = arrivals.iter().map(|it| load.kinds[it.kind].values[0]).sum();
        let value_of_customers = |is_large: bool| {
            let own = || all().filter(|it| (it.0.customer == 0) == is_large);
            let possible: f64 = own().map(|it| load.kinds[it.0.kind].values[0]).sum();
            own().map(|it| value_of(&it)).sum::<f64>() / possible
        };
        Outcome {
            value: all().map(|it| value_of(&it)).sum::<f64>() / possible,
            served: mean(all().map(|it| served(&it))),
            work: all().map(|it| served(&it) * f64::from(it.0.prompt_tokens)).sum::<f64>()
                / arrivals.iter().map(|it| f64::from(it.prompt_tokens)).sum::<f64>(),
            kinds: kinds.collect(),
            worst_customer: by_customer(arrivals, fates).into_values().fold(1.0, f64::min),
            large_customer: value_of_customers(true),
            other_customers: value_of_customers(false),
        }
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "value {:.3} served {:.3} work {:.3}", self.value, self.served, self.work)?;
        for it in &self.kinds {
            write!(
                f,
                " | {:.2} {:.2} ({:.2} {:.2}) refused {} wait {:.0} held {:.0}",
                it.value,
                it.served,
                it.largest_tenth,
                it.next_fifth,
                it.n_refused,
                it.mean_wait_ms,
                it.max_held_ms,
            )?;
        }
        let customers = [self.worst_customer, self.large_customer, self.other_customers];
        write!(f, " | customers {customers:.2?}")
    }
}
