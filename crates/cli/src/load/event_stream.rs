//! Reads streams of tokens.

/// What one server-sent event means to the load tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventKind {
    /// A token.
    Token,
    /// Bookkeeping, such as the usage at the end.
    Other,
    /// The end of a whole answer.
    Done,
    /// The system ended the stream with a refusal.
    Refused,
}

/// Splits a byte stream into events. Events are classified by their text alone: reading each as
/// JSON would make the load tool the slowest part of a run.
#[derive(Default)]
pub(super) struct EventReader {
    pending: Vec<u8>,
    /// Last `data:` of a refusal.
    pub(super) refusal: Option<String>,
}

impl EventReader {
    /// Takes the next bytes and passes each whole event to `observe`.
    pub(super) fn read(&mut self, bytes: &[u8], mut observe: impl FnMut(EventKind)) {
        self.pending.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(length) = find(&self.pending[start..], b"\n\n") {
            let event = &self.pending[start..start + length];
            let kind = classify(event);
            if kind == EventKind::Refused {
                let text = String::from_utf8_lossy(event);
                let data = text.lines().find_map(|line| line.strip_prefix("data:"));
                self.refusal = data.map(|data| data.trim().to_owned());
            }
            observe(kind);
            start += length + 2;
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

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
