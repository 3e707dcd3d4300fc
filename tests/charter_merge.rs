//! Merging charter patches: stale numbers, repeated ids, reports of all invalid fields, and fields
//! of newer releases.

use std::time::Instant;

use crocustiller::charter::{
    charter_patch::{self, MergeError},
    Charter, FieldError, PatchRequest,
};
use serde_json::{json, Value};

const TOKEN_DIGEST: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

#[test]
fn valid_patches_are_accepted() {
    check_accepted(json!({}));
    check_accepted(json!({ "pools": { "chat": { "version": "v2" } } }));
    check_accepted(json!({ "pools": { "chat": { "hosts": ["b1", "b2"] } } }));
    check_accepted(json!({ "rollout": { "mode": "origin-first", "origin_copies": 4 } }));
    check_accepted(json!({ "service_levels": { "first_token_ms": 360 } }));
    check_accepted(json!({ "pools": { "chat": null } }));
    check_accepted(json!({ "services": { "ledger": { "repeatable": false } } }));
}

#[test]
fn invalid_fields_are_reported() {
    check_refused(json!(7), &["(whole patch)"]);
    check_refused(json!({ "number": 9 }), &["number"]);
    check_refused(json!({ "recent_patches": [] }), &["recent_patches"]);
    check_refused(json!({ "pool": {} }), &["pool"]);
    check_refused(json!({ "pools": [] }), &["pools"]);
    check_refused(json!({ "pools": { "chat": 5 } }), &["pools.chat"]);
    check_refused(json!({ "pools": { "chat": { "versoin": "v2" } } }), &["pools.chat.versoin"]);
    check_refused(json!({ "pools": { "chat": { "version": "" } } }), &["pools.chat.version"]);
    check_refused(json!({ "pools": { "chat": { "version": null } } }), &["pools.chat.version"]);
    check_refused(
        json!({ "pools": { "chat": { "customers": ["nobody"] } } }),
        &["pools.chat.customers"],
    );
    check_refused(
        json!({ "pools": { "a/b": { "version": "v1", "customers": [] } } }),
        &["pools.a/b"],
    );
    check_refused(
        json!({ "pools": { "chat": { "version": 3, "hosts": ["b1", "b1"] },
                           "draft": { "min_serving_percent": 101 } },
                "rollout": { "origin_copies": 5, "mode": "fast" } }),
        &[
            "pools.chat.hosts",
            "pools.chat.version",
            "pools.draft.customers",
            "pools.draft.min_serving_percent",
            "pools.draft.version",
            "rollout.mode",
            "rollout.origin_copies",
        ],
    );
    check_refused(
        json!({ "customers": { "weaver": { "token_digest": "12" }, "tailor": { "weight": 0 } } }),
        &[
            "customers.tailor.token_digest",
            "customers.tailor.weight",
            "customers.weaver.token_digest",
        ],
    );
    check_refused(
        json!({ "customers": { "tailor": { "token_digest": TOKEN_DIGEST } } }),
        &["customers.weaver.token_digest"],
    );
    check_refused(
        json!({ "pools": { "draft": { "version": "v1", "customers": [], "hosts": ["b9"] },
                           "chat": { "hosts": ["b9"] } } }),
        &["pools.draft.hosts"],
    );
    check_refused(
        json!({ "service_levels": { "equal_wait_ratio": 0.5 } }),
        &["service_levels.equal_wait_ratio"],
    );
    check_refused(
        json!({ "service_levels": { "time_to_all_s": -1 } }),
        &["service_levels.time_to_all_s"],
    );
}

#[test]
fn claim_shards_cannot_change() {
    check_accepted(json!({ "services": { "booking": { "claim_shards": 8 } } }));
    check_accepted(json!({ "services": { "other": { "repeatable": false, "claim_shards": 2 } } }));
    check_accepted(json!({ "services": { "booking": { "claim_window_s": 3600 } } }));
    let field = ["services.booking.claim_shards"];
    check_refused(json!({ "services": { "booking": { "claim_shards": 4 } } }), &field);
}

#[test]
fn stale_base_number_is_refused() {
    for base_number in [0, 6, 8, u64::MAX] {
        let request = PatchRequest { base_number, ..patch_request("p1", json!({})) };
        assert_eq!(charter_patch::apply(charter(), &request), Err(MergeError::Stale));
    }
}

#[test]
fn repeated_patch_id_is_recognized() {
    let first = patch_request("p1", json!({ "rollout": { "origin_copies": 1 } }));
    let next = apply(charter(), &first);
    assert_eq!(charter_patch::accepted_number(&next, "p1"), Some(8));
    assert_eq!(charter_patch::check_same_patch(&next, &first), Ok(()));
    let other = patch_request("p1", json!({ "rollout": { "origin_copies": 2 } }));
    assert!(charter_patch::check_same_patch(&next, &other).is_err());
}

#[test]
fn refused_id_stays_refused() {
    let mut charter = charter();
    charter_patch::mark_refused(&mut charter, "p1");
    assert!(charter_patch::is_refused(&charter, "p1"));
    let res = charter_patch::apply(charter.clone(), &patch_request("p1", json!({})));
    assert!(matches!(res, Err(MergeError::Invalid(_))));
    assert!(charter_patch::apply(charter, &patch_request("p2", json!({}))).is_ok());
}

#[test]
fn recent_patches_are_bounded() {
    let mut charter = charter();
    for idx in 0..200 {
        let base_number = charter_patch::number_of(&charter);
        let request = PatchRequest { base_number, ..patch_request(&format!("p{idx}"), json!({})) };
        charter = apply(charter, &request);
    }
    assert_eq!(charter["recent_patches"].as_array().unwrap().len(), 64);
    assert_eq!(charter_patch::accepted_number(&charter, "p199"), Some(207));
    assert_eq!(charter_patch::accepted_number(&charter, "p0"), None);
}

#[test]
fn unknown_fields_are_kept() {
    let mut newer = charter();
    newer["future"] = json!({ "a": 1 });
    newer["pools"]["chat"]["future"] = json!(2);
    let patched =
        apply(newer, &patch_request("p1", json!({ "pools": { "chat": { "version": "v2" } } })));
    assert_eq!(patched["future"], json!({ "a": 1 }));
    assert_eq!(patched["pools"]["chat"]["future"], json!(2));
    let known: Charter = serde_json::from_value(patched).unwrap();
    assert_eq!(known.pools["chat"].version, "v2");
}

fn check_accepted(patch: Value) {
    let next = apply(charter(), &patch_request("p1", patch));
    assert_eq!(charter_patch::number_of(&next), 8);
}

fn check_refused(patch: Value, expected: &[&str]) {
    let Err(MergeError::Invalid(errors)) =
        charter_patch::apply(charter(), &patch_request("p1", patch.clone()))
    else {
        panic!("{patch} was not refused");
    };
    let mut fields: Vec<&str> = errors.iter().map(|it: &FieldError| it.field.as_str()).collect();
    fields.sort_unstable();
    assert_eq!(fields, expected, "{patch}");
}

fn apply(charter: Value, request: &PatchRequest) -> Value {
    let text = charter_patch::apply(charter, request).unwrap();
    serde_json::from_slice(&text).unwrap()
}

fn patch_request(id: &str, patch: Value) -> PatchRequest {
    PatchRequest { id: id.to_owned(), base_number: 7, patch, deadline: Instant::now() }
}

fn charter() -> Value {
    json!({
        "number": 7,
        "customers": { "weaver": { "token_digest": TOKEN_DIGEST } },
        "pools": { "chat": { "version": "v1", "customers": ["weaver"] } },
        "services": { "booking": { "repeatable": false } },
    })
}
