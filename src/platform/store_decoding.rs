//! Decodes the store's lists and watches, each object by itself, so that an invalid one doesn't affect the
//! others.

use std::time::Duration;

use serde_json::Value;

use crate::{
    http1::Response,
    ids::{Revision, StoreGeneration},
    json_parts,
    platform::{
        skipped_objects,
        store::{Change, Changes, Metadata, StoreError, StoredObject},
        StorePoint,
    },
};

/// The store's count of its returns from an older copy, in all its responses.
const GENERATION: &str = "Store-Era";

/// A page of a list.
pub(crate) struct Page {
    pub(crate) objects: Vec<StoredObject>,
    /// Whether further pages follow.
    pub(crate) more: bool,
    pub(crate) at: StorePoint,
}

/// The names and the texts of the members of a response's body.
type Members<'a> = Vec<(String, &'a [u8])>;

fn members_of(response: &Response) -> Result<Members<'_>, StoreError> {
    let members = json_parts::members(&response.body);
    members.ok_or_else(|| invalid_response("the body is cut or is not an object"))
}

fn invalid_response(reason: &str) -> StoreError {
    StoreError::InvalidResponse(serde::de::Error::custom(reason))
}

/// Decodes a page of a list.
pub(crate) fn decode_page(kind: &str, response: &Response) -> Result<Page, StoreError> {
    let parts = members_of(response)?;
    let items = json_parts::member(&parts, "items").and_then(json_parts::items);
    let items = items.ok_or_else(|| invalid_response("no list of items"))?;
    let revision = json_parts::decode_member(&parts, "at");
    let revision = revision.ok_or_else(|| invalid_response("no revision"))?;
    let more = json_parts::member(&parts, "more").map(serde_json::from_slice).transpose()?;
    Ok(Page {
        objects: items.iter().filter_map(|it| decode_object(kind, it)).collect(),
        more: more.unwrap_or(false),
        at: StorePoint { generation: generation_of(response, &parts), revision },
    })
}

/// Decodes the response to a watch from `revision`.
pub(crate) fn decode_changes(
    kind: &str,
    revision: Revision,
    response: &Response,
) -> Result<Changes, StoreError> {
    let parts = members_of(response)?;
    let events = json_parts::member(&parts, "events").and_then(json_parts::items);
    let events = events.ok_or_else(|| invalid_response("no list of events"))?;
    let events: Result<Vec<Option<Change>>, StoreError> =
        events.into_iter().map(|it| decode_change(kind, it)).collect();
    let max_age = json_parts::decode_member(&parts, "max-age-ms").unwrap_or(0);
    let at = StorePoint {
        generation: generation_of(response, &parts),
        revision: json_parts::decode_member(&parts, "at").unwrap_or(revision),
    };
    let events = events?.into_iter().flatten().collect();
    Ok(Changes { events, at, max_age: Duration::from_millis(max_age) })
}

/// Returns the generation in a response: the store has it in a header field, an entry host in the
/// body.
fn generation_of(response: &Response, parts: &Members<'_>) -> StoreGeneration {
    let in_header = response.head.headers.number(GENERATION);
    in_header.or_else(|| json_parts::decode_member(parts, "generation")).unwrap_or(0)
}

/// Decodes a change; returns `None` if the object has no name that can be decoded.
///
/// # Errors
///
/// Returns `StoreError::HistoryLost` if an unknown object may have been removed, which only a list
/// can tell.
fn decode_change(kind: &str, text: &[u8]) -> Result<Option<Change>, StoreError> {
    let parts = json_parts::members(text).ok_or(StoreError::HistoryLost)?;
    let object = json_parts::member(&parts, "object").and_then(|it| decode_object(kind, it));
    let deleted = match json_parts::member(&parts, "deleted") {
        Some(it) => serde_json::from_slice(it).ok(),
        None => Some(false),
    };
    match (object, deleted) {
        (Some(object), Some(deleted)) => Ok(Some(Change { object, deleted })),
        (None, Some(false)) => Ok(None),
        _ => Err(StoreError::HistoryLost),
    }
}

/// Decodes an object; returns `None` if it has no name that can be decoded. If another part can't be
/// decoded, the object has a name without content, as it still takes the place of an earlier one.
fn decode_object(kind: &str, text: &[u8]) -> Option<StoredObject> {
    let parts = json_parts::members(text).unwrap_or_default();
    let metadata = json_parts::member(&parts, "metadata").and_then(json_parts::members);
    let metadata = metadata.unwrap_or_default();
    let Some(name) = json_parts::decode_member::<String>(&metadata, "name") else {
        skipped_objects::log_skipped(kind, "", "no name");
        return None;
    };
    let revision: Option<Revision> = json_parts::decode_member(&metadata, "revision");
    let spec = json_parts::member(&parts, "spec").map(serde_json::from_slice::<Value>).transpose();
    let reason = match (revision, spec) {
        (Some(revision), Ok(spec)) => {
            let metadata = Metadata { name, revision };
            return Some(StoredObject { metadata, spec: spec.unwrap_or_default() });
        }
        (_, Err(err)) => err.to_string(),
        (None, Ok(_)) => "no revision".to_owned(),
    };
    skipped_objects::log_skipped(kind, &name, &reason);
    let metadata = Metadata { name, revision: revision.unwrap_or(0) };
    Some(StoredObject { metadata, spec: Value::Null })
}
