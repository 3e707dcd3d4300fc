//! Decodes queries for lists and watches of the store and encodes the responses.
//!
//! Entry hosts relay the store to other processes in this form.

use std::time::Duration;

use serde_json::json;

use crate::{
    http1::SmallResponse,
    ids::Revision,
    platform::store::{Changes, Listing, StoreError},
};

/// The common prefix of the paths of all kinds.
const PATH: &str = "/v1/objects/";

/// A query for the objects of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectsQuery {
    /// The kind of the objects.
    pub kind: String,
    /// The revision after which changes are requested and the maximum wait for a change; absent for a
    /// list.
    pub changes_after: Option<(Revision, Duration)>,
}

/// Decodes a query from the target of a request; returns `None` for another path.
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

/// Encodes the list of all objects of a kind.
pub fn encode_listing(listing: &Listing) -> SmallResponse {
    json_response(json!({ "items": listing.objects, "more": false, "at": listing.at }).to_string())
}

/// Encodes the response to a watch.
pub fn encode_changes(changes: &Changes) -> SmallResponse {
    json_response(json!(changes).to_string())
}

/// Encodes an error as an HTTP status without a body.
pub fn encode_failure(err: &StoreError) -> SmallResponse {
    SmallResponse::status(match err {
        StoreError::HistoryLost => 410,
        StoreError::Refused(status) => *status,
        _ => 500,
    })
}

fn json_response(body: String) -> SmallResponse {
    SmallResponse { status: 200, content_type: "application/json", body: body.into_bytes() }
}
