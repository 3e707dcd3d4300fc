//! Checks every field of a charter, so that an operator gets all errors in one response.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

use crate::{
    charter::{patch_request::FieldError, Charter},
    digest::Digest,
};

/// Maximum length of the name of a pool, service, customer, host or version.
const MAX_NAME_BYTES: usize = 64;

/// The type of a field; numeric types have a minimum and a maximum value.
#[derive(Clone, Copy, Debug)]
enum FieldType {
    Name,
    NameList,
    Integer(u64, u64),
    Number(f64, f64),
    Boolean,
    Digest,
    Choice(&'static [&'static str]),
}

/// The rule for one field of an object in the charter.
#[derive(Clone, Copy, Debug)]
struct FieldRule {
    name: &'static str,
    field_type: FieldType,
    is_required: bool,
}

const fn required(name: &'static str, field_type: FieldType) -> FieldRule {
    FieldRule { name, field_type, is_required: true }
}

const fn optional(name: &'static str, field_type: FieldType) -> FieldRule {
    FieldRule { name, field_type, is_required: false }
}

const POOL_RULES: &[FieldRule] = &[
    required("version", FieldType::Name),
    required("customers", FieldType::NameList),
    optional("hosts", FieldType::NameList),
    optional("min_serving_percent", FieldType::Integer(0, 50)),
];

const SERVICE_RULES: &[FieldRule] = &[
    required("repeatable", FieldType::Boolean),
    optional("customers", FieldType::NameList),
    optional("claim_shards", FieldType::Integer(1, 256)),
    optional("claim_window_s", FieldType::Integer(60, 7 * 24 * 3600)),
];

const CUSTOMER_RULES: &[FieldRule] = &[
    required("token_digest", FieldType::Digest),
    optional("weight", FieldType::Integer(1, 1000)),
    optional("max_in_progress", FieldType::Integer(1, 1_000_000)),
];

const ROLLOUT_RULES: &[FieldRule] = &[
    optional("mode", FieldType::Choice(&["time-first", "origin-first"])),
    optional("origin_copies", FieldType::Integer(1, 4)),
];

const SERVICE_LEVEL_RULES: &[FieldRule] = &[
    optional("answered_percent", FieldType::Number(0.0, 100.0)),
    optional("first_token_percent", FieldType::Number(0.0, 100.0)),
    optional("first_token_ms", FieldType::Integer(1, 3_600_000)),
    optional("time_to_all_s", FieldType::Integer(1, 7 * 24 * 3600)),
    optional("charter_in_force_s", FieldType::Integer(1, 3600)),
    optional("equal_wait_ratio", FieldType::Number(1.0, 1000.0)),
];

/// Sections with one object for each name.
const NAMED_SECTIONS: [(&str, &[FieldRule]); 3] =
    [("pools", POOL_RULES), ("services", SERVICE_RULES), ("customers", CUSTOMER_RULES)];
/// Sections that consist of one object.
const SINGLE_SECTIONS: [(&str, &[FieldRule]); 2] =
    [("rollout", ROLLOUT_RULES), ("service_levels", SERVICE_LEVEL_RULES)];
/// Further fields, which only the system writes.
const SYSTEM_FIELDS: [&str; 3] = ["number", "recent_patches", "refused_patches"];

/// Checks the merged `charter` and returns its errors.
///
/// A field that this release does not support is an error only if `patch` sets it.
pub fn check(charter: &Value, patch: &Value) -> Vec<FieldError> {
    let mut errors = unknown_sections(patch);
    for (section, rules) in NAMED_SECTIONS {
        check_named_section(section, rules, &charter[section], &patch[section], &mut errors);
    }
    for (section, rules) in SINGLE_SECTIONS {
        check_object(section, rules, &charter[section], &patch[section], &mut errors);
    }
    if !errors.is_empty() {
        return errors;
    }
    match serde_json::from_value::<Charter>(charter.clone()) {
        Ok(charter) => check_references(&charter),
        Err(err) => vec![FieldError::new("(whole charter)", err.to_string())],
    }
}

fn unknown_sections(patch: &Value) -> Vec<FieldError> {
    let Some(fields) = patch.as_object() else { return Vec::new() };
    let named = NAMED_SECTIONS.iter().map(|it| it.0);
    let known: Vec<&str> =
        named.chain(SINGLE_SECTIONS.iter().map(|it| it.0)).chain(SYSTEM_FIELDS).collect();
    unknown_fields("", fields, &known)
}

fn check_named_section(
    section: &str,
    rules: &[FieldRule],
    value: &Value,
    patch: &Value,
    errors: &mut Vec<FieldError>,
) {
    if value.is_null() {
        return;
    }
    let Some(objects) = value.as_object() else {
        errors.push(FieldError::new(section, "must be an object with one entry for each name"));
        return;
    };
    for (name, object) in objects {
        let path = format!("{section}.{name}");
        if !is_name(name) {
            errors.push(FieldError::new(&path, name_format()));
        }
        if object.is_null() {
            errors.push(FieldError::new(&path, "must be an object"));
            continue;
        }
        check_object(&path, rules, object, &patch[name], errors);
    }
}

fn check_object(
    path: &str,
    rules: &[FieldRule],
    value: &Value,
    patch: &Value,
    errors: &mut Vec<FieldError>,
) {
    if value.is_null() {
        return;
    }
    let Some(fields) = value.as_object() else {
        errors.push(FieldError::new(path, "must be an object"));
        return;
    };
    for rule in rules {
        let field = format!("{path}.{}", rule.name);
        match fields.get(rule.name) {
            Some(value) => errors.extend(check_value(&field, rule.field_type, value)),
            None if rule.is_required => errors.push(FieldError::new(field, "is missing; set it")),
            None => {}
        }
    }
    if let Some(patch) = patch.as_object() {
        let known: Vec<&str> = rules.iter().map(|it| it.name).collect();
        errors.extend(unknown_fields(path, patch, &known));
    }
}

fn unknown_fields(path: &str, fields: &Map<String, Value>, known: &[&str]) -> Vec<FieldError> {
    let non_null = fields.iter().filter(|(_, value)| !value.is_null());
    let unknown = non_null.filter(|(name, _)| !known.contains(&name.as_str()));
    let reason = format!("unknown field; the known fields are {}", known.join(", "));
    let dot = if path.is_empty() { "" } else { "." };
    unknown.map(|(name, _)| FieldError::new(format!("{path}{dot}{name}"), &*reason)).collect()
}

fn check_value(field: &str, field_type: FieldType, value: &Value) -> Option<FieldError> {
    let (is_valid, allowed) = match field_type {
        FieldType::Name => (value.as_str().is_some_and(is_name), name_format()),
        FieldType::NameList => {
            (is_name_list(value), format!("a list of distinct names, each {}", name_format()))
        }
        FieldType::Integer(min, max) => {
            let is_valid = value.as_u64().is_some_and(|it| (min..=max).contains(&it));
            (is_valid, format!("an integer from {min} to {max}"))
        }
        FieldType::Number(min, max) => {
            let is_valid = value.as_f64().is_some_and(|it| (min..=max).contains(&it));
            (is_valid, format!("a number from {min} to {max}"))
        }
        FieldType::Boolean => (value.is_boolean(), "true or false".to_owned()),
        FieldType::Digest => {
            (is_digest(value), "a BLAKE3 digest of 64 hexadecimal digits".to_owned())
        }
        FieldType::Choice(choices) => {
            let is_valid = value.as_str().is_some_and(|it| choices.contains(&it));
            (is_valid, format!("one of {}", choices.join(", ")))
        }
    };
    if is_valid {
        return None;
    }
    Some(FieldError::new(field, format!("{} is not allowed; use {allowed}", shortened(value))))
}

fn check_references(charter: &Charter) -> Vec<FieldError> {
    let mut errors = Vec::new();
    let mut pool_of_host: BTreeMap<&str, &str> = BTreeMap::new();
    for (pool, spec) in &charter.pools {
        for customer in spec.customers.iter().filter(|it| !charter.customers.contains_key(*it)) {
            errors.push(unknown_customer(&format!("pools.{pool}.customers"), customer));
        }
        for host in &spec.hosts {
            let Some(other) = pool_of_host.insert(host, pool) else { continue };
            let reason =
                format!("host {host} is already in pool {other}; list it in only one pool");
            errors.push(FieldError::new(format!("pools.{pool}.hosts"), reason));
        }
    }
    for (service, spec) in &charter.services {
        for customer in spec.customers.iter().filter(|it| !charter.customers.contains_key(*it)) {
            errors.push(unknown_customer(&format!("services.{service}.customers"), customer));
        }
    }
    let mut customer_of_token: BTreeMap<Digest, &str> = BTreeMap::new();
    for (customer, spec) in &charter.customers {
        let Some(other) = customer_of_token.insert(spec.token_digest, customer) else { continue };
        let reason = format!("customer {other} has the same token; use a different token for each");
        errors.push(FieldError::new(format!("customers.{customer}.token_digest"), reason));
    }
    errors
}

fn unknown_customer(field: &str, customer: &str) -> FieldError {
    FieldError::new(field, format!("{customer} is not a customer in the charter; add it first"))
}

fn is_name(text: &str) -> bool {
    let is_allowed = |it: char| it.is_ascii_alphanumeric() || "._-".contains(it);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}

fn is_name_list(value: &Value) -> bool {
    let Some(items) = value.as_array() else { return false };
    let mut names: Vec<&str> = items.iter().filter_map(Value::as_str).collect();
    let are_names = names.len() == items.len() && names.iter().all(|it| is_name(it));
    names.sort_unstable();
    names.dedup();
    are_names && names.len() == items.len()
}

fn is_digest(value: &Value) -> bool {
    value.as_str().is_some_and(|it| it.parse::<Digest>().is_ok())
}

fn name_format() -> String {
    format!("a name of 1 to {MAX_NAME_BYTES} letters, digits, dots, underscores or hyphens")
}

fn shortened(value: &Value) -> String {
    const MAX_SHOWN_CHARS: usize = 40;
    let text = value.to_string();
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    format!("{start}…")
}
