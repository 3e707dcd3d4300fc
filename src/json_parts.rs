//! Splits JSON texts of many parts, so that each part can be decoded by itself.
//!
//! A decoder of the whole text fails at one value that it can't represent: a number out of range,
//! deep nesting, or bytes that are no UTF-8. The splitter looks only for the ends of the parts: it
//! doesn't recurse, and what a part contains doesn't matter if its brackets and quotation marks are
//! balanced.

use serde::de::DeserializeOwned;

/// Returns the texts of the items of an array; `None` if the text is another value or is cut.
pub fn items(text: &[u8]) -> Option<Vec<&[u8]>> {
    let mut rest = text.trim_ascii().strip_prefix(b"[")?.strip_suffix(b"]")?.trim_ascii();
    let mut items = Vec::new();
    while !rest.is_empty() {
        let (item, after) = rest.split_at(end_of_value(rest)?);
        items.push(item.trim_ascii());
        rest = match after.split_first() {
            Some((b',', after)) => after.trim_ascii_start(),
            Some(_) => return None,
            None => after,
        };
    }
    Some(items)
}

/// Returns the names and the texts of the members of an object, without the members whose names
/// can't be decoded; `None` if the text is another value or is cut.
pub fn members(text: &[u8]) -> Option<Vec<(String, &[u8])>> {
    let mut rest = text.trim_ascii().strip_prefix(b"{")?.strip_suffix(b"}")?.trim_ascii();
    let mut members = Vec::new();
    while !rest.is_empty() {
        let (name, after) = rest.split_at(end_of_string(rest)?);
        let after = after.trim_ascii_start().strip_prefix(b":")?.trim_ascii_start();
        let (value, after) = after.split_at(end_of_value(after)?);
        if let Ok(name) = serde_json::from_slice(name) {
            members.push((name, value.trim_ascii()));
        }
        rest = match after.split_first() {
            Some((b',', after)) => after.trim_ascii_start(),
            Some(_) => return None,
            None => after,
        };
    }
    Some(members)
}

/// Returns the text of a member, the last one if there are several; `None` if there is none.
pub fn member<'a>(members: &[(String, &'a [u8])], name: &str) -> Option<&'a [u8]> {
    members.iter().rev().find(|it| it.0 == name).map(|it| it.1)
}

/// Decodes a member; `None` if it is absent or can't be decoded.
pub fn decode_member<T: DeserializeOwned>(members: &[(String, &[u8])], name: &str) -> Option<T> {
    member(members, name).and_then(|it| serde_json::from_slice(it).ok())
}

/// Decodes items; skips and logs those that can't be decoded.
pub fn decode_items<T: DeserializeOwned>(items: &[&[u8]]) -> Vec<T> {
    let decode = |it: &&[u8]| {
        let res = serde_json::from_slice(it);
        res.inspect_err(|err| log::warn!("json: skipped an invalid item error=\"{err}\"")).ok()
    };
    items.iter().filter_map(decode).collect()
}

/// Returns the text of an object with only the members of these names.
pub fn select(members: &[(String, &[u8])], names: &[&str]) -> Vec<u8> {
    let mut text = vec![b'{'];
    for name in names {
        if let Some(value) = member(members, name) {
            let separator = if text.len() > 1 { "," } else { "" };
            text.extend(format!("{separator}\"{name}\":").into_bytes());
            text.extend(value);
        }
    }
    text.push(b'}');
    text
}

/// Returns the position of the comma or closing bracket after the value at the start of the text, or
/// its length; `None` if the value is cut.
fn end_of_value(text: &[u8]) -> Option<usize> {
    let mut depth = 0_usize;
    let mut at = 0;
    while at < text.len() {
        match text[at] {
            b'"' => {
                at += end_of_string(&text[at..])?;
                continue;
            }
            b'[' | b'{' => depth += 1,
            b',' | b']' | b'}' if depth == 0 => return Some(at),
            b']' | b'}' => depth -= 1,
            _ => {}
        }
        at += 1;
    }
    (depth == 0).then_some(at)
}

/// Returns the position after the string at the start of the text; `None` if there is no string or it
/// is cut.
fn end_of_string(text: &[u8]) -> Option<usize> {
    let mut at = 1;
    text.strip_prefix(b"\"")?;
    loop {
        at += match text.get(at)? {
            b'"' => return Some(at + 1),
            b'\\' => 2,
            _ => 1,
        };
    }
}
