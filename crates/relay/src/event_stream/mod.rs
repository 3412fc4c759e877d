//! Splits a server-sent event stream into complete events.
//!
//! Every byte is looked at a bounded number of times however the stream is split into parts, so
//! that a faulty sender of tiny parts does not take the time of other requests. The caller bounds
//! the size of an event with [`EventBuffer::len`].

use bytes::{Bytes, BytesMut};

/// Received bytes of a stream that have not been taken yet.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    /// End of the last empty line that was found.
    complete_end: usize,
    /// Number of bytes in which empty lines have been looked for.
    scanned: usize,
    /// Whether the bytes up to `complete_end` contain more than comments and empty lines.
    has_event: bool,
}

impl EventBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, part: &[u8]) {
        self.bytes.extend_from_slice(part);
    }

    /// Number of bytes that have not been taken.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether all bytes have been taken.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether the remaining bytes end with an empty line, so that no event is incomplete.
    pub fn is_complete(&mut self) -> bool {
        self.scan();
        self.complete_end == self.bytes.len()
    }

    /// Takes the first complete event with the empty line at its end.
    pub fn take_event(&mut self) -> Option<Bytes> {
        match self.next_end() {
            Some(end) => Some(self.split_to(end)),
            None => {
                self.scanned = self.bytes.len();
                None
            }
        }
    }

    /// Takes all complete events, unless there are only comments and empty lines: these are taken
    /// with the next event.
    pub fn take_events(&mut self) -> Option<Bytes> {
        self.scan();
        self.has_event.then(|| self.split_to(self.complete_end))
    }

    /// Takes all remaining bytes.
    pub fn take_rest(&mut self) -> Bytes {
        self.split_to(self.bytes.len())
    }

    /// Looks for empty lines in the bytes that arrived since the last call.
    fn scan(&mut self) {
        while let Some(end) = self.next_end() {
            self.has_event |= has_event(&self.bytes[self.complete_end..end]);
            self.complete_end = end;
            self.scanned = end;
        }
        self.scanned = self.bytes.len();
    }

    /// Returns the end of the next empty line.
    fn next_end(&self) -> Option<usize> {
        let newlines = self.bytes[self.scanned..].iter().enumerate();
        let newlines = newlines.filter(|(_, byte)| **byte == b'\n');
        let mut positions = newlines.map(|(offset, _)| self.scanned + offset);
        let newline = positions.find(|position| {
            let before = &self.bytes[..*position];
            before
                .strip_suffix(b"\r")
                .unwrap_or(before)
                .ends_with(b"\n")
        })?;
        Some(newline + 1)
    }

    fn split_to(&mut self, end: usize) -> Bytes {
        self.complete_end = 0;
        self.scanned = 0;
        self.has_event = false;
        self.bytes.split_to(end).freeze()
    }
}

/// Whether complete lines contain a field of an event, other than comments and empty lines.
fn has_event(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}
