//! Server-sent events of an engine's stream, and the delivery of tokens by index.

use bytes::{Buf, BytesMut};
use serde_json::Value;

/// Longest accepted event. A longer one means that the peer does not speak the protocol.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// One event of a stream.
#[derive(Debug)]
pub(super) enum StreamEvent {
    /// A chunk.
    Chunk(Value),
    /// `[DONE]`.
    Done,
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub(super) struct EventParser {
    buffer: BytesMut,
}

impl EventParser {
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, or `None` when more bytes are needed.
    pub(super) fn next(&mut self) -> Result<Option<StreamEvent>, String> {
        while let Some((length, separator)) = find_end(&self.buffer) {
            let event = self.buffer.split_to(length);
            self.buffer.advance(separator);
            let data = data_of(&event);
            if data.is_empty() {
                continue;
            }
            if data == b"[DONE]" {
                return Ok(Some(StreamEvent::Done));
            }
            let chunk = serde_json::from_slice(&data).map_err(|error| error.to_string())?;
            return Ok(Some(StreamEvent::Chunk(chunk)));
        }
        match self.buffer.len() > MAX_EVENT_BYTES {
            true => Err("event too long".to_owned()),
            false => Ok(None),
        }
    }
}

/// Length of the first event and of the blank line after it.
fn find_end(buffer: &[u8]) -> Option<(usize, usize)> {
    let ends = buffer
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == b'\n');
    for (position, _) in ends {
        let rest = &buffer[position + 1..];
        if rest.starts_with(b"\n") {
            return Some((position, 2));
        }
        if rest.starts_with(b"\r\n") {
            return Some((position, 3));
        }
    }
    None
}

fn data_of(event: &[u8]) -> Vec<u8> {
    let lines = event.split(|byte| *byte == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let data = lines.filter_map(|line| line.strip_prefix(b"data:"));
    let data: Vec<&[u8]> = data.map(|data| data.trim_ascii()).collect();
    data.join(&b'\n')
}

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkAction {
    /// Deliver it.
    Deliver,
    /// Drop it: its tokens were delivered before.
    Drop,
    /// End the attempt: its tokens do not follow the delivered ones.
    Reject,
}

/// Position in the answer over all attempts of a request.
#[derive(Debug, Default)]
pub(super) struct TokenCursor {
    /// Tokens delivered.
    pub(super) delivered: u64,
    /// Whether the chunk with the finish reason was delivered.
    pub(super) finished: bool,
    attempt_tokens: u64,
    resumed: bool,
}

impl TokenCursor {
    /// Begins an attempt that was asked to resume after the delivered tokens.
    pub(super) fn begin_attempt(&mut self) {
        self.attempt_tokens = self.delivered;
        self.resumed = self.delivered > 0;
    }

    /// Decides about a chunk and advances over its tokens.
    pub(super) fn advance(&mut self, chunk: &Value) -> ChunkAction {
        let choice = &chunk["choices"][0];
        let finishes = choice["finish_reason"].is_string();
        if text_of(choice).is_empty() {
            return self.advance_without_text(choice.is_null(), finishes);
        }
        let first = self.attempt_tokens;
        // An engine that ignores `continuous_usage_stats` sends one token in each chunk.
        let count = chunk["usage"]["completion_tokens"].as_u64();
        let count = count.unwrap_or(first + 1);
        if count <= self.delivered {
            self.attempt_tokens = count;
            return ChunkAction::Drop;
        }
        let first = first.min(count);
        if first != self.delivered {
            return ChunkAction::Reject;
        }
        self.attempt_tokens = count;
        self.delivered = count;
        self.finished |= finishes;
        ChunkAction::Deliver
    }

    fn advance_without_text(&mut self, is_usage_only: bool, finishes: bool) -> ChunkAction {
        if finishes && self.finished {
            return ChunkAction::Drop;
        }
        self.finished |= finishes;
        match finishes || is_usage_only || !self.resumed {
            true => ChunkAction::Deliver,
            false => ChunkAction::Drop,
        }
    }
}

/// Text of a choice in a chunk of a completion or of a chat.
pub(super) fn text_of(choice: &Value) -> &str {
    let text = choice["text"].as_str();
    text.or_else(|| choice["delta"]["content"].as_str())
        .unwrap_or("")
}
