//! Finds another backend server for a request whose backend server is silent.
//!
//! Load pattern: a backend server with many requests is silent for a moment and then goes on, while the
//! others have little capacity left. Giving its requests up before another one can take them over would
//! lose responses that are still to come.

use std::time::Duration;

use crate::{
    entry::{
        exchange::Exchange,
        reservation::{BackendRequirements, Reservation},
    },
    ids::BackendId,
    runtime,
};

/// Time for which each search waits for capacity at an engine.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two searches.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// The search for a backend server that takes over a request from a silent one.
pub(crate) struct SuccessorSearch<'a> {
    exchange: &'a Exchange,
    /// The requirements, which exclude the backend servers that were tried.
    requirements: &'a BackendRequirements,
    /// The silent backend server.
    silent: &'a BackendId,
    /// Whether the request may be sent to another backend server after this one.
    is_allowed: bool,
}

impl<'a> SuccessorSearch<'a> {
    /// Creates the search for a request that runs at `silent`.
    pub(crate) fn new(
        exchange: &'a Exchange,
        requirements: &'a BackendRequirements,
        silent: &'a BackendId,
        is_allowed: bool,
    ) -> SuccessorSearch<'a> {
        SuccessorSearch { exchange, requirements, silent, is_allowed }
    }

    /// Waits for `silence`, and then until another backend server has capacity and the retry budget
    /// allows to use it. Never returns if the request may not be sent again.
    pub(crate) async fn find_after(&self, silence: Duration) -> Reservation {
        if !self.is_allowed {
            return std::future::pending().await;
        }
        runtime::sleep(silence).await;
        log::info!(
            "relay: silent, looking for another backend server request={} backend={}",
            self.exchange.request.id,
            self.silent
        );
        loop {
            if let Some(reservation) = self.find().await {
                return reservation;
            }
            runtime::sleep(SEARCH_INTERVAL).await;
        }
    }

    async fn find(&self) -> Option<Reservation> {
        if self.exchange.quarantined_part().is_some() {
            return None;
        }
        let host = &self.exchange.host;
        let is_resumed = self.exchange.is_head_sent.get();
        let requirements = BackendRequirements { is_resumed, ..self.requirements.clone() };
        let reservation = Reservation::wait(host, &requirements, QUEUE_TIMEOUT).await.ok()?;
        host.try_spend_retry(&requirements.service).then_some(reservation)
    }
}
