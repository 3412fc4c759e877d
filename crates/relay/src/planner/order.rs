//! Calls to an engine to read its state and to order a stage change.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;

use crate::{clock, connection, platform, state, target};

/// Time limit of a call; it runs no inference, so engines respond at once.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Reads the state of an engine.
pub async fn read_report<Codec: platform::MessageCodec, Store>(
    state: &state::RelayState<Codec, Store>,
    target: &target::TargetState,
) -> Result<platform::EngineReport, String> {
    let path = state.codec.report_path();
    let body = target::call(state, target, http::Method::GET, path, CALL_TIMEOUT).await?;
    let report = state.codec.read_report(&body);
    report.ok_or_else(|| "invalid engine report".to_owned())
}

/// Sends an order. Nothing is written to the connection after `act_until_ms`, as another daemon may
/// hold the lease then.
pub async fn send_order<Codec: platform::MessageCodec, Store>(
    state: &state::RelayState<Codec, Store>,
    target: &target::TargetState,
    order: &platform::StageOrder<'_>,
    act_until_ms: u64,
) -> platform::OrderResponse {
    let Ok(mut connection) = target.open(CALL_TIMEOUT).await else {
        return platform::OrderResponse::Unsent;
    };
    if target.is_blocked(clock::now_ms()) || target.is_draining.get() {
        return platform::OrderResponse::Unsent;
    }
    let mut request = http::Request::new(Full::new(Bytes::from(state.codec.write_order(order))));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static(state.codec.order_path());
    state
        .codec
        .write_order_headers(request.headers_mut(), order);
    if let Ok(host) = http::HeaderValue::from_str(&target.entry.address.to_string()) {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let remaining_ms = act_until_ms.saturating_sub(clock::now_ms());
    connection.set_write_deadline(Some(connection::WriteDeadline::after(
        Duration::from_millis(remaining_ms),
    )));
    let written_before = connection.bytes_written();
    let sent_ms = clock::now_ms();
    let sent = tokio::time::timeout(CALL_TIMEOUT, connection.send(request)).await;
    match sent {
        Ok(Ok(response)) => {
            let status = response.status();
            let metadata = state.codec.read_response(status, response.headers());
            let origin = target::ResponseOrigin {
                connected_unix_ms: connection.connected_unix_ms(),
                sent_ms,
                is_answer: false,
            };
            target::record_response(state, target, &metadata, origin);
            let limits = connection::BodyLimits::DOCUMENT;
            let deadline = Instant::now() + CALL_TIMEOUT;
            let body = connection::read_body(response.into_body(), limits, deadline).await;
            if body.is_ok() {
                connection.set_write_deadline(None);
                target.pool.put(connection, None);
            }
            state.codec.read_order_response(status)
        }
        _ if connection.bytes_written() == written_before => platform::OrderResponse::Unsent,
        _ => platform::OrderResponse::Unknown,
    }
}
