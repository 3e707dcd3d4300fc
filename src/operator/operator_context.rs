//! What the operator address shows and starts beyond the shared handles.

use std::sync::Arc;

use async_channel::Sender;

use crate::{report::RequestAccounts, weights::WeightsStage};

/// Parts of one process beyond its shared handles.
#[derive(Clone, Debug)]
pub struct OperatorContext {
    /// Starts a graceful shutdown; one message is enough.
    pub leave: Sender<()>,
    /// Outcomes of requests; without entries on a backend server host.
    pub request_history: Arc<RequestAccounts>,
    /// Weights held and fetched; without targets on an entry host.
    pub weights: Arc<WeightsStage>,
}
