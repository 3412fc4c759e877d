//! Requests that tests write to a connection themselves, and what they read from it.

use tokio::{io::AsyncReadExt, net::TcpStream};

use crate::fixture::TIMEOUT;

pub fn request_text(path: &str, attempt: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: host.example\r\nx-acaciabank-attempt-id: {attempt}\r\n\
         x-acaciabank-deadline-ms: 9000\r\n{framing}\r\n\r\n"
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
