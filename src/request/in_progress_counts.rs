//! Limits the number of requests in progress of each customer.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use crate::ids::CustomerId;

/// The number of requests in progress of each customer, at one entry host.
#[derive(Debug, Default)]
pub(crate) struct InProgressCounts {
    counts: Mutex<HashMap<CustomerId, u32>>,
}

impl InProgressCounts {
    /// Counts one more request of `customer`; returns `None` if `limit` are in progress already.
    pub(crate) fn try_begin(
        self: &Arc<Self>,
        customer: &str,
        limit: u32,
    ) -> Option<InProgressGuard> {
        let mut counts = self.counts.lock().unwrap();
        let count = counts.entry(customer.to_owned()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(InProgressGuard { counts: self.clone(), customer: customer.to_owned() })
    }

    fn end(&self, customer: &str) {
        let mut counts = self.counts.lock().unwrap();
        let Some(count) = counts.get_mut(customer) else { return };
        *count -= 1;
        if *count == 0 {
            counts.remove(customer);
        }
    }
}

/// Counts one request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgressGuard {
    counts: Arc<InProgressCounts>,
    customer: CustomerId,
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.counts.end(&self.customer);
    }
}
