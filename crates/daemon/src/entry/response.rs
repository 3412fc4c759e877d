//! Answers to callers and operators: JSON, refusals and streamed bodies.

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

/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A body that is known as a whole.
pub fn full(body: impl Into<Bytes>) -> ResponseBody {
    let body = Full::new(body.into());
    body.map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// An answer with a JSON body.
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

/// An answer with a body of the given content type.
pub fn with_type(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    set_header(response.headers_mut(), header::CONTENT_TYPE, content_type);
    response
}

/// The answer to a refused request; counts the refusal.
pub fn refusal(refusal: &Refusal, request: &ids::RequestId, version: u64) -> HttpResponse {
    telemetry::count_refusal(refusal);
    let status = StatusCode::from_u16(refusal.reason.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &refusal.to_json(Some(request)));
    if let Some(seconds) = refusal.retry_after_s {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, seconds.into());
    }
    set_identity(response.headers_mut(), request, version);
    response
}

/// How a refusal inside a body that has started is shown to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamErrorMode {
    /// As an SSE event `error`.
    ErrorEvent,
    /// By closing the connection before the body is complete.
    Abort,
}

/// The answer to a request that is running.
pub fn stream(
    answer: CallerResponse,
    request: &ids::RequestId,
    version: u64,
    error_mode: StreamErrorMode,
    guard: RunningGuard,
) -> HttpResponse {
    let parts = body_parts(answer.body, request.clone(), error_mode, guard);
    let mut response = Response::new(StreamBody::new(parts).boxed_unsync());
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    remove_hop_by_hop(response.headers_mut());
    if error_mode == StreamErrorMode::ErrorEvent {
        // An error event may make the body longer than announced.
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    set_identity(response.headers_mut(), request, version);
    if let Some(target) = &answer.target {
        set_header(response.headers_mut(), TARGET_HEADER, target.as_str());
    }
    response
}

/// Body frames from the dispatcher's channel. The guard marks the request as running until the
/// body has been handed over or the caller has left.
fn body_parts(
    body: tokio::sync::mpsc::Receiver<Result<Bytes, Refusal>>,
    request: ids::RequestId,
    error_mode: StreamErrorMode,
    guard: RunningGuard,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, io::Error>> {
    let start = Some((body, request, guard));
    futures::stream::unfold(start, move |state| async move {
        let (mut body, request, guard) = state?;
        match body.recv().await? {
            Ok(part) => Some((Ok(Frame::data(part)), Some((body, request, guard)))),
            Err(refusal) => {
                telemetry::count_refusal(&refusal);
                log::debug!(request_id = request.as_str(); "refused inside the body: {refusal}");
                let last = match error_mode {
                    StreamErrorMode::ErrorEvent => Ok(Frame::data(error_event(&refusal, &request))),
                    StreamErrorMode::Abort => Err(io::Error::other(refusal.to_string())),
                };
                Some((last, None))
            }
        }
    })
    .fuse()
}

/// A refusal as a server-sent event.
pub fn error_event(refusal: &Refusal, request: &ids::RequestId) -> Bytes {
    let object = refusal.to_json(Some(request));
    Bytes::from(format!("event: error\ndata: {object}\n\n"))
}

/// Removes the headers that belong to one connection, and those that `connection` names.
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

/// Adds the request id and the configuration version unless the answer already states them.
pub(super) fn add_identity(headers: &mut HeaderMap, request: &ids::RequestId, version: u64) {
    if !headers.contains_key(REQUEST_ID_HEADER) {
        set_identity(headers, request, version);
    }
}

fn set_identity(headers: &mut HeaderMap, request: &ids::RequestId, version: u64) {
    set_header(headers, REQUEST_ID_HEADER, request.as_str());
    headers.insert(CONFIG_VERSION_HEADER, version.into());
}

/// Names that cannot stand in a header are left out.
fn set_header(headers: &mut HeaderMap, name: impl header::IntoHeaderName, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
