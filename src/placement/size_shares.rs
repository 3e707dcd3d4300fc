//! The shares of the largest requests of a kind that were served lately.

use std::time::Instant;

use crate::placement::{
    served_share::ServedShare,
    size_classes::{SizeClass, SizeClasses},
};

/// The served shares of the largest requests of one kind, by one measure of size.
#[derive(Clone, Debug)]
pub(crate) struct SizeShares {
    sizes: SizeClasses,
    large: ServedShare,
    largest: ServedShare,
}

impl SizeShares {
    /// Creates shares without decisions.
    pub(crate) fn new(now: Instant) -> SizeShares {
        let empty = ServedShare::new(now);
        SizeShares { sizes: SizeClasses::default(), large: empty, largest: empty }
    }

    /// Records the decision on a request.
    pub(crate) fn record(&mut self, size_tokens: u64, is_served: bool, now: Instant) {
        self.sizes.record(size_tokens);
        match self.sizes.class(size_tokens) {
            SizeClass::Usual => {}
            SizeClass::Large => self.large.record(is_served, now),
            SizeClass::Largest => self.largest.record(is_served, now),
        }
    }

    /// Returns the share of requests of about this size that were served, if it is one of the largest.
    pub(crate) fn share(&self, size_tokens: u64, now: Instant) -> Option<f64> {
        match self.sizes.class(size_tokens) {
            SizeClass::Usual => None,
            SizeClass::Large => self.large.share(now),
            SizeClass::Largest => self.largest.share(now),
        }
    }
}
