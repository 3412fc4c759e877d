//! Server-sent events of an engine's stream and the position of delivered tokens.

use acaciabank_relay::event_stream::EventBuffer;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, value::RawValue};

/// Name of the SSE field that carries the chunk, with its colon.
const DATA_FIELD: &[u8] = b"data:";
/// Longest accepted event: a token with the probabilities of its alternatives takes a few KiB. A
/// longer one means that the engine does not follow the protocol.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One event of a stream.
#[derive(Debug)]
pub enum StreamEvent {
    /// A chunk of the completion.
    Chunk(StreamChunk),
    /// The `[DONE]` marker at the end of the stream.
    Done,
}

/// A chunk of a completion as received.
#[derive(Debug)]
pub struct StreamChunk {
    /// The encoded event with its trailing blank line, ready for delivery.
    event: Bytes,
    /// Fields that decide whether the chunk is delivered.
    pub summary: ChunkSummary,
}

/// The fields of a chunk that determine its position in the completion.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChunkSummary {
    /// JSON text of the id; empty if there is none.
    pub id: Bytes,
    /// Whether there is a choice; a chunk with only the usage has none.
    pub has_choice: bool,
    /// Whether the choice has text.
    pub has_text: bool,
    /// Whether the choice states its finish reason.
    pub has_finish_reason: bool,
    /// Number of tokens generated so far, if stated.
    pub completion_tokens: Option<u64>,
    /// Whether the chunk reports an error.
    pub is_error: bool,
}

/// The fields of a chunk that are read. Everything else is skipped without building a JSON tree,
/// which would cost more than all other processing of a token in the daemon.
#[derive(Deserialize)]
struct ChunkFields<'a> {
    #[serde(borrow, default)]
    id: Option<&'a RawValue>,
    #[serde(borrow, default)]
    choices: Vec<ChoiceFields<'a>>,
    #[serde(default)]
    usage: Option<UsageFields>,
    #[serde(borrow, default)]
    error: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct ChoiceFields<'a> {
    #[serde(borrow, default)]
    text: Option<&'a RawValue>,
    #[serde(borrow, default)]
    delta: Option<DeltaFields<'a>>,
    #[serde(borrow, default)]
    finish_reason: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct DeltaFields<'a> {
    #[serde(borrow, default)]
    content: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct UsageFields {
    #[serde(default)]
    completion_tokens: Option<u64>,
}

impl ChunkSummary {
    /// Parses the data of an event; a chunk of an unexpected shape is parsed as a JSON tree.
    ///
    /// # Errors
    ///
    /// Returns a message if the data are not JSON.
    pub fn parse(data: &Bytes) -> Result<Self, String> {
        let Ok(fields) = serde_json::from_slice::<ChunkFields<'_>>(data) else {
            let chunk: Value = serde_json::from_slice(data).map_err(|error| error.to_string())?;
            return Ok(Self::from_value(&chunk));
        };
        let choice = fields.choices.first();
        let text = choice.and_then(|choice| {
            let content = choice.delta.as_ref().and_then(|delta| delta.content);
            choice.text.filter(|text| is_json_string(text)).or(content)
        });
        let finish_reason = choice.and_then(|choice| choice.finish_reason);
        Ok(Self {
            id: fields
                .id
                .map(|id| data.slice_ref(id.get().as_bytes()))
                .unwrap_or_default(),
            has_choice: choice.is_some(),
            has_text: text.is_some_and(|text| is_json_string(text) && text.get() != "\"\""),
            has_finish_reason: finish_reason.is_some_and(is_json_string),
            completion_tokens: fields.usage.and_then(|usage| usage.completion_tokens),
            is_error: fields
                .error
                .is_some_and(|error| error.get().starts_with('{')),
        })
    }

    /// Reads the same fields from a JSON tree.
    pub fn from_value(chunk: &Value) -> Self {
        let choice = &chunk["choices"][0];
        let id = match &chunk["id"] {
            Value::Null => Bytes::new(),
            id => Bytes::from(id.to_string()),
        };
        Self {
            id,
            has_choice: !choice.is_null(),
            has_text: !choice_text(choice).is_empty(),
            has_finish_reason: choice["finish_reason"].is_string(),
            completion_tokens: chunk["usage"]["completion_tokens"].as_u64(),
            is_error: chunk["error"].is_object(),
        }
    }
}

fn is_json_string(value: &RawValue) -> bool {
    value.get().starts_with('"')
}

impl StreamChunk {
    /// The event to deliver with the given id: a completion keeps the id of its first chunk over
    /// all attempts.
    pub fn into_event(self, id: &Bytes) -> Result<Bytes, String> {
        if self.summary.id == *id {
            return Ok(self.event);
        }
        let mut chunk = self.to_value()?;
        chunk["id"] = serde_json::from_slice(id).unwrap_or_default();
        Ok(Bytes::from(format!("data: {chunk}\n\n")))
    }

    /// Parses the chunk into a JSON tree.
    pub fn to_value(&self) -> Result<Value, String> {
        let data = event_data(&self.event);
        serde_json::from_slice(&data).map_err(|error| error.to_string())
    }
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: EventBuffer,
}

impl EventParser {
    /// Appends received bytes.
    pub fn push(&mut self, part: &[u8]) {
        self.buffer.push(part);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns a message if the event is longer than 256 KiB or is not JSON.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, String> {
        while let Some(event) = self.buffer.take_event() {
            let length = event.trim_ascii_end().len();
            let single_line = is_single_line(&event, length);
            let data = match single_line {
                true => event.slice_ref(event[DATA_FIELD.len()..length].trim_ascii()),
                false => event_data(&event[..length]),
            };
            if data.is_empty() {
                continue;
            }
            if data == b"[DONE]"[..] {
                return Ok(Some(StreamEvent::Done));
            }
            let summary = ChunkSummary::parse(&data)?;
            let event = match single_line {
                true => event,
                false => Bytes::from([b"data: ", &data[..], b"\n\n"].concat()),
            };
            return Ok(Some(StreamEvent::Chunk(StreamChunk { event, summary })));
        }
        match self.buffer.len() > MAX_EVENT_BYTES {
            true => Err("event too long".to_owned()),
            false => Ok(None),
        }
    }
}

/// Whether an event is a single line of data that can be delivered unchanged.
fn is_single_line(event: &[u8], length: usize) -> bool {
    event.starts_with(DATA_FIELD)
        && event.ends_with(b"\n\n")
        && !event[..length].contains(&b'\n')
        && !event[..length].contains(&b'\r')
}

/// Joins the `data` lines of an event.
fn event_data(event: &[u8]) -> Bytes {
    let lines = event.split(|byte| *byte == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let data = lines.filter_map(|line| line.strip_prefix(DATA_FIELD));
    let data: Vec<&[u8]> = data.map(|data| data.trim_ascii()).collect();
    Bytes::from(data.join(&b'\n'))
}

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkAction {
    /// Deliver it to the caller.
    Deliver,
    /// Drop it because its tokens were delivered before.
    Drop,
    /// End the attempt because the chunk's tokens do not follow the delivered ones.
    Reject,
}

/// Position in the completion across all attempts of a request.
#[derive(Debug, Default)]
pub(super) struct TokenCursor {
    /// Number of delivered tokens.
    pub(super) delivered: u64,
    /// Whether the chunk with the finish reason was delivered.
    pub(super) has_finished: bool,
    /// Number of tokens up to the last chunk of the attempt.
    attempt_position: u64,
    /// Number of delivered tokens when the attempt began.
    start_position: u64,
    is_resumed: bool,
}

impl TokenCursor {
    /// Begins an attempt whose engine was asked to resume after the delivered tokens.
    pub(super) fn begin_attempt(&mut self) {
        self.attempt_position = self.delivered;
        self.start_position = self.delivered;
        self.is_resumed = self.delivered > 0;
    }

    /// Whether exactly one token of the current attempt has been delivered.
    pub(super) fn is_first_of_attempt(&self) -> bool {
        self.delivered == self.start_position + 1
    }

    /// Decides what to do with a chunk and advances past its tokens.
    pub(super) fn advance(&mut self, chunk: &ChunkSummary) -> ChunkAction {
        if !chunk.has_text {
            return self.advance_without_text(!chunk.has_choice, chunk.has_finish_reason);
        }
        let first = self.attempt_position;
        // An engine that ignores `continuous_usage_stats` sends one token in each chunk.
        let count = chunk.completion_tokens.unwrap_or(first + 1);
        if count <= self.delivered {
            self.attempt_position = count;
            return ChunkAction::Drop;
        }
        let first = first.min(count);
        if first != self.delivered {
            return ChunkAction::Reject;
        }
        self.attempt_position = count;
        self.delivered = count;
        self.has_finished |= chunk.has_finish_reason;
        ChunkAction::Deliver
    }

    fn advance_without_text(
        &mut self,
        is_usage_only: bool,
        has_finish_reason: bool,
    ) -> ChunkAction {
        if has_finish_reason && self.has_finished {
            return ChunkAction::Drop;
        }
        self.has_finished |= has_finish_reason;
        match has_finish_reason || is_usage_only || !self.is_resumed {
            true => ChunkAction::Deliver,
            false => ChunkAction::Drop,
        }
    }
}

/// Text of a choice in a chunk of a completion or a chat completion.
pub(super) fn choice_text(choice: &Value) -> &str {
    let text = choice["text"].as_str();
    text.or_else(|| choice["delta"]["content"].as_str())
        .unwrap_or("")
}
