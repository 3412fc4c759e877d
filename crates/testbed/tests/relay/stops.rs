//! Requests that arrive around a planned stop.

use std::time::Duration;

use acaciabank_testbed::harness;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::{
    fixture::{Relay, TIMEOUT, start_serving},
    raw_request,
};

fn request_text(attempt: &str) -> String {
    raw_request::request_head("/once/a", attempt, 2_000, "content-length: 6") + "notice"
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("a write");
}

/// Reads until the response has a body that starts with `expected`; returns everything read.
async fn read_response(stream: &mut TcpStream, expected: &str) -> String {
    raw_request::read_until(stream, &format!("\r\n\r\n{expected}")).await
}

/// Opens a connection, has a first request served on it and keeps it open.
async fn connect_and_call(relay: &Relay, id: &str) -> TcpStream {
    let connected = TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    send(&mut caller, &request_text(id)).await;
    read_response(&mut caller, id).await;
    caller
}

/// Guards against a stop that closes a kept connection on which a request is arriving: its head has
/// been read in part.
#[tokio::test]
async fn a_head_that_is_read_in_part_at_a_stop_is_served() {
    let (_fixture, _runner, relay) = start_serving().await;
    let mut caller = connect_and_call(&relay, "first").await;
    let second = request_text("second");
    let (start, rest) = second.split_at(40);
    send(&mut caller, start).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    relay.process.terminate();
    // Later than the time for which callers may cache the relay's address.
    tokio::time::sleep(Duration::from_millis(3_600)).await;
    send(&mut caller, rest).await;
    read_response(&mut caller, "second").await;
}

/// Guards against a stop that closes idle connections while callers still use the relay's address.
#[tokio::test]
async fn a_kept_connection_is_served_once_more_after_a_stop() {
    let (_fixture, _runner, relay) = start_serving().await;
    let mut caller = connect_and_call(&relay, "first").await;
    relay.process.terminate();
    harness::wait_until(TIMEOUT, "the relay is no longer ready", async || {
        relay.readiness_status().await == 503
    })
    .await;
    send(&mut caller, &request_text("second")).await;
    let response = read_response(&mut caller, "second").await;
    assert!(
        response.to_lowercase().contains("connection: close"),
        "{response}"
    );
}

/// Guards against a stop that resets connections which were waiting to be accepted.
#[tokio::test]
async fn connections_that_wait_to_be_accepted_at_a_stop_are_served() {
    let (_fixture, _runner, relay) = start_serving().await;
    relay.process.pause();
    relay.process.terminate();
    let mut callers = Vec::new();
    for number in 0..20 {
        let connected = TcpStream::connect(relay.caller_address).await;
        let mut caller = connected.expect("a connection");
        send(&mut caller, &request_text(&format!("w-{number}"))).await;
        callers.push(caller);
    }
    relay.process.resume();
    for (number, caller) in callers.iter_mut().enumerate() {
        read_response(caller, &format!("w-{number}")).await;
    }
}
