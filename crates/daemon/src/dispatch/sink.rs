//! Delivery of a response to the caller's channel and to the response buffer.

use acaciabank_protocol::{ids, reason, wire};
use acaciabank_relay::telemetry::{OverloadReason, count_overload};
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use super::{CallerRequest, CallerResponse, response_memory};
use crate::process;

/// Maximum number of body parts queued for a slow caller; beyond that the request waits for the
/// caller.
const MAX_QUEUED_PARTS: usize = 64;

type PartSender = mpsc::Sender<Result<Bytes, reason::Refusal>>;
type HeadSender = oneshot::Sender<Result<CallerResponse, reason::Refusal>>;

/// Destination of one response. Dropping it before `finish` or `fail` removes the response from the
/// buffer.
pub(super) struct CallerSink {
    state: process::SharedState,
    request: ids::RequestId,
    head: Option<HeadSender>,
    parts: Option<PartSender>,
    part_count: u64,
    status: u16,
    content_type: String,
    buffered: Option<response_memory::ResponseCopy>,
    idempotent: bool,
    finished: bool,
}

impl CallerSink {
    pub(super) fn new(
        state: &process::SharedState,
        request: &CallerRequest,
        head: HeadSender,
    ) -> Self {
        state.responses.start(&request.id, &request.team);
        Self {
            state: std::sync::Arc::clone(state),
            request: request.id.clone(),
            head: Some(head),
            parts: None,
            part_count: 0,
            status: 0,
            content_type: String::new(),
            buffered: Some(response_memory::ResponseCopy::new(
                &state.memory,
                state.responses.max_bytes(),
            )),
            idempotent: request.idempotent,
            finished: false,
        }
    }

    /// Whether the head has been sent to the caller.
    pub(super) fn is_head_sent(&self) -> bool {
        self.head.is_none()
    }

    /// Number of parts of the body so far; of a streamed completion, its events.
    pub(super) fn part_count(&self) -> u64 {
        self.part_count
    }

    /// Whether the request may be stopped: it is idempotent, its caller has disconnected, and its
    /// response does not fit in the buffer.
    pub(super) fn is_abandoned(&self) -> bool {
        let is_disconnected = match (&self.head, &self.parts) {
            (Some(head), _) => head.is_closed(),
            (None, Some(parts)) => parts.is_closed(),
            (None, None) => true,
        };
        self.idempotent && is_disconnected && self.buffered.is_none()
    }

    /// Sends the head to the caller; later calls have no effect.
    pub(super) fn send_head(
        &mut self,
        status: http::StatusCode,
        mut headers: http::HeaderMap,
        target: Option<&ids::TargetId>,
    ) {
        let Some(head) = self.head.take() else {
            return;
        };
        headers.remove(wire::REQUEST_ID_HEADER);
        let content_type = headers.get(http::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        self.content_type = content_type.unwrap_or_default().to_owned();
        self.status = status.as_u16();
        let (sender, body) = mpsc::channel(MAX_QUEUED_PARTS);
        self.parts = Some(sender);
        // A disconnected caller is not an error; the response is still buffered.
        let _ = head.send(Ok(CallerResponse {
            status,
            headers,
            target: target.cloned(),
            body,
        }));
    }

    /// Sends a part of the body to the caller and to the buffer.
    pub(super) async fn send_part(&mut self, part: Bytes) {
        self.part_count += 1;
        if let Some(buffered) = &mut self.buffered
            && !buffered.push(&part)
        {
            self.buffered = None;
        }
        if let Some(parts) = &self.parts
            && queue_part(&self.state, parts, part).await.is_err()
        {
            self.parts = None;
        }
    }

    /// Completes the response, which makes it available to callers that reconnect.
    pub(super) fn finish(mut self) {
        let buffered = self
            .buffered
            .take()
            .map(response_memory::ResponseCopy::into_bytes);
        let response = buffered.map(|body| (self.status, self.content_type.clone(), body));
        self.state.responses.finish(&self.request, response);
        self.finished = true;
    }

    /// Ends the response with a refusal, which callers that reconnect get as well.
    pub(super) async fn fail(mut self, refusal: reason::Refusal) {
        let body = Bytes::from(refusal.to_json(Some(&self.request)).to_string());
        let response = (refusal.reason.status(), "application/json".to_owned(), body);
        self.state.responses.finish(&self.request, Some(response));
        self.finished = true;
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(refusal));
        } else if let Some(parts) = self.parts.take() {
            let _ = parts.send(Err(refusal)).await;
        }
    }
}

/// The caller has disconnected.
struct CallerGone;

/// Queues a part for the caller. If the memory for responses is exhausted, the part waits until the
/// caller has read all others, so that each response has at most one that is not charged.
async fn queue_part(
    state: &process::SharedState,
    parts: &PartSender,
    part: Bytes,
) -> Result<(), CallerGone> {
    let part = match response_memory::charge_part(&state.memory, &part) {
        Some(charged) => charged,
        None => {
            count_overload(OverloadReason::ResponseNoMemory, 1);
            let emptied = parts.reserve_many(MAX_QUEUED_PARTS).await;
            emptied.map_err(|_| CallerGone)?;
            part
        }
    };
    parts.send(Ok(part)).await.map_err(|_| CallerGone)
}

impl Drop for CallerSink {
    fn drop(&mut self) {
        if !self.finished {
            self.state.responses.finish(&self.request, None);
        }
    }
}
