//! Calls to an engine about its stage.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};

use crate::{clock, connection, platform, state, target};

/// Time for an answer to a call that runs no request.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Asks an engine for its state.
pub async fn read_report<Codec: platform::MessageCodec, Store>(
    state: &state::RelayState<Codec, Store>,
    target: &target::TargetState,
) -> Result<platform::EngineReport, String> {
    let path = state.codec.report_path();
    let body = target.call(http::Method::GET, path, CALL_TIMEOUT).await?;
    let report = state.codec.read_report(&body);
    report.ok_or_else(|| "the report cannot be read".to_owned())
}

/// Sends an order. Nothing is written after `act_until_ms`, when another daemon may hold the lease.
pub async fn send_order<Codec: platform::MessageCodec, Store>(
    state: &state::RelayState<Codec, Store>,
    target: &target::TargetState,
    terms: &platform::StageOrder<'_>,
    act_until_ms: u64,
) -> platform::OrderResponse {
    let Ok(mut connection) = target.open(CALL_TIMEOUT).await else {
        return platform::OrderResponse::Unsent;
    };
    let mut message = http::Request::new(Full::new(Bytes::from(state.codec.write_order(terms))));
    *message.method_mut() = http::Method::POST;
    *message.uri_mut() = http::Uri::from_static(state.codec.order_path());
    state
        .codec
        .write_order_headers(message.headers_mut(), terms);
    if let Ok(host) = http::HeaderValue::from_str(&target.entry.address.to_string()) {
        message.headers_mut().insert(http::header::HOST, host);
    }
    let left_ms = act_until_ms.saturating_sub(clock::now_ms());
    connection.set_write_deadline(Some(connection::WriteDeadline::after(
        Duration::from_millis(left_ms),
    )));
    let before = connection.bytes_written();
    let sent = tokio::time::timeout(CALL_TIMEOUT, connection.send(message)).await;
    match sent {
        Ok(Ok(answer)) => {
            let status = answer.status();
            if answer.into_body().collect().await.is_ok() {
                connection.set_write_deadline(None);
                target.pool.put(connection, None);
            }
            state.codec.read_order_response(status)
        }
        _ if connection.bytes_written() == before => platform::OrderResponse::Unsent,
        _ => platform::OrderResponse::Unknown,
    }
}
