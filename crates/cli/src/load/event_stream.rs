//! Splits token streams into server-sent events.

/// What one server-sent event means to the load tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventKind {
    /// A chunk with a token.
    Token,
    /// An event without a token, such as the usage at the end.
    Other,
    /// The end of a complete response.
    Done,
    /// The system ended the stream with a refusal.
    Refused,
}

/// Splits a byte stream into events. Events are classified by searching their text: parsing each
/// as JSON would make the load tool the bottleneck of a run.
#[derive(Default)]
pub(super) struct EventSplitter {
    pending: Vec<u8>,
    /// `data:` field of the last refusal.
    pub(super) refusal: Option<String>,
}

impl EventSplitter {
    /// Appends `bytes` and passes the kind of each complete event to `observe`.
    pub(super) fn push(&mut self, bytes: &[u8], mut observe: impl FnMut(EventKind)) {
        self.pending.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(event_length) = find(&self.pending[start..], b"\n\n") {
            let event = &self.pending[start..start + event_length];
            let kind = classify(event);
            if kind == EventKind::Refused {
                let text = String::from_utf8_lossy(event);
                let data = text.lines().find_map(|line| line.strip_prefix("data:"));
                self.refusal = data.map(|data| data.trim().to_owned());
            }
            observe(kind);
            start += event_length + 2;
        }
        self.pending.drain(..start);
    }
}

fn classify(event: &[u8]) -> EventKind {
    if event.starts_with(b"event: error") {
        return EventKind::Refused;
    }
    if find(event, b"[DONE]").is_some() {
        return EventKind::Done;
    }
    match find(event, b"\"choices\":[{").is_some() {
        true => EventKind::Token,
        false => EventKind::Other,
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
