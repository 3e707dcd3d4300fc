//! Counters of the bytes that processes exchange, per link class.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// The kind of traffic on a connection between processes.
///
/// Each class has its own connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LinkClass {
    /// Gossip, documents and probes.
    Control,
    /// Manifests, lists of available chunks, and chunks.
    Weights,
}

/// The bytes sent to and received from other processes, per link class.
#[derive(Debug, Default)]
pub struct LinkCounters {
    control_sent: AtomicU64,
    control_received: AtomicU64,
    weights_sent: AtomicU64,
    weights_received: AtomicU64,
}

impl LinkCounters {
    /// Returns the bytes sent in `class` since the process started.
    pub fn sent_bytes(&self, class: LinkClass) -> u64 {
        self.sent_counter(class).load(Ordering::Relaxed)
    }

    /// Returns the bytes received in `class` since the process started.
    pub fn received_bytes(&self, class: LinkClass) -> u64 {
        self.received_counter(class).load(Ordering::Relaxed)
    }

    pub(crate) fn add_sent(&self, class: LinkClass, n_bytes: usize) {
        self.sent_counter(class).fetch_add(n_bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, class: LinkClass, n_bytes: usize) {
        self.received_counter(class).fetch_add(n_bytes as u64, Ordering::Relaxed);
    }

    fn sent_counter(&self, class: LinkClass) -> &AtomicU64 {
        match class {
            LinkClass::Control => &self.control_sent,
            LinkClass::Weights => &self.weights_sent,
        }
    }

    fn received_counter(&self, class: LinkClass) -> &AtomicU64 {
        match class {
            LinkClass::Control => &self.control_received,
            LinkClass::Weights => &self.weights_received,
        }
    }
}
