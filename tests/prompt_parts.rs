//! The parts of a prompt in a caller's request head.

use crocustiller::{
    http1::{Headers, RequestHead},
    placement::PartDigest,
    platform::wire_headers::decode_request,
};

fn parts(model: &str, fields: &[&[u8]]) -> Vec<PartDigest> {
    let mut headers = Headers::default();
    headers.push("X-Model", model);
    for field in fields {
        headers.push("X-Prompt-Prefix", *field);
    }
    let head = RequestHead { method: "POST".into(), target: "/draft/1".into(), headers };
    decode_request(&head).prompt_parts
}

fn parts_of(field: &str) -> Vec<PartDigest> {
    parts("lots", &[field.as_bytes()])
}

#[test]
fn last_part_is_left_out() {
    assert_eq!(parts_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250").len(), 2);
    assert!(parts_of("5c1e07a2:800").is_empty());
    assert!(parts_of("").is_empty());
}

#[test]
fn same_part_same_digest() {
    let first = parts_of("5c1e07a2:800,aa:1")[0];
    assert_eq!(parts_of("91bd3f06:410, 5C1E07A2:9 ,bb:1")[1], first);
    assert_ne!(parts_of("5c1e07a3:800,aa:1")[0], first);
    assert_ne!(parts("other", &[b"5c1e07a2:800,aa:1"])[0], first);
}

/// A caller that spreads the parts over several fields does not hide one.
#[test]
fn repeated_fields_are_joined() {
    assert_eq!(parts("lots", &[b"aa:1", b"bb:2,cc:3"]), parts_of("aa:1,bb:2,cc:3"));
}

/// A part whose id or number is longer than usual may crash engines like any other.
#[test]
fn long_id_hides_part() {
    let id = "a".repeat(5000);
    assert_eq!(parts_of(&format!("{id}:5,ee:1")).len(), 1);
    assert_ne!(parts_of(&format!("{id}:5,ee:1")), parts_of(&format!("{id}a:5,ee:1")));
    assert_eq!(parts_of("dd:99999999999,ee:1"), parts_of("dd:1,ee:1"));
}

#[test]
fn malformed_entries_are_skipped() {
    let long_id = "a".repeat(65);
    let field = format!(",aa:1,bb,:3,zz:4,cc:x,dd:-1,{long_id}z:5,ee:,ff:6,99:7,,");
    assert_eq!(parts_of(&field), parts_of("aa:1,ff:6,99:7"));
    assert_eq!(parts("lots", &[b"\xff\xfe:1,aa:1", b"bb:1,cc:1"]), parts_of("bb:1,cc:1"));
}

/// Any part may crash engines; only the length of the head bounds their number.
#[test]
fn ninth_part_is_dropped() {
    let field = (0..5000).map(|it| format!("{it:x}:1")).collect::<Vec<String>>().join(",");
    let expected: Vec<PartDigest> =
        (0..4999).map(|it| parts_of(&format!("{it:x}:1,aa:1"))[0]).collect();
    assert_eq!(parts_of(&field), expected);
}
