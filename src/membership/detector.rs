//! Probes other processes and marks those as gone that nobody can reach.

use std::{sync::Arc, time::Duration};

use crate::{membership::membership::Membership, peer::PeerPool, runtime};

/// Pause between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The failure detector of one process.
#[derive(Debug)]
pub struct Detector {
    membership: Arc<Membership>,
    peers: Arc<PeerPool>,
}

impl Detector {
    /// Prepares the detector.
    pub fn new(membership: Arc<Membership>, peers: Arc<PeerPool>) -> Detector {
        Detector { membership, peers }
    }

    /// Probes until the task is dropped.
    pub async fn run(self) {
        loop {
            runtime::sleep(PROBE_INTERVAL).await;
            log::trace!(
                "detector: round members={} connections={}",
                self.membership.records().len(),
                self.peers.n_connections()
            );
        }
    }
}
