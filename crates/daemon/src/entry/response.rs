//! Responses to callers and operators: JSON, refusals and streamed bodies.

use std::{convert::Infallible, io};

use acaciabank_protocol::{
    ids,
    reason::Refusal,
    wire::{CONFIG_VERSION_HEADER, REQUEST_ID_HEADER, TARGET_HEADER},
};
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{HeaderMap, Response, StatusCode, body::Frame, header};

use super::running::RunningGuard;
use crate::{
    dispatch::CallerResponse,
    process::listener::{HttpResponse, ResponseBody},
    telemetry,
};

/// Headers that apply to a single connection and must not be forwarded.
const HOP_BY_HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Creates a body from bytes that are complete.
pub fn full(body: impl Into<Bytes>) -> ResponseBody {
    let body = Full::new(body.into());
    body.map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Creates a response with a JSON body.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => with_type(status, "application/json", body),
        Err(error) => with_type(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            error.to_string(),
        ),
    }
}

/// Creates a response with a body of the given content type.
pub fn with_type(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    set_header(response.headers_mut(), header::CONTENT_TYPE, content_type);
    response
}

/// Creates the response to a refused request and counts the refusal.
pub fn refusal(refusal: &Refusal, request_id: &ids::RequestId, version: u64) -> HttpResponse {
    telemetry::count_refusal(refusal);
    let status = StatusCode::from_u16(refusal.reason.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &refusal.to_json(Some(request_id)));
    if let Some(seconds) = refusal.retry_after_s {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, seconds.into());
    }
    set_identity(response.headers_mut(), request_id, version);
    response
}

/// How a refusal is reported to the caller after the body has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamErrorMode {
    /// By a server-sent event named `error`.
    ErrorEvent,
    /// By closing the connection before the body is complete.
    Abort,
}

/// Creates a response whose body is streamed from the dispatcher.
pub fn stream(
    caller_response: CallerResponse,
    request_id: &ids::RequestId,
    version: u64,
    error_mode: StreamErrorMode,
    guard: RunningGuard,
) -> HttpResponse {
    let frames = body_frames(caller_response.body, request_id.clone(), error_mode, guard);
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = caller_response.status;
    *response.headers_mut() = caller_response.headers;
    remove_hop_by_hop(response.headers_mut());
    if error_mode == StreamErrorMode::ErrorEvent {
        // An error event would make the body longer than the header states.
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    set_identity(response.headers_mut(), request_id, version);
    if let Some(target) = &caller_response.target {
        set_header(response.headers_mut(), TARGET_HEADER, target.as_str());
    }
    response
}

/// Streams body frames from the dispatcher's channel. The guard keeps the request registered as
/// running until the body has been sent or the caller has disconnected.
fn body_frames(
    body: tokio::sync::mpsc::Receiver<Result<Bytes, Refusal>>,
    request_id: ids::RequestId,
    error_mode: StreamErrorMode,
    guard: RunningGuard,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, io::Error>> {
    let initial = Some((body, request_id, guard));
    futures::stream::unfold(initial, move |state| async move {
        let (mut body, id, guard) = state?;
        match body.recv().await? {
            Ok(part) => Some((Ok(Frame::data(part)), Some((body, id, guard)))),
            Err(refusal) => {
                telemetry::count_refusal(&refusal);
                log::debug!(
                    request_id = id.as_str();
                    "request refused after its body had started: {refusal}"
                );
                let last = match error_mode {
                    StreamErrorMode::ErrorEvent => Ok(Frame::data(error_event(&refusal, &id))),
                    StreamErrorMode::Abort => Err(io::Error::other(refusal.to_string())),
                };
                Some((last, None))
            }
        }
    })
    .fuse()
}

/// Encodes a refusal as a server-sent event.
pub fn error_event(refusal: &Refusal, request_id: &ids::RequestId) -> Bytes {
    let object = refusal.to_json(Some(request_id));
    Bytes::from(format!("event: error\ndata: {object}\n\n"))
}

/// Removes the hop-by-hop headers and those that the `connection` header names.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// Adds the request id and the configuration version unless the response already has them.
pub(super) fn add_identity(headers: &mut HeaderMap, request_id: &ids::RequestId, version: u64) {
    if !headers.contains_key(REQUEST_ID_HEADER) {
        set_identity(headers, request_id, version);
    }
}

fn set_identity(headers: &mut HeaderMap, request_id: &ids::RequestId, version: u64) {
    set_header(headers, REQUEST_ID_HEADER, request_id.as_str());
    headers.insert(CONFIG_VERSION_HEADER, version.into());
}

/// Sets a header, or leaves it out when the value is not valid in a header.
fn set_header(headers: &mut HeaderMap, name: impl header::IntoHeaderName, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
