//! Cuts a stream of server-sent events into whole events.

/// A whole event with its final blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as they came.
    pub bytes: Vec<u8>,
    /// Its id, if it has one.
    pub id: Option<String>,
}

/// Collects bytes until events are whole.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Takes bytes and gives the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(length) = end_of_event(&self.pending) {
            let rest = self.pending.split_off(length);
            let bytes = std::mem::replace(&mut self.pending, rest);
            let id = id_of(&bytes);
            events.push(Event { bytes, id });
        }
        events
    }

    /// Whether the stream stands between two events.
    pub fn is_between_events(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Length of the first whole event.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (idx, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..idx];
        if line_start > 0 && (line.is_empty() || line == b"\r") {
            return Some(idx + 1);
        }
        line_start = idx + 1;
    }
    None
}

fn id_of(bytes: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(bytes).ok()?;
    let value = text.lines().find_map(|it| it.strip_prefix("id:"))?;
    Some(value.trim().to_owned())
}
