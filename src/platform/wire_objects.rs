//! The store's lists and watches as entry hosts answer them to the processes that follow them.

use std::time::Duration;

use serde_json::json;

use crate::{
    http1::SmallAnswer,
    ids::Revision,
    platform::store::{Changes, Listing, StoreError},
};

/// Path of all kinds.
const PATH: &str = "/v1/objects/";

/// A question for the objects of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectsQuery {
    /// The kind.
    pub kind: String,
    /// Revision after which changes are asked for, and the longest wait for one; absent for a list.
    pub changes_after: Option<(Revision, Duration)>,
}

/// Reads a question from the target of a request.
pub fn decode_query(target: &str) -> Option<ObjectsQuery> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let kind = path.strip_prefix(PATH).filter(|it| !it.contains('/'))?.to_owned();
    let field = |name: &str| -> Option<u64> {
        let mut fields = query.split('&').filter_map(|it| it.split_once('='));
        fields.find(|it| it.0 == name)?.1.parse().ok()
    };
    let wait = Duration::from_millis(field("wait-ms").unwrap_or(0));
    Some(ObjectsQuery { kind, changes_after: field("watch").map(|it| (it, wait)) })
}

/// Writes all objects of a kind.
pub fn encode_listing(listing: &Listing) -> SmallAnswer {
    json_response(json!({ "items": listing.objects, "more": false, "at": listing.at }).to_string())
}

/// Writes changes.
pub fn encode_changes(changes: &Changes) -> SmallAnswer {
    json_response(json!({ "events": changes.events, "at": changes.at }).to_string())
}

/// Writes why there is no answer.
pub fn encode_failure(err: &StoreError) -> SmallAnswer {
    SmallAnswer::status(match err {
        StoreError::HistoryLost => 410,
        StoreError::Refused(status) => *status,
        _ => 500,
    })
}

fn json_response(body: String) -> SmallAnswer {
    SmallAnswer { status: 200, content_type: "application/json", body: body.into_bytes() }
}
