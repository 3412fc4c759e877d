//! Attempts at targets, verdicts, streams and the buffer of answers.

pub(crate) mod admission;
mod assemble;
mod attempt;
mod candidate;
mod completion;
mod partition;
mod pool;
mod response_buffer;
mod retry;
mod service;
mod sink;
mod slot;
mod speed;
mod sse;

use std::time;

use acaciabank_protocol::{ids, reason, verdict, wire};
use bytes::Bytes;
use tokio::sync::oneshot;

pub use acaciabank_relay::connection::WriteLimit;
pub use admission::choose_target;
pub use response_buffer::{BufferedResponse, ResponseBuffer};

use crate::{config, process};

/// What a caller asked for, after the checks of the entry.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id given by this daemon.
    pub id: ids::RequestId,
    /// Team of the caller.
    pub team: ids::TeamId,
    /// Urgency.
    pub priority: wire::Priority,
    /// Time by which the response must be complete.
    pub deadline: time::Instant,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time after which it may no longer be written to a target, whatever the deadline.
    pub write_limit: Option<WriteLimit>,
    /// Hash of method, path and body; equal for a resend.
    pub fingerprint: u64,
    /// Kind of work.
    pub work: RequestWork,
    /// Configuration that the request runs on.
    pub config: std::sync::Arc<config::ConfigVersion>,
}

/// Kind of work.
#[derive(Clone, Debug)]
pub enum RequestWork {
    /// A completion by a model.
    Completion {
        /// Model.
        model: ids::ModelId,
        /// Path at the engine: `/v1/completions` or `/v1/chat/completions`.
        path: &'static str,
        /// Prompt text; messages joined for a chat.
        prompt: String,
        /// Tokens to generate at most.
        max_tokens: u32,
        /// Whether the caller wants a stream.
        stream: bool,
        /// The caller's body, whole.
        body: serde_json::Map<String, serde_json::Value>,
    },
    /// A call to a plain service.
    Service {
        /// Service.
        service: ids::ServiceId,
        /// Method.
        method: http::Method,
        /// Path and query below the service, starting with `/`.
        path_and_query: String,
        /// End-to-end headers.
        headers: http::HeaderMap,
        /// Body.
        body: Bytes,
    },
}

/// Head of an response; its body follows through a channel.
#[derive(Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: http::StatusCode,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
    /// Target that answered.
    pub target: Option<ids::TargetId>,
    /// Body parts in order. A refusal after the head ends a stream with an error event.
    pub body: tokio::sync::mpsc::Receiver<Result<Bytes, reason::Refusal>>,
}

/// Runs a request to its end: admission, routing, attempts, resume. Returns when the head of the
/// response is known. The request runs in a task of its own and goes on when the caller leaves, until
/// its deadline, so that the caller can fetch the response at another daemon; it ends early only when
/// the caller has left, it is idempotent and its response is too large for the buffer.
///
/// # Errors
///
/// A refusal with its truthful verdict.
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
            "the run ended without an response",
        ))
    })
}
