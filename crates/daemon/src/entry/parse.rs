//! Parsing of request heads and bodies, as pure functions.

use std::time;

use acaciabank_protocol::{
    reason::{Refusal, RefusalReason},
    wire::{IDEMPOTENCY_HEADER, PRIORITY_HEADER, Priority, TIMEOUT_HEADER},
};
use hyper::{HeaderMap, Uri};
use serde_json::{Map, Value};

/// Path of text completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Default of `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u32 = 256;
/// Upper bound of timeouts, so that adding one to the current time cannot overflow.
pub const MAX_TIMEOUT_MS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum length of an idempotency key, well below the limit of the table's sort keys.
pub const MAX_KEY_BYTES: usize = 255;

/// A parsed completion request: its body and the fields that the daemon itself uses.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionFields {
    /// Model as the caller named it, possibly with an adapter.
    pub model: String,
    /// Prompt text; for a chat, the joined messages.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the caller asked for a streamed response.
    pub stream: bool,
    /// The complete body as JSON.
    pub body: Map<String, Value>,
}

/// Creates a refusal of a malformed request.
pub fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalReason::BadRequest, message)
}

/// Checks the size of a request head: request target, header names and values.
///
/// # Errors
///
/// `headers_too_large` when it exceeds `max_bytes`.
pub fn check_head_size(uri: &Uri, headers: &HeaderMap, max_bytes: usize) -> Result<(), Refusal> {
    // Each header line has a colon, a space and a line end besides its name and value.
    const LINE_OVERHEAD: usize = 4;
    let target = uri
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let lines: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD)
        .sum();
    let size = target + lines;
    if size <= max_bytes {
        return Ok(());
    }
    let message = format!("head of {size} bytes is over the limit of {max_bytes}");
    Err(Refusal::not_run(RefusalReason::HeadersTooLarge, message))
}

/// Returns an upper estimate of the memory that a body takes when it is parsed: the copies of its
/// text, and the values, of which a short body may have millions.
pub fn parsed_bytes(body: &[u8]) -> usize {
    /// Copies of the text: the parsed form, the prompt and the body for the engine.
    const TEXT_COPIES: usize = 3;
    /// A value in an array, while the array grows.
    const VALUE_BYTES: usize = 3 * std::mem::size_of::<Value>();
    /// The first node of an object, which has room for eleven members.
    const OBJECT_BYTES: usize = 11 * (std::mem::size_of::<(String, Value)>()) + 32;
    let mut bytes = TEXT_COPIES * body.len();
    let (mut is_text, mut is_escaped) = (false, false);
    for byte in body {
        match (is_text, byte) {
            (true, _) if is_escaped => is_escaped = false,
            (true, b'\\') => is_escaped = true,
            (_, b'"') => is_text = !is_text,
            (false, b'[' | b',' | b':') => bytes += VALUE_BYTES,
            (false, b'{') => bytes += OBJECT_BYTES,
            _ => {}
        }
    }
    bytes
}

/// Parses the body of a completion.
///
/// # Errors
///
/// `bad_request` that names the position or the field at fault.
pub fn parse_completion(path: &str, body: &[u8]) -> Result<CompletionFields, Refusal> {
    let body: Map<String, Value> = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("body is not a JSON object: {error}")))?;
    let model = match body.get("model") {
        Some(Value::String(model)) => model.clone(),
        _ => return Err(bad_request("model: a string is required")),
    };
    let prompt = match path {
        CHAT_PATH => join_messages(body.get("messages"))?,
        _ => parse_prompt(body.get("prompt"))?,
    };
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(bad_request("stream: true or false is required")),
    };
    let max_tokens = parse_max_tokens(&body)?;
    Ok(CompletionFields {
        model,
        prompt,
        max_tokens,
        stream,
        body,
    })
}

fn parse_prompt(prompt: Option<&Value>) -> Result<String, Refusal> {
    match prompt {
        Some(Value::String(prompt)) => Ok(prompt.clone()),
        Some(Value::Array(prompts)) => match prompts.as_slice() {
            [Value::String(prompt)] => Ok(prompt.clone()),
            _ => Err(bad_request("prompt: an array must hold exactly one string")),
        },
        _ => Err(bad_request("prompt: a string is required")),
    }
}

fn parse_max_tokens(body: &Map<String, Value>) -> Result<u32, Refusal> {
    let limit_field = ["max_completion_tokens", "max_tokens"]
        .into_iter()
        .find_map(|name| Some((name, body.get(name).filter(|value| !value.is_null())?)));
    let Some((name, value)) = limit_field else {
        return Ok(DEFAULT_MAX_TOKENS);
    };
    let tokens = value.as_u64().and_then(|tokens| u32::try_from(tokens).ok());
    match tokens {
        Some(tokens) if tokens > 0 => Ok(tokens),
        _ => Err(bad_request(format!(
            "{name}: {value}: an integer from 1 to {} is required",
            u32::MAX
        ))),
    }
}

/// Joins chat messages into one text with a line `role: content` for each, so that chats whose
/// first messages are equal share a prefix.
fn join_messages(messages: Option<&Value>) -> Result<String, Refusal> {
    let Some(Value::Array(messages)) = messages else {
        return Err(bad_request("messages: an array is required"));
    };
    if messages.is_empty() {
        return Err(bad_request("messages: at least one message is required"));
    }
    let mut prompt = String::new();
    for (position, message) in messages.iter().enumerate() {
        let Some(role) = message.get("role").and_then(Value::as_str) else {
            let text = format!("messages[{position}].role: a string is required");
            return Err(bad_request(text));
        };
        prompt.push_str(role);
        prompt.push_str(": ");
        append_content(&mut prompt, position, message.get("content"))?;
        prompt.push('\n');
    }
    Ok(prompt)
}

fn append_content(
    prompt: &mut String,
    position: usize,
    content: Option<&Value>,
) -> Result<(), Refusal> {
    match content {
        Some(Value::String(text)) => prompt.push_str(text),
        Some(Value::Array(parts)) => {
            for (index, part) in parts.iter().enumerate() {
                let kind = part.get("type").and_then(Value::as_str);
                let text = part.get("text").and_then(Value::as_str);
                match (kind, text) {
                    (Some("text"), Some(text)) => prompt.push_str(text),
                    _ => {
                        return Err(bad_request(format!(
                            "messages[{position}].content[{index}]: a text part is required"
                        )));
                    }
                }
            }
        }
        // A message that only calls tools has no content.
        None | Some(Value::Null) => {}
        Some(_) => {
            return Err(bad_request(format!(
                "messages[{position}].content: a string or an array of text parts is required"
            )));
        }
    }
    Ok(())
}

/// Parses the header `x-priority`.
///
/// # Errors
///
/// `bad_request` when the value is not a priority.
pub fn parse_priority(headers: &HeaderMap) -> Result<Option<Priority>, Refusal> {
    match header_text(headers, PRIORITY_HEADER)? {
        None => Ok(None),
        Some("urgent") => Ok(Some(Priority::Urgent)),
        Some("normal") => Ok(Some(Priority::Normal)),
        Some("batch") => Ok(Some(Priority::Batch)),
        Some(other) => Err(bad_request(format!(
            "{PRIORITY_HEADER}: {other:?}: urgent, normal or batch is required"
        ))),
    }
}

/// Parses the header `x-timeout-ms` into a deadline. Timeouts are capped at [`MAX_TIMEOUT_MS`].
///
/// # Errors
///
/// `bad_request` when the value is not a positive integer.
pub fn parse_deadline(
    headers: &HeaderMap,
    arrival: time::Instant,
    default_ms: u64,
) -> Result<time::Instant, Refusal> {
    let timeout_ms = match header_text(headers, TIMEOUT_HEADER)? {
        None => default_ms,
        Some(text) => match text.parse::<u64>() {
            Ok(timeout_ms) if timeout_ms > 0 => timeout_ms,
            _ => {
                return Err(bad_request(format!(
                    "{TIMEOUT_HEADER}: {text:?}: a positive number of milliseconds is required"
                )));
            }
        },
    };
    Ok(arrival + time::Duration::from_millis(timeout_ms.min(MAX_TIMEOUT_MS)))
}

/// Parses the header `idempotency-key`: 1 to 255 visible ASCII characters.
///
/// # Errors
///
/// `bad_request` when the key is invalid or the header appears more than once.
pub fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let mut values = headers.get_all(IDEMPOTENCY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let is_single = values.next().is_none();
    let key = value.as_bytes();
    if !is_single || !is_valid_key(key) {
        return Err(bad_request(format!(
            "{IDEMPOTENCY_HEADER}: one value of 1 to {MAX_KEY_BYTES} visible ASCII characters is \
             required"
        )));
    }
    Ok(Some(String::from_utf8_lossy(key).into_owned()))
}

/// Whether the bytes are a valid idempotency key: 1 to 255 visible ASCII characters.
pub fn is_valid_key(key: &[u8]) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic)
}

fn header_text<'headers>(
    headers: &'headers HeaderMap,
    name: &str,
) -> Result<Option<&'headers str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(|text| Some(text.trim()))
        .map_err(|_| bad_request(format!("{name}: ASCII text is required")))
}

/// Splits `/services/{service}/{path}` into the service and the path below it, with a leading
/// slash and without query. The path is not decoded.
pub fn split_service_path(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix("/services/")?;
    let service_end = rest.find('/').unwrap_or(rest.len());
    let (service, subpath) = rest.split_at(service_end);
    let subpath = if subpath.is_empty() { "/" } else { subpath };
    (!service.is_empty()).then_some((service, subpath))
}

/// Decodes percent-encoding, collapses repeated slashes and resolves dot segments.
pub fn normalize_path(path: &str) -> String {
    let decoded = percent_decode(path);
    let mut segments: Vec<&str> = Vec::new();
    for segment in decoded.split('/') {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            _ => segments.push(segment),
        }
    }
    let mut normalized = format!("/{}", segments.join("/"));
    if decoded.ends_with('/') && !segments.is_empty() {
        normalized.push('/');
    }
    normalized
}

/// Decodes `%xx`. Invalid escapes stay as they are; bytes that are not UTF-8 are replaced by
/// U+FFFD.
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut position = 0;
    while position < bytes.len() {
        let digits = bytes.get(position + 1..position + 3);
        let value =
            digits.and_then(|digits| Some(hex_digit(digits[0])? << 4 | hex_digit(digits[1])?));
        match (bytes[position], value) {
            (b'%', Some(value)) => {
                decoded.push(value);
                position += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                position += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns the first value of a query parameter, decoded.
pub fn query_parameter(query: &str, name: &str) -> Option<String> {
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (key == name).then(|| percent_decode(value))
    })
}

/// Parses a SHA-256 digest given as 64 hexadecimal digits.
pub fn parse_digest(text: &str) -> Option<[u8; 32]> {
    let digits = text.as_bytes();
    if digits.len() != 64 {
        return None;
    }
    let mut digest = [0; 32];
    for (byte, pair) in digest.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
    }
    Some(digest)
}

fn hex_digit(digit: u8) -> Option<u8> {
    char::from(digit).to_digit(16).map(|value| value as u8)
}
