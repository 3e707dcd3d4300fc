//! Estimates from which size on a request belongs to the largest of its kind.
//!
//! Load pattern: sizes have a long tail, and change with the callers that are active.

/// Smallest weight of the newest request, so that the quantiles follow changes of the sizes.
const MIN_STEP: f64 = 0.05;
/// Shares of the requests of a kind that are smaller than a large one, and than one of the largest.
const QUANTILE_SHARES: [f64; 2] = [0.7, 0.9];

/// How large a request is among those of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SizeClass {
    /// Below the 70th percentile.
    Usual,
    /// Between the 70th and the 90th percentile.
    Large,
    /// Above the 90th percentile.
    Largest,
}

/// The running quantiles of the sizes of one kind of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SizeClasses {
    n_sizes: u32,
    /// Natural logarithms of the sizes at `QUANTILE_SHARES`.
    quantiles: [f64; 2],
}

impl SizeClasses {
    /// Records the size of a request in tokens.
    pub(crate) fn record(&mut self, size_tokens: u64) {
        let size = (size_tokens.max(1) as f64).ln();
        self.n_sizes = self.n_sizes.saturating_add(1);
        if self.n_sizes == 1 {
            self.quantiles = [size; 2];
        }
        let step = (1.0 / f64::from(self.n_sizes)).max(MIN_STEP);
        for (quantile, share) in self.quantiles.iter_mut().zip(QUANTILE_SHARES) {
            *quantile += step * if size > *quantile { share } else { share - 1.0 };
        }
    }

    /// Returns the class of a request.
    pub(crate) fn class(&self, size_tokens: u64) -> SizeClass {
        let size = (size_tokens.max(1) as f64).ln();
        match self.quantiles {
            _ if self.n_sizes == 0 => SizeClass::Usual,
            [_, largest] if size > largest => SizeClass::Largest,
            [large, _] if size > large => SizeClass::Large,
            _ => SizeClass::Usual,
        }
    }
}
