//! The store's lists and watches as entry hosts answer them to the processes that follow them.

use std::time::Duration;

use serde_json::json;

use crate::{
    http1::SmallResponse,
    ids::Revision,
    platform::store::{Changes, Listing, StoreError},
};

/// Path of all kinds.
const PATH: &str = "/v1/objects/";

/// A question for the objects of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectsQuestion {
    /// The kind.
    pub kind: String,
    /// Revision after which changes are asked for, and the longest wait for one; absent for a list.
    pub changes_after: Option<(Revision, Duration)>,
}

/// Reads a question from the target of a request.
pub fn decode_question(target: &str) -> Option<ObjectsQuestion> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let kind = path.strip_prefix(PATH).filter(|it| !it.contains('/'))?.to_owned();
    let field = |name: &str| -> Option<u64> {
        let mut fields = query.split('&').filter_map(|it| it.split_once('='));
        fields.find(|it| it.0 == name)?.1.parse().ok()
    };
    let wait = Duration::from_millis(field("wait-ms").unwrap_or(0));
    Some(ObjectsQuestion { kind, changes_after: field("watch").map(|it| (it, wait)) })
}

/// Writes all objects of a kind.
pub fn encode_listing(listing: &Listing) -> SmallResponse {
    answer(json!({ "items": listing.objects, "more": false, "at": listing.at }).to_string())
}

/// Writes changes.
pub fn encode_changes(changes: &Changes) -> SmallResponse {
    answer(json!({ "events": changes.events, "at": changes.at }).to_string())
}

/// Writes why there is no answer.
pub fn encode_failure(err: &StoreError) -> SmallResponse {
    SmallResponse::status(match err {
        StoreError::HistoryGone => 410,
        StoreError::TurnedAway(status) => *status,
        _ => 500,
    })
}

fn answer(body: String) -> SmallResponse {
    SmallResponse { status: 200, content_type: "application/json", body: body.into_bytes() }
}
