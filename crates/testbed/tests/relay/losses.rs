//! Requests that were accepted and must be answered: around silent engines, changes of the
//! configuration, refusals before the body has been read and stops.

use acaciabank_testbed::harness;
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::fixture::{TIMEOUT, start_serving};

fn request_text(path: &str, attempt: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: host.example\r\nx-acaciabank-attempt-id: {attempt}\r\n\
         x-acaciabank-deadline-ms: 9000\r\n{framing}\r\n\r\n"
    )
}

/// Guards against a request that was read whole and of which the log does not tell that its
/// connection ended without a response.
#[tokio::test]
async fn a_request_that_ends_without_a_response_is_logged() {
    let (_fixture, runner, relay) = start_serving().await;
    runner.control(json!({"is_mute": true})).await;
    let connected = TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    let text = request_text("/once/a", "left", "content-length: 0");
    caller.write_all(text.as_bytes()).await.expect("a write");
    harness::wait_until(TIMEOUT, "the request runs", async || {
        runner.run_count("left").await == 1
    })
    .await;
    drop(caller);
    let lines = relay.request_log("left", "unanswered").await;
    let line = lines.last().expect("a line");
    assert_eq!(
        (&line["route"], &line["read"]),
        (&json!("once"), &json!(true))
    );
}
