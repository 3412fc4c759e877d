//! Bodies of requests that are refused before they have been read.

use std::time::{Duration, Instant};

use hyper::body::{Body, Incoming};

use crate::{config, connection};

/// Largest part of a body that is read after the refusal until a configuration is known.
const DEFAULT_MAX_BYTES: usize = 1 << 20;
/// Longest time for which the rest of a body is read after the refusal.
const MAX_READ_TIME: Duration = Duration::from_secs(10);

/// Reads the body of a refused request in the background. The refusal is sent meanwhile. A
/// connection that is closed with unread bytes is reset, and the caller may lose the refusal.
pub fn discard(request: http::Request<Incoming>, limits: Option<&config::CallerLimits>) {
    // Such a caller sends no body after a refusal.
    let is_awaited = request.headers().contains_key(http::header::EXPECT);
    if !is_awaited {
        let (mut head, body) = request.into_parts();
        discard_rest(body, head.extensions.remove(), limits);
    }
}

/// Like [`discard`], for what is left of a body. `guard` is held until it has ended.
pub fn discard_rest(
    body: Incoming,
    guard: Option<connection::BodyGuard>,
    limits: Option<&config::CallerLimits>,
) {
    if body.is_end_stream() {
        return;
    }
    let max_bytes = limits.map_or(DEFAULT_MAX_BYTES, |limits| limits.max_body_bytes);
    let deadline = Instant::now() + MAX_READ_TIME;
    tokio::task::spawn_local(async move {
        connection::discard_body(body, max_bytes, deadline).await;
        drop(guard);
    });
}
