//! Opens the slot of a plain service while its host is live.

use std::{sync::Arc, time::Duration};

use crate::{membership::HostState, node::Node, rollout::serving_state::ServingState, runtime};

/// Longest pause between two checks of the host's own state.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Switch number of all slots of plain services, which have no versions to switch.
const NO_SWITCH: u64 = 0;

/// A task that opens the slot of a plain service while its host is live and closes it otherwise.
///
/// A plain service has no weights to load.
pub struct ServiceDriver {
    node: Arc<Node>,
    serving: Arc<ServingState>,
}

impl ServiceDriver {
    /// Creates a driver; the slot stays closed until `run`.
    pub fn new(node: Arc<Node>, serving: Arc<ServingState>) -> ServiceDriver {
        ServiceDriver { node, serving }
    }

    /// Applies each change of the host's state until the task is dropped.
    pub async fn run(self) {
        loop {
            let changed = self.node.membership.listen();
            match self.node.membership.own().state {
                HostState::Live => self.serving.open("", NO_SWITCH),
                _ => self.serving.close(),
            }
            let _ = runtime::timeout(MAX_POLL_INTERVAL, changed).await;
        }
    }
}
