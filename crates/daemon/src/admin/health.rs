//! Readiness of the daemon.

use hyper::StatusCode;
use serde_json::json;

use crate::{
    entry::reply,
    process::{Phase, ProcessState, listener::Reply},
};

/// 200 only while callers may be sent here; otherwise 503 with the reason.
pub(super) fn readiness(state: &ProcessState) -> Reply {
    let reason = match state.phase.get() {
        Phase::Ready => return reply::json(StatusCode::OK, &json!({"ready": true})),
        Phase::Joining => "no configuration learned: table and peers do not answer",
        Phase::Draining => "draining: shutdown requested",
        Phase::Left => "stopped",
    };
    let body = json!({"ready": false, "reason": reason});
    reply::json(StatusCode::SERVICE_UNAVAILABLE, &body)
}
