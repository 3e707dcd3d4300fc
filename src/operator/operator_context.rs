//! The state that the routes of the operator address use in addition to `Node`.

use std::sync::Arc;

use async_channel::Sender;

use crate::{report::RequestHistory, weights::WeightsStage};

/// The parts of a process that the operator's routes read or signal, in addition to `Node`.
#[derive(Clone, Debug)]
pub struct OperatorContext {
    /// Starts a graceful shutdown of the host with the first message.
    pub leave: Sender<()>,
    /// The outcomes of recent requests; empty on a backend server host.
    pub request_history: Arc<RequestHistory>,
    /// The weights that are stored or being fetched; none on an entry host.
    pub weights: Arc<WeightsStage>,
}
