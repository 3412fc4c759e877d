//! Calls to a target that carry no caller's request.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;

use super::{ResponseOrigin, TargetState, record_response};
use crate::{clock, connection, platform, state};

/// Sends a request without a body to a target and returns the body of the response, whatever its
/// status.
///
/// # Errors
///
/// Returns a message if the target leaves or wants no requests, if the connection fails or if the
/// response is not complete within `timeout`.
pub async fn call<Codec: platform::MessageCodec, Store>(
    state: &state::RelayState<Codec, Store>,
    target: &TargetState,
    method: http::Method,
    path: &str,
    timeout: Duration,
) -> Result<Bytes, String> {
    let exchange = exchange(state, target, method, path, timeout);
    match tokio::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err("the target did not respond within the timeout".to_owned()),
    }
}

async fn exchange<Codec: platform::MessageCodec, Store>(
    state: &state::RelayState<Codec, Store>,
    target: &TargetState,
    method: http::Method,
    path: &str,
    timeout: Duration,
) -> Result<Bytes, String> {
    check_signals(target)?;
    let mut connection = target.open(timeout).await?;
    // The target may have given a signal while the connection was opened.
    check_signals(target)?;
    let message = http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, target.entry.address.to_string())
        .body(Full::default())
        .map_err(|error| error.to_string())?;
    let sent_ms = clock::now_ms();
    let response = connection
        .send(message)
        .await
        .map_err(|error| error.to_string())?;
    let metadata = state
        .codec
        .read_response(response.status(), response.headers());
    let origin = ResponseOrigin {
        connected_unix_ms: connection.connected_unix_ms(),
        sent_ms,
        is_answer: false,
    };
    record_response(state, target, &metadata, origin);
    let (limits, deadline) = (connection::BodyLimits::DOCUMENT, Instant::now() + timeout);
    let body = connection::read_body(response.into_body(), limits, deadline).await;
    let body = body.map_err(|error| error.to_string())?;
    target.pool.put(connection, None);
    Ok(body)
}

fn check_signals(target: &TargetState) -> Result<(), String> {
    match target.is_blocked(clock::now_ms()) {
        true => Err("the target leaves or wants no requests".to_owned()),
        false => Ok(()),
    }
}
