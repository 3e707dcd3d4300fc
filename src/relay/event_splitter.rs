//! Splits a byte stream into server-sent events.
//!
//! Load pattern: a faulty engine sends events, comments or blank lines of a few bytes without end. Each
//! byte is looked at a fixed number of times, and no event is copied on its own.

use std::{borrow::Cow, ops::Range};

use crate::http1::HttpError;

/// Maximum length of one event. A faulty engine may send bytes without end.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Maximum length of the comments and blank lines between two events. They keep a connection open,
/// and a few bytes are enough for that.
const MAX_COMMENT_BYTES: usize = 64 << 10;

/// An event with an id, or events without one that follow each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// The bytes, unchanged, including the blank line at the end.
    pub bytes: &'a [u8],
    /// Value of the `id` field.
    pub id: Option<Cow<'a, str>>,
}

/// Complete events that follow each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    bytes: Vec<u8>,
    with_id: Vec<EventWithId>,
    n_events: usize,
}

/// The place of an event with an id.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EventWithId {
    bytes: Range<usize>,
    id: Range<usize>,
}

/// Buffers the bytes of a stream until they form complete events.
///
/// A relay that forwards only complete events can resume a broken stream at another engine.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    /// The bytes of the incomplete event.
    pending: Vec<u8>,
    /// Start of its last line, which is incomplete.
    line_start: usize,
    /// Value of its `id` field.
    id: Option<Range<usize>>,
    /// Whether it has more than comments.
    has_fields: bool,
    /// Length of the comments and blank lines since the last line of an event.
    n_comment_bytes: usize,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now.
    ///
    /// # Errors
    ///
    /// Returns `HttpError::Malformed` if an event is longer than 64 KiB, or if more than that are
    /// comments and blank lines without an event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Events, HttpError> {
        let mut events = Events::default();
        let mut pos = self.pending.len();
        let mut event_start = 0;
        self.pending.extend_from_slice(bytes);
        while let Some(length) = self.pending[pos..].iter().position(|it| *it == b'\n') {
            pos += length + 1;
            if self.end_line(pos) {
                let id = self.id.take();
                let bytes = event_start..pos;
                events.with_id.extend(id.map(|id| EventWithId { bytes, id }));
                events.n_events += usize::from(std::mem::take(&mut self.has_fields));
                event_start = pos;
            }
        }
        if self.n_comment_bytes > MAX_COMMENT_BYTES {
            return Err(HttpError::Malformed("too many comments or blank lines without an event"));
        }
        if self.pending.len() - event_start > MAX_EVENT_BYTES {
            return Err(HttpError::Malformed("an event is too long"));
        }
        self.line_start -= event_start;
        self.id = self.id.take().map(|it| it.start - event_start..it.end - event_start);
        let rest = self.pending.split_off(event_start);
        events.bytes = std::mem::replace(&mut self.pending, rest);
        Ok(events)
    }

    /// Returns `true` if no part of an incomplete event is buffered.
    pub fn is_between_events(&self) -> bool {
        self.pending.is_empty()
    }

    /// Records the line that ends at `end`; returns `true` if it ends an event. A blank line before
    /// an event stands alone.
    fn end_line(&mut self, end: usize) -> bool {
        let start = std::mem::replace(&mut self.line_start, end);
        let line = &self.pending[start..end];
        let is_blank = matches!(line, b"\n" | b"\r\n");
        if is_blank || line.starts_with(b":") {
            self.n_comment_bytes += line.len();
            return is_blank;
        }
        self.n_comment_bytes = 0;
        self.has_fields = true;
        if self.id.is_none() && line.starts_with(b"id:") {
            self.id = Some(start + b"id:".len()..end);
        }
        false
    }
}

impl Events {
    /// Returns `true` if there are none, not even comments.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of events; comments and blank lines are none to callers.
    pub fn n_events(&self) -> usize {
        self.n_events
    }

    /// Returns the events in order; those without an id together.
    pub fn iter(&self) -> impl Iterator<Item = Event<'_>> {
        let mut end = 0;
        let with_id = self.with_id.iter().flat_map(move |it| {
            let others = Event { bytes: &self.bytes[end..it.bytes.start], id: None };
            end = it.bytes.end;
            [others, self.event_with_id(it)]
        });
        let last_end = self.with_id.last().map_or(0, |it| it.bytes.end);
        let last = Event { bytes: &self.bytes[last_end..], id: None };
        with_id.chain([last]).filter(|it| !it.bytes.is_empty())
    }

    fn event_with_id(&self, place: &EventWithId) -> Event<'_> {
        let id = self.bytes[place.id.clone()].trim_ascii();
        Event { bytes: &self.bytes[place.bytes.clone()], id: Some(String::from_utf8_lossy(id)) }
    }
}
