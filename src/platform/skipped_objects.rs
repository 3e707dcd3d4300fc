//! Logs the store's objects that can't be decoded, each once.
//!
//! Such an object stays in every list until its writer corrects it.

use std::{cell::RefCell, collections::BTreeSet};

use crate::platform::store::StoredObject;

/// Maximum number of remembered objects; all are forgotten when it is reached.
const MAX_REMEMBERED: usize = 1024;
/// Maximum length of a name in the log, in characters.
const MAX_LOGGED_NAME: usize = 80;

thread_local! {
    /// Kind and name of the objects that were logged and not decoded since.
    static LOGGED: RefCell<BTreeSet<(String, String)>> = RefCell::default();
}

/// Decodes an object of a kind; skips it if it is invalid, and logs it unless it was already.
pub(crate) fn decode_or_skip<T>(
    kind: &str,
    object: &StoredObject,
    decode: impl FnOnce(&StoredObject) -> Result<T, serde_json::Error>,
) -> Option<T> {
    let name = &object.metadata.name;
    match decode(object) {
        Ok(decoded) => {
            LOGGED.with_borrow_mut(|it| it.remove(&(kind.to_owned(), name.clone())));
            Some(decoded)
        }
        Err(err) => {
            log_skipped(kind, name, &err.to_string());
            None
        }
    }
}

/// Logs an object that is skipped, unless it was already; `name` is empty if it can't be decoded.
pub(crate) fn log_skipped(kind: &str, name: &str, reason: &str) {
    let is_new = LOGGED.with_borrow_mut(|it| {
        if it.len() >= MAX_REMEMBERED {
            it.clear();
        }
        it.insert((kind.to_owned(), name.to_owned()))
    });
    if is_new {
        let name: String = name.chars().take(MAX_LOGGED_NAME).collect();
        log::warn!(
            "platform: skipped an invalid object, correct it in the store kind={kind} name={} \
             error=\"{reason}\"",
            name.escape_debug()
        );
    }
}
