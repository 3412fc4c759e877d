//! Requests that tests write to a connection themselves, and what they read from it.

use tokio::{io::AsyncReadExt, net::TcpStream};

use crate::fixture::TIMEOUT;

/// Returns the head of a request with a deadline of nine seconds.
pub fn request_text(path: &str, attempt: &str, framing: &str) -> String {
    request_head(path, attempt, 9_000, framing)
}

/// Returns the head of a request; `framing` is the field that tells the length of the body.
pub fn request_head(path: &str, attempt: &str, deadline_ms: u64, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: host.example\r\nx-acaciabank-attempt-id: {attempt}\r\n\
         x-acaciabank-deadline-ms: {deadline_ms}\r\n{framing}\r\n\r\n"
    )
}

/// Reads from a connection until `expected` has arrived; returns everything read.
pub async fn read_until(stream: &mut TcpStream, expected: &str) -> String {
    let mut text = String::new();
    while !text.contains(expected) {
        let mut buffer = [0; 4_096];
        let read = tokio::time::timeout(TIMEOUT, stream.read(&mut buffer)).await;
        match read.expect("a response in time") {
            Ok(count) if count > 0 => text += &String::from_utf8_lossy(&buffer[..count]),
            ended => panic!("{expected}: the connection ended ({ended:?}) after {text:?}"),
        }
    }
    text
}
