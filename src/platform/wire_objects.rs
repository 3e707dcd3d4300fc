//! Decodes queries for lists and watches of the store and encodes the responses.
//!
//! Entry hosts relay the store to other processes in this form.

use std::time::Duration;

use serde_json::{json, Value};

use crate::{
    http1::SmallResponse,
    json_parts,
    platform::{
        store::{Changes, Listing, StoreError, StoredObject},
        wire_config::CONFIG_KIND,
        wire_server::VERSION_KIND,
        ContactAges, StorePoint,
    },
};

/// The common prefix of the paths of all kinds.
const PATH: &str = "/v1/objects/";
/// The ms since the store's latest response to the entry host.
const ANSWERED: &str = "answered-ms";
/// The ms since the store's latest return.
const RETURNED: &str = "returned-ms";
/// Time since the end of the latest outage that was the store's own, in milliseconds.
const OUTAGE_ENDED: &str = "outage-ended-ms";

/// A query for the objects of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectsQuery {
    /// The kind of the objects.
    pub kind: String,
    /// The point after which changes are requested and the maximum wait for a change; absent for a
    /// list.
    pub changes_after: Option<(StorePoint, Duration)>,
}

/// Returns the number in an object of a kind whose objects have one that only rises: the charter and
/// the published versions; `None` for other kinds.
pub fn rising_number(kind: &str, object: &StoredObject) -> Option<u64> {
    match kind {
        CONFIG_KIND | VERSION_KIND => object.spec["version"].as_u64(),
        _ => None,
    }
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
    let generation = field("generation").unwrap_or(0);
    let changes_after = field("watch").map(|it| (StorePoint { generation, revision: it }, wait));
    Some(ObjectsQuery { kind, changes_after })
}

/// Encodes the list of all objects of a kind.
pub fn encode_listing(listing: &Listing, contact: ContactAges) -> SmallResponse {
    let StorePoint { generation, revision } = listing.at;
    let body = json!({
        "items": listing.objects, "more": false, "at": revision, "generation": generation,
    });
    json_response(body, contact)
}

/// Encodes the response to a watch.
pub fn encode_changes(changes: &Changes, contact: ContactAges) -> SmallResponse {
    json_response(json!(changes), contact)
}

/// Decodes what an entry host tells of the store's responses in the body of a list or of the response
/// to a watch.
pub fn decode_contact(body: &[u8]) -> ContactAges {
    let parts = json_parts::members(body).unwrap_or_default();
    let age = |name: &str| json_parts::decode_member(&parts, name).map(Duration::from_millis);
    ContactAges {
        answered: age(ANSWERED),
        returned: age(RETURNED),
        outage_ended: age(OUTAGE_ENDED),
    }
}

/// Encodes an error as an HTTP status without a body.
pub fn encode_failure(err: &StoreError) -> SmallResponse {
    SmallResponse::status(match err {
        StoreError::HistoryLost => 410,
        StoreError::Refused(status) => *status,
        StoreError::Behind => 503,
        _ => 500,
    })
}

fn json_response(mut body: Value, contact: ContactAges) -> SmallResponse {
    for (name, age) in [
        (ANSWERED, contact.answered),
        (RETURNED, contact.returned),
        (OUTAGE_ENDED, contact.outage_ended),
    ] {
        if let Some(age) = age {
            body[name] = json!(age.as_millis() as u64);
        }
    }
    let body = body.to_string().into_bytes();
    SmallResponse { status: 200, content_type: "application/json", body }
}
