//! Splits a byte stream into server-sent events.

use crate::http1::HttpError;

/// Maximum length of one event. A faulty engine may send bytes without end.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// A complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, unchanged.
    pub bytes: Vec<u8>,
    /// Value of its `id` field, if it has one.
    pub id: Option<String>,
    /// Whether it has only comments or is a mere blank line, so that callers get no event of it.
    pub is_comment: bool,
}

/// Buffers the bytes of a stream until they form complete events.
///
/// A relay that forwards only complete events can resume a broken stream at another engine.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now.
    ///
    /// # Errors
    ///
    /// Returns `HttpError::Malformed` if an event is longer than 64 KiB.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, HttpError> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(length) = first_event_length(&self.pending) {
            let rest = self.pending.split_off(length);
            let bytes = std::mem::replace(&mut self.pending, rest);
            let id = event_id(&bytes);
            let is_comment = is_comment(&bytes);
            events.push(Event { bytes, id, is_comment });
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(HttpError::Malformed("an event is too long"));
        }
        Ok(events)
    }

    /// Returns `true` if no part of an incomplete event is buffered.
    pub fn is_between_events(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Returns the length of the first complete event; a blank line before an event stands alone.
fn first_event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (idx, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..idx];
        if line.is_empty() || line == b"\r" {
            return Some(idx + 1);
        }
        line_start = idx + 1;
    }
    None
}

fn is_comment(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|it| *it == b'\n');
    lines.all(|it| it.is_empty() || it == b"\r" || it.starts_with(b":"))
}

fn event_id(bytes: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(bytes).ok()?;
    let value = text.lines().find_map(|it| it.strip_prefix("id:"))?;
    Some(value.trim().to_owned())
}
