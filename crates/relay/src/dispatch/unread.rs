//! Bodies of requests that are refused before they have been read.

use std::time::{Duration, Instant};

use hyper::body::{Body, Incoming};

use crate::{
    config, connection, state,
    telemetry::{self, OverloadReason},
};

/// Largest size of a body until a configuration is known.
const DEFAULT_MAX_BODY_BYTES: usize = 1 << 20;
/// Bytes over the largest size of a body that are read of one, counted from its beginning. Callers
/// with a body that is a little too large receive the refusal and keep their connection.
const EXCESS_BYTES: usize = 1 << 20;
/// Longest time for which the rest of a body is read after the refusal.
const MAX_READ_TIME: Duration = Duration::from_secs(2);

/// Reads the body of a refused request in the background. The refusal is sent meanwhile. A
/// connection that is closed with unread bytes is reset, and the caller may lose the refusal.
pub fn discard<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: http::Request<Incoming>,
    limits: Option<&config::CallerLimits>,
) {
    // Such a caller sends no body after a refusal.
    let is_awaited = request.headers().contains_key(http::header::EXPECT);
    if !is_awaited {
        let (mut head, body) = request.into_parts();
        discard_rest(state, body, head.extensions.remove(), limits, 0);
    }
}

/// Like [`discard`], for what is left of a body of which `read_bytes` have been read. `guard` is held
/// until it has ended.
pub fn discard_rest<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    body: Incoming,
    guard: Option<connection::BodyGuard>,
    limits: Option<&config::CallerLimits>,
    read_bytes: usize,
) {
    if body.is_end_stream() {
        return;
    }
    let Some(slot) = state.drains.try_take() else {
        telemetry::count_overload(OverloadReason::DrainEnded, 1);
        return;
    };
    let max_body_bytes = limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.max_body_bytes);
    let max_bytes = (max_body_bytes + EXCESS_BYTES).saturating_sub(read_bytes);
    let deadline = Instant::now() + MAX_READ_TIME;
    tokio::task::spawn_local(async move {
        if !connection::discard_body(body, max_bytes, deadline).await {
            telemetry::count_overload(OverloadReason::DrainEnded, 1);
        }
        drop((guard, slot));
    });
}
