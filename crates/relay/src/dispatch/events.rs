//! Reads server-sent event streams by complete events.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::event_stream::EventBuffer;

/// Maximum size of an event with the comments before it. An event holds a few tokens, and hundreds
/// of streams of faulty engines must fit into the memory of a small host.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Why the next event could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection broke, or the stream ended within an event or is malformed.
    Broken(String),
    /// No event arrived in time.
    Timeout,
}

/// Reads complete events, so that an interrupted stream can be resumed after the last one.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    buffer: EventBuffer,
    last_id: Option<u64>,
}

impl EventReader {
    /// Creates a reader of a stream that starts after the event `last_id`.
    pub fn new(body: Incoming, last_id: Option<u64>) -> Self {
        Self {
            body,
            buffer: EventBuffer::default(),
            last_id,
        }
    }

    /// Returns the id of the last event that was read.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the complete events that have arrived, waiting for one until `deadline`, or `None`
    /// at the end of the stream. Comments and empty lines are no events: they are returned with the
    /// next event, so that an engine that sends nothing else reaches the deadline. Cancel safe: no
    /// data is lost if the future is dropped.
    pub async fn next(&mut self, deadline: Instant) -> Result<Option<Bytes>, ReadError> {
        loop {
            if let Some(events) = self.buffer.take_events() {
                self.last_id = last_id(&events).or(self.last_id);
                return Ok(Some(events));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(ReadError::Broken(
                    "an event is larger than 64 KiB".to_owned(),
                ));
            }
            // Bytes that are always ready would never reach the timeout below.
            if Instant::now() >= deadline {
                return Err(ReadError::Timeout);
            }
            let frame = tokio::time::timeout_at(deadline.into(), self.body.frame()).await;
            match frame {
                Err(_) => return Err(ReadError::Timeout),
                Ok(Some(Err(error))) => return Err(ReadError::Broken(error.to_string())),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.push(&data);
                    }
                }
                Ok(None) if self.buffer.is_empty() => return Ok(None),
                Ok(None) if self.buffer.is_complete() => {
                    return Ok(Some(self.buffer.take_rest()));
                }
                Ok(None) => {
                    let message = "the stream ended within an event";
                    return Err(ReadError::Broken(message.to_owned()));
                }
            }
        }
    }
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
