//! Merges a patch into the text of a charter and checks the result.
//!
//! The merge works on JSON values, so that a process of an older release keeps the charter's fields
//! of a newer release.

use serde_json::{json, Value};

use crate::{
    charter::{
        charter::default_claim_shards,
        charter_check,
        patch_request::{FieldError, PatchRequest},
        RECENT_PATCHES,
    },
    ids::DocumentNumber,
};

/// Maximum size of a charter's text, which is the largest value that the platform accepts.
const MAX_CHARTER_BYTES: usize = 1 << 20;
/// Maximum length of the id of a patch.
const MAX_PATCH_ID_BYTES: usize = 128;
/// Fields that only the system writes.
const SYSTEM_FIELDS: [&str; 3] = ["number", "recent_patches", "refused_patches"];

/// The reason why a patch can't be merged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeError {
    /// The number of the charter differs from the base number of the patch.
    Stale,
    /// The patch or the merged charter has these invalid fields.
    Invalid(Vec<FieldError>),
}

/// Returns the text of the charter before the first patch.
pub fn empty_charter() -> Vec<u8> {
    json!({ "number": 0 }).to_string().into_bytes()
}

/// Returns the number of a charter, or 0 if it has none.
pub fn number_of(charter: &Value) -> DocumentNumber {
    charter["number"].as_u64().unwrap_or(0)
}

/// Returns the number of the charter that resulted from the patch `id`, if the patch is recorded.
pub fn accepted_number(charter: &Value, id: &str) -> Option<DocumentNumber> {
    recent_patch(charter, id)?["number"].as_u64()
}

/// Checks that the accepted patch with the id of `request` had the same content.
pub fn check_same_patch(charter: &Value, request: &PatchRequest) -> Result<(), FieldError> {
    let digest = recent_patch(charter, &request.id).and_then(|it| it["digest"].as_str());
    if digest.is_some_and(|it| it != request.digest().to_string()) {
        let reason = format!("{} was accepted for another patch; use a new key", request.id);
        return Err(FieldError::new("Idempotency-Key", reason));
    }
    Ok(())
}

/// Merges `request` into `current` and returns the text of the next charter.
pub fn apply(current: Value, request: &PatchRequest) -> Result<Vec<u8>, MergeError> {
    let number = number_of(&current);
    if is_refused(&current, &request.id) {
        let reason = format!("{} was reported as refused; use a new key", request.id);
        return Err(MergeError::Invalid(vec![FieldError::new("Idempotency-Key", reason)]));
    }
    if number != request.base_number {
        return Err(MergeError::Stale);
    }
    let errors = check_request(request);
    if !errors.is_empty() {
        return Err(MergeError::Invalid(errors));
    }
    let mut next = current.clone();
    json_patch::merge(&mut next, &request.patch);
    let mut errors = charter_check::check(&next, &request.patch);
    errors.extend(check_claim_shards(&current, &next));
    if !errors.is_empty() {
        return Err(MergeError::Invalid(errors));
    }
    next["number"] = json!(number + 1);
    record_accepted(&mut next, request);
    let text = next.to_string().into_bytes();
    if text.len() > MAX_CHARTER_BYTES {
        let reason = format!("{} bytes is too large; use at most {MAX_CHARTER_BYTES}", text.len());
        return Err(MergeError::Invalid(vec![FieldError::new("(whole charter)", reason)]));
    }
    Ok(text)
}

/// Adds `id` to the patches that are permanently refused, without changing the charter's number.
pub fn mark_refused(charter: &mut Value, id: &str) {
    append_bounded(charter, "refused_patches", json!(id));
}

/// Returns `true` if the patch `id` was reported as refused.
pub fn is_refused(charter: &Value, id: &str) -> bool {
    let refused = charter["refused_patches"].as_array();
    refused.is_some_and(|ids| ids.iter().any(|it| it == id))
}

/// Returns an error for each service whose number of claim shards would change.
///
/// The hash of a key selects the shard of its claim. With another number of shards, earlier claims
/// would not be found and a call could run twice.
fn check_claim_shards(current: &Value, next: &Value) -> Vec<FieldError> {
    let Some(services) = current["services"].as_object() else { return Vec::new() };
    let is_changed = |service: &&String| {
        let after = &next["services"][service.as_str()];
        after.is_object() && claim_shards(after) != claim_shards(&services[service.as_str()])
    };
    let error = |service: &String| {
        let reason = "can't change while keys are stored; add a service with another name";
        FieldError::new(format!("services.{service}.claim_shards"), reason)
    };
    services.keys().filter(is_changed).map(error).collect()
}

fn claim_shards(service: &Value) -> u64 {
    service["claim_shards"].as_u64().unwrap_or(u64::from(default_claim_shards()))
}

fn recent_patch<'a>(charter: &'a Value, id: &str) -> Option<&'a Value> {
    charter["recent_patches"].as_array()?.iter().find(|it| it["id"] == id)
}

fn record_accepted(charter: &mut Value, request: &PatchRequest) {
    let number = number_of(charter);
    let patch = json!({ "id": request.id, "number": number, "digest": request.digest() });
    append_bounded(charter, "recent_patches", patch);
}

fn append_bounded(charter: &mut Value, field: &str, item: Value) {
    let mut items = charter[field].as_array().cloned().unwrap_or_default();
    items.push(item);
    let n_over = items.len().saturating_sub(RECENT_PATCHES);
    items.drain(..n_over);
    charter[field] = Value::Array(items);
}

fn check_request(request: &PatchRequest) -> Vec<FieldError> {
    let mut errors = Vec::new();
    let is_printable = request.id.chars().all(|it| it.is_ascii_graphic());
    if request.id.is_empty() || request.id.len() > MAX_PATCH_ID_BYTES || !is_printable {
        let reason = format!("must have 1 to {MAX_PATCH_ID_BYTES} printable ASCII characters");
        errors.push(FieldError::new("Idempotency-Key", reason));
    }
    let Some(fields) = request.patch.as_object() else {
        errors.push(FieldError::new("(whole patch)", "must be a JSON object"));
        return errors;
    };
    for field in SYSTEM_FIELDS {
        if fields.contains_key(field) {
            errors.push(FieldError::new(
                field,
                "only the system writes this field; remove it from the patch",
            ));
        }
    }
    errors
}
