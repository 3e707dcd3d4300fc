//! The path of a live request: from a caller through an entry host and a slot to a backend server,
//! and the response back.

mod attempt_error;
mod backend_client;
mod backend_probe;
mod backend_request;
mod chat_response;
mod claim_bucket;
mod claim_key;
mod claim_object;
mod claim_stage;
mod concurrency_limiter;
mod eligible_slots;
mod entry_headers;
mod entry_hosts;
mod entry_stage;
mod failure;
mod fair_queue;
mod forwarded_request;
mod headers;
mod in_progress_counts;
mod quarantine;
mod quarantine_stage;
mod relay;
mod request_quarantine;
mod request_recorder;
mod retry_budget;
mod route;
mod slot_choice;
mod slot_loads;
mod slot_picker;
mod slot_refusal;
mod slot_request;
mod slot_response;
mod slot_stage;
mod validated_request;

use std::sync::Arc;

use crate::{
    digest::Digest,
    net::Handler,
    node::Node,
    request::{entry_stage::EntryStage, quarantine_stage::QuarantineStage, slot_stage::SlotStage},
    rollout::ServingState,
};

pub use crate::request::{
    claim_bucket::{CallOutcome, Claim, ClaimBucket, ClaimChange, ClaimResult},
    claim_key::{shard_rank_key, ClaimKey, KeyError, BUCKET_SPAN, MAX_CLOCK_SKEW},
    entry_hosts::order_entry_hosts,
    fair_queue::{FairQueue, PushOutcome, StartedRequest, Ticket},
    quarantine::{
        Quarantine, QuarantineChange, QuarantineEntry, QuarantineStatus, MAX_CRASHED_HOSTS,
    },
    retry_budget::RetryBudget,
    slot_picker::{SlotLoad, SlotPicker},
    slot_stage::WeightsSource,
};

/// Returns the handler for requests of callers at an entry host.
pub fn entry_handler(node: Arc<Node>) -> Handler {
    let stage = EntryStage::new(node);
    Arc::new(move |request| {
        let stage = stage.clone();
        Box::pin(async move { Ok(stage.handle(request).await) })
    })
}

/// Returns the handler of a slot for requests of entry hosts and of its own engine.
///
/// `weights` returns the body of verified weights for the digest of their manifest.
pub fn slot_handler(
    node: Arc<Node>,
    serving: Arc<ServingState>,
    weights: WeightsSource,
) -> Handler {
    let stage = SlotStage::new(node, serving, weights);
    Arc::new(move |request| {
        let stage = stage.clone();
        Box::pin(async move { Ok(stage.handle(request).await) })
    })
}

/// Removes `fingerprint` from the quarantine, so that all entry hosts accept such requests again.
///
/// Reports no error; the quarantine document shows whether the change was stored.
pub(crate) async fn clear_quarantine(node: &Arc<Node>, fingerprint: Digest) {
    let stage = QuarantineStage::new(node.clone());
    stage.record_change(QuarantineChange::Cleared { fingerprint }).await;
}
