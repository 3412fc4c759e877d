//! Readiness check.

use hyper::StatusCode;
use serde_json::json;

use crate::{
    entry::response,
    process::{Phase, ProcessState, listener::HttpResponse},
};

/// Responds with 200 while the daemon accepts callers, otherwise with 503 and the reason.
pub(super) fn readiness(state: &ProcessState) -> HttpResponse {
    let reason = match state.phase.get() {
        Phase::Ready => return response::json(StatusCode::OK, &json!({"ready": true})),
        Phase::Joining => "no configuration learned: table and peers do not answer",
        Phase::Draining => "draining: shutdown requested",
        Phase::Left => "stopped",
    };
    let body = json!({"ready": false, "reason": reason});
    response::json(StatusCode::SERVICE_UNAVAILABLE, &body)
}
