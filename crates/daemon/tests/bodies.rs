//! Bodies of callers that send too much, too slowly or not to the end.

mod support;

use std::{net, sync, time::Duration};

use acaciabank_daemon::{entry::EntryState, process::ProcessState};
use acaciabank_protocol::settings::ProcessSettings;
use serde_json::json;
use support::{Interface, call, reason};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const KEY: (&str, &str) = ("authorization", "Bearer letmein");
const PATH: &str = "/v1/completions";
/// Largest body. It counts as a large one.
const MAX_BODY_BYTES: usize = 1 << 20;
/// A small body. Its memory is charged as it is announced.
const SMALL_BYTES: usize = 100 << 10;
/// Memory for the bodies of requests: large ones may take three quarters of it, which is four times
/// the largest body.
const PART_BYTES: usize = MAX_BODY_BYTES * 16 / 3;
/// Maximum wait for a response; generous because the machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Serves callers with room for a single largest body. Returns the address.
async fn start(body_timeout_ms: u64) -> net::SocketAddr {
    let mut settings = support::process_json();
    settings["limits"] = json!({"max_body_bytes": MAX_BODY_BYTES, "memory_bytes": 1});
    settings["timers"] = json!({"body_timeout_ms": body_timeout_ms});
    let settings: ProcessSettings = serde_json::from_value(settings).expect("settings");
    let entry = EntryState::new(sync::Arc::new(ProcessState::new(settings)));
    entry.state.config.apply(support::config(1));
    support::serve(&sync::Arc::new(entry), Interface::Callers).await
}

/// Opens a connection and sends a head that announces `announced` bytes, and `sent` of them.
async fn send_partly(
    address: net::SocketAddr,
    announced: usize,
    sent: usize,
    timeout_ms: u64,
) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: test\r\n{}: {}\r\nx-timeout-ms: {timeout_ms}\r\n\
         content-length: {announced}\r\n\r\n",
        KEY.0, KEY.1,
    );
    stream.write_all(head.as_bytes()).await.expect("a head");
    stream.write_all(&vec![b'x'; sent]).await.expect("a body");
    stream
}

/// Returns the response on a connection up to `end`.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let read = async {
        let mut response = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&response);
            if text.contains(end) {
                return text.into_owned();
            }
            let byte = stream.read_u8().await;
            response.push(byte.unwrap_or_else(|error| panic!("{error} after {text:?}")));
        }
    };
    tokio::time::timeout(TIMEOUT, read)
        .await
        .expect("a response")
}

/// Sends a complete body, which is no JSON; returns the reason of the refusal.
async fn refusal_of(address: net::SocketAddr, bytes: usize) -> (u16, String) {
    let body = vec![b'x'; bytes];
    let (status, headers, body) = call(address, "POST", PATH, &[KEY], body).await;
    let reason = reason(&body);
    let has_retry = headers.contains_key("retry-after");
    assert_eq!(has_retry, status == 503 || status == 408, "{reason}");
    (status.as_u16(), reason)
}

fn malformed() -> (u16, String) {
    (400, "bad_request".to_owned())
}

/// Guards against a body that is refused only when its caller ends it, and against a refusal of
/// which the caller does not learn that the request has not run.
#[tokio::test]
async fn a_stalled_body_is_refused() {
    let address = start(200).await;
    let mut stream = send_partly(address, 1_000, 999, 60_000).await;
    let response = read_until(&mut stream, "not_run").await;
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert!(response.contains("body_timeout"), "{response}");
}

/// Guards against a body that keeps its memory beyond the deadline of its request.
#[tokio::test]
async fn a_body_is_refused_at_its_deadline() {
    let address = start(60_000).await;
    let mut stream = send_partly(address, 1_000, 999, 300).await;
    let response = read_until(&mut stream, "not_run").await;
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert!(response.contains("deadline"), "{response}");
}

/// Guards against bodies that take more memory than the budget has, and against memory that is not
/// given back.
#[tokio::test]
async fn a_large_body_without_room_is_refused_until_there_is_room() {
    let address = start(60_000).await;
    let stalled = send_partly(address, MAX_BODY_BYTES, 10, 60_000).await;
    let is_refused = async || refusal_of(address, MAX_BODY_BYTES).await.0 == 503;
    let refused = tokio::time::timeout(TIMEOUT, async {
        while !is_refused().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    refused.await.expect("a refusal for lack of memory");
    assert_eq!(refusal_of(address, 10).await, malformed());
    drop(stalled);
    let served = tokio::time::timeout(TIMEOUT, async {
        while is_refused().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    served.await.expect("memory that is given back");
}

/// Guards against small bodies that are kept out by stalled ones.
#[tokio::test]
async fn a_stalled_body_gives_way_to_a_small_one() {
    let address = start(60_000).await;
    let mut stalled = Vec::new();
    // They fill the part for requests, which has room for four copies of the largest body.
    for _ in 0..PART_BYTES / SMALL_BYTES {
        stalled.push(send_partly(address, SMALL_BYTES, 10, 60_000).await);
    }
    // They give way after a second without progress.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(refusal_of(address, SMALL_BYTES).await, malformed());
    let evicted = stalled
        .iter_mut()
        .map(|stream| Box::pin(read_until(stream, "not_run")));
    let evicted = futures::future::select_all(evicted).await.0;
    assert!(evicted.starts_with("HTTP/1.1 408 "), "{evicted}");
}

/// Guards against a refusal that is lost, or a connection that is reset, while the caller sends a
/// body that was refused before it was read.
#[tokio::test]
async fn a_connection_stays_open_after_a_refused_body() {
    let address = start(60_000).await;
    let mut stalled = Vec::new();
    // Four of them fill the room for large bodies.
    for _ in 0..4 {
        stalled.push(send_partly(address, MAX_BODY_BYTES, 10, 60_000).await);
    }
    let refused = tokio::time::timeout(TIMEOUT, async {
        while refusal_of(address, MAX_BODY_BYTES).await.0 != 503 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    refused.await.expect("a refusal for lack of memory");
    let mut stream = send_partly(address, MAX_BODY_BYTES, MAX_BODY_BYTES, 60_000).await;
    let response = read_until(&mut stream, "}}").await;
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    let next = format!(
        "GET /v1/models HTTP/1.1\r\nhost: test\r\n{}: {}\r\n\r\n",
        KEY.0, KEY.1
    );
    stream.write_all(next.as_bytes()).await.expect("a head");
    let response = read_until(&mut stream, "\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
}
