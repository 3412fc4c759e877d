//! Calls on connections of their own, and how they ended: also those that got a part of a response.

use std::{net, time::Instant};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fixture::{ROUTE_HOST, TIMEOUT};

/// A request to send.
#[derive(Clone, Debug)]
pub struct TestCall {
    pub path: String,
    pub attempt: String,
    pub deadline_ms: u64,
    /// Number of events of a stream; `None` for a plain service.
    pub events: Option<u32>,
}

impl TestCall {
    /// A stream of `events` events.
    pub fn stream(path: &str, attempt: &str, events: u32) -> Self {
        Self {
            path: path.to_owned(),
            attempt: attempt.to_owned(),
            deadline_ms: 20_000,
            events: Some(events),
        }
    }

    /// A request to a plain service.
    pub fn plain(path: &str, attempt: &str, deadline_ms: u64) -> Self {
        Self {
            path: path.to_owned(),
            attempt: attempt.to_owned(),
            deadline_ms,
            events: None,
        }
    }

    /// Returns the text of the request.
    pub fn text(&self) -> String {
        let (path, attempt, deadline_ms) = (&self.path, &self.attempt, self.deadline_ms);
        let generation = self.events.map_or(String::new(), |events| {
            format!(
                "x-acaciabank-model: m\r\nx-acaciabank-token-count: 2000,{events}\r\n\
                 x-acaciabank-prompt-prefix: aa:1500,{attempt}:500\r\n"
            )
        });
        format!(
            "POST {path} HTTP/1.1\r\nhost: {ROUTE_HOST}\r\nx-acaciabank-attempt-id: {attempt}\r\n\
             x-acaciabank-deadline-ms: {deadline_ms}\r\n{generation}content-length: 4\r\n\r\nbody"
        )
    }
}

/// What a caller received for one call, and when.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    pub attempt: String,
    /// Time at which the connection was opened.
    pub sent: Instant,
    pub ended: Instant,
    /// Status of the response; `None` if the connection ended before it.
    pub status: Option<u16>,
    /// Whether the whole response arrived.
    pub is_complete: bool,
    /// Head and body as they arrived.
    pub text: String,
}

impl CallOutcome {
    /// Number of events that arrived.
    pub fn event_count(&self) -> usize {
        self.text.matches("\nid: ").count()
    }

    /// Whether a refusal or a response of the target has arrived whole.
    pub fn is_answered(&self) -> bool {
        self.status.is_some() && self.is_complete
    }
}

/// Sends a call on a new connection and reads until its response or the connection ends.
pub async fn call(address: net::SocketAddr, call: &TestCall) -> CallOutcome {
    let sent = Instant::now();
    let mut text = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address).await
        && stream.write_all(call.text().as_bytes()).await.is_ok()
    {
        text = read_response(&mut stream).await;
    }
    outcome(&call.attempt, sent, &text)
}

/// Describes the response `bytes` of a call.
pub fn outcome(attempt: &str, sent: Instant, bytes: &[u8]) -> CallOutcome {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let status = text.strip_prefix("HTTP/1.1 ");
    let status = status.and_then(|rest| rest.get(..3)?.parse().ok());
    CallOutcome {
        attempt: attempt.to_owned(),
        sent,
        ended: Instant::now(),
        status: status.filter(|_| text.contains("\r\n\r\n")),
        is_complete: is_complete(&text),
        text,
    }
}

/// Reads until a response is complete or the connection ends.
pub async fn read_response(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16_384];
    loop {
        let read = tokio::time::timeout(TIMEOUT, stream.read(&mut buffer)).await;
        match read {
            Ok(Ok(count)) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return bytes,
        }
        if is_complete(&String::from_utf8_lossy(&bytes)) {
            return bytes;
        }
    }
}

fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    match length.and_then(|length| length.trim().parse::<usize>().ok()) {
        Some(length) => body.len() >= length,
        None => body.ends_with("0\r\n\r\n"),
    }
}
