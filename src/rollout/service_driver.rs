//! Opens the slot of a plain service while its host is live.

use std::{sync::Arc, time::Duration};

use crate::{membership::HostState, node::Node, rollout::serving_state::ServingState, runtime};

/// Longest pause between two looks at the own state.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Plain services have no versions, so their slots stay at this switch number.
const NO_SWITCH: u64 = 0;

/// Follows the host's life cycle; a plain service has no weights to load.
pub struct ServiceDriver {
    node: Arc<Node>,
    serving: Arc<ServingState>,
}

impl ServiceDriver {
    /// Prepares the driver; the slot stays closed until `run`.
    pub fn new(node: Arc<Node>, serving: Arc<ServingState>) -> ServiceDriver {
        ServiceDriver { node, serving }
    }

    /// Follows the host's state until the task is dropped.
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
