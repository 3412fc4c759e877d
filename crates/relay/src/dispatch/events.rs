//! Reading of event streams in whole events.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Largest event; one that is longer is no event of an engine.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why no further event can be read.
#[derive(Debug)]
pub enum ReadError {
    /// The stream broke off, or ended within an event.
    Broken(String),
    /// No event in time.
    Timeout,
}

/// Reads whole events, so that a stream that breaks off can go on after the last one.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventReader {
    /// A reader of a stream that follows the given event.
    pub fn new(body: Incoming, last_id: Option<u64>) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Id of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// The whole events that have arrived, waiting for one until `until`; `None` at the end. Nothing
    /// is lost when the future is dropped.
    pub async fn next(&mut self, until: Instant) -> Result<Option<Bytes>, ReadError> {
        loop {
            if let Some(end) = complete_events_end(&self.buffer) {
                let events = self.buffer.split_to(end).freeze();
                self.last_id = last_id(&events).or(self.last_id);
                return Ok(Some(events));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(ReadError::Broken("an event is too long".to_owned()));
            }
            let frame = tokio::time::timeout_at(until.into(), self.body.frame()).await;
            match frame {
                Err(_) => return Err(ReadError::Timeout),
                Ok(Some(Err(error))) => return Err(ReadError::Broken(error.to_string())),
                Ok(Some(Ok(frame))) => {
                    if let Ok(part) = frame.into_data() {
                        self.buffer.extend_from_slice(&part);
                    }
                }
                Ok(None) if self.buffer.is_empty() => return Ok(None),
                Ok(None) => {
                    let message = "the stream ended within an event";
                    return Err(ReadError::Broken(message.to_owned()));
                }
            }
        }
    }
}

/// End of the last whole event: after the last empty line.
pub fn complete_events_end(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while let Some(newline) = bytes[..end].iter().rposition(|byte| *byte == b'\n') {
        let before = &bytes[..newline];
        let before = before.strip_suffix(b"\r").unwrap_or(before);
        if before.ends_with(b"\n") {
            return Some(newline + 1);
        }
        end = newline;
    }
    None
}

/// Id of the last event that has one.
pub fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
