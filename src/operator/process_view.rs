//! What the operator address shows and starts beyond the shared handles.

use std::sync::Arc;

use async_channel::Sender;

use crate::report::RequestAccounts;

/// Parts of one process that only some roles have.
#[derive(Clone, Debug)]
pub struct ProcessView {
    /// Starts a graceful shutdown; one message is enough.
    pub leave: Sender<()>,
    /// Outcomes of requests; without entries on a backend server host.
    pub accounts: Arc<RequestAccounts>,
}
