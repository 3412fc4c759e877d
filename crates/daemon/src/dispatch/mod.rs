//! Dispatch of requests to targets: admission, target selection, retries, streaming and the buffer
//! of responses.

pub(crate) mod admission;
mod assemble;
mod attempt;
mod candidate;
mod completion;
mod partition;
mod placement;
mod pool;
mod response_buffer;
mod response_memory;
mod retry;
mod service;
mod sink;
mod slot;
pub mod sse;
mod stopping;
mod token_times;
mod turn;

use std::time;

use acaciabank_protocol::{ids, reason, verdict, wire};
use bytes::Bytes;
use tokio::sync::oneshot;

use acaciabank_relay::memory::MemoryReservation;

pub use acaciabank_relay::connection::WriteDeadline;
pub use placement::choose_target;
pub use response_buffer::{BufferedResponse, ResponseBuffer};

use crate::{config, process};

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id assigned by this daemon.
    pub id: ids::RequestId,
    /// Team that the caller belongs to.
    pub team: ids::TeamId,
    /// Priority in the queue and at the engine.
    pub priority: wire::Priority,
    /// Time by which the response must be complete.
    pub deadline: time::Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time after which the request may no longer be written to a target, even if its deadline is
    /// later.
    pub write_deadline: Option<WriteDeadline>,
    /// Hash of method, path and body; a resend of the same request has the same hash.
    pub fingerprint: u64,
    /// What the request runs.
    pub work: RequestWork,
    /// Memory that the parsed body takes, reserved until the request ends.
    pub memory: std::sync::Arc<[MemoryReservation]>,
    /// Configuration version that the request uses.
    pub config: std::sync::Arc<config::ConfigVersion>,
}

/// What a request runs.
#[derive(Clone, Debug)]
pub enum RequestWork {
    /// A completion by a model.
    Completion {
        /// Name of the model.
        model: ids::ModelId,
        /// Path at the engine: `/v1/completions` or `/v1/chat/completions`.
        path: &'static str,
        /// Prompt text; for a chat, the joined messages.
        prompt: String,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// Whether the caller wants a stream.
        stream: bool,
        /// The caller's complete request body.
        body: serde_json::Map<String, serde_json::Value>,
    },
    /// A call to a plain service.
    Service {
        /// Name of the service.
        service: ids::ServiceId,
        /// HTTP method.
        method: http::Method,
        /// Path and query relative to the service, starting with `/`.
        path_and_query: String,
        /// End-to-end headers.
        headers: http::HeaderMap,
        /// Request body.
        body: Bytes,
    },
}

/// Head of a response; its body follows through a channel.
#[derive(Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: http::StatusCode,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
    /// Target that sent the response, if any.
    pub target: Option<ids::TargetId>,
    /// Parts of the body in order. A refusal after the head ends an event stream with an error
    /// event.
    pub body: tokio::sync::mpsc::Receiver<Result<Bytes, reason::Refusal>>,
}

/// Runs a request to completion: admission, routing, attempts, resumption. Returns when the head of
/// the response is known. The request runs in its own task and continues until its deadline after
/// the caller disconnects, so that the caller can fetch the response through another daemon. It
/// ends early only when the caller has disconnected, the request is idempotent and its response is
/// too large for the buffer.
///
/// # Errors
///
/// Returns a refusal whose verdict states whether the request may have run.
pub async fn dispatch(
    state: &process::SharedState,
    request: CallerRequest,
) -> Result<CallerResponse, reason::Refusal> {
    let (head, response) = oneshot::channel();
    let sink = sink::CallerSink::new(state, &request, head);
    tokio::spawn(retry::run(std::sync::Arc::clone(state), request, sink));
    response.await.unwrap_or_else(|_| {
        Err(reason::Refusal::with_verdict(
            reason::RefusalReason::TargetFailed,
            verdict::Verdict::MayHaveRun,
            "the run ended without an answer",
        ))
    })
}
