//! Attempts of a completion. The engine always streams; a broken stream is resumed at another
//! engine.

use std::time::{Duration, Instant};

use acaciabank_protocol::{reason, verdict::Verdict, wire};
use bytes::Bytes;
use http_body_util::Full;
use serde_json::{Map, Value, json};

use super::{
    CallerRequest, RequestWork, assemble, attempt, retry,
    sink::CallerSink,
    sse::{ChunkAction, EventParser, StreamChunk, StreamEvent, TokenCursor},
};

/// Longest wait for the end of the body after `[DONE]`; the connection is reused only if it
/// arrives.
const MAX_TRAILER_WAIT: Duration = Duration::from_millis(100);
/// Largest body that is read of an engine's response that is not a stream, such as an error.
const MAX_UNSTREAMED_BYTES: usize = 1 << 20;

/// State of a completion across its attempts.
pub(super) struct CompletionStream {
    cursor: TokenCursor,
    assembler: assemble::CompletionAssembler,
    /// Id of the first chunk; the chunks of later attempts are rewritten to it.
    completion_id: Option<Bytes>,
    /// Time of the first token that was delivered.
    first_token: Option<Instant>,
    last_token: Option<Instant>,
    /// Parameters with which another target offers the prompt's KV cache.
    kv_transfer: Option<Value>,
    /// Registered once per request; a lookup by name for each token would cost a hash and a lock.
    inter_token_seconds: metrics::Histogram,
}

impl CompletionStream {
    pub(super) fn new(_request: &CallerRequest) -> Self {
        Self {
            cursor: TokenCursor::default(),
            assembler: assemble::CompletionAssembler::default(),
            completion_id: None,
            first_token: None,
            last_token: None,
            kv_transfer: None,
            inter_token_seconds: metrics::histogram!("acaciabank_inter_token_seconds"),
        }
    }

    /// Returns the time of the first token; `None` before it.
    pub(super) fn first_token(&self) -> Option<Instant> {
        self.first_token
    }

    /// Makes one attempt and delivers the tokens that have not been delivered before.
    pub(super) async fn attempt(
        &mut self,
        context: &retry::AttemptContext<'_>,
        sink: &mut CallerSink,
        history: &mut retry::AttemptHistory,
    ) -> Result<(), attempt::AttemptFailure> {
        let RequestWork::Completion {
            path, stream, body, ..
        } = &context.request.work
        else {
            return Ok(());
        };
        let mut body = engine_body(body, context.request.priority, self.cursor.delivered);
        if let Some(kv_transfer) = &self.kv_transfer {
            body.insert("kv_transfer_params".to_owned(), kv_transfer.clone());
        }
        let opened = context.open(engine_request(path, body)?).await?;
        if !opened.response.status().is_success() {
            return self.forward_error(context, sink, opened).await;
        }
        self.cursor.begin_attempt();
        self.read_stream(context, sink, history, opened, *stream)
            .await?;
        self.send_end(context, sink, path, *stream).await;
        Ok(())
    }

    /// Processes the prompt at a prefill target; returns whether that offers its KV cache for
    /// transfer.
    pub(super) async fn prefill(
        &mut self,
        context: &retry::AttemptContext<'_>,
    ) -> Result<bool, attempt::AttemptFailure> {
        let RequestWork::Completion { path, body, .. } = &context.request.work else {
            return Ok(false);
        };
        let body = prefill_body(body, context.request.priority);
        let mut opened = context.open(engine_request(path, body)?).await?;
        let status = opened.response.status();
        if !status.is_success() {
            return Err(attempt::AttemptFailure::new(
                Verdict::MayHaveRun,
                reason::RetryReason::TargetRefused,
                format!("the target answered the prefill call with status {status}"),
            ));
        }
        let mut response = Vec::new();
        while let Some(part) = opened.next_part(idle_deadline(context)).await? {
            response.extend_from_slice(&part);
            if response.len() > MAX_UNSTREAMED_BYTES {
                return Err(stream_failure("the prefill answer is too long".to_owned()));
            }
        }
        opened.release_connection();
        context.record_output();
        context.slot.record_prefill(context.attempt_start.elapsed());
        let response: Value =
            serde_json::from_slice(&response).map_err(|error| stream_failure(error.to_string()))?;
        let offered = &response["kv_transfer_params"];
        self.kv_transfer = offered.is_object().then(|| offered.clone());
        Ok(self.kv_transfer.is_some())
    }

    /// Discards the offered KV cache.
    pub(super) fn clear_kv_transfer(&mut self) {
        self.kv_transfer = None;
    }

    /// Forwards an engine's client error (4xx) as the response; any other error status fails the
    /// attempt, which may be retried.
    async fn forward_error(
        &mut self,
        context: &retry::AttemptContext<'_>,
        sink: &mut CallerSink,
        mut opened: attempt::OpenResponse,
    ) -> Result<(), attempt::AttemptFailure> {
        let status = opened.response.status();
        if !status.is_client_error() || sink.is_head_sent() || self.cursor.delivered > 0 {
            return Err(attempt::AttemptFailure::new(
                Verdict::MayHaveRun,
                reason::RetryReason::TargetRefused,
                format!("the target answered with status {status}"),
            ));
        }
        let mut body = Vec::new();
        while let Some(part) = opened.next_part(idle_deadline(context)).await? {
            body.extend_from_slice(&part);
            if body.len() > MAX_UNSTREAMED_BYTES {
                break;
            }
        }
        let mut headers = http::HeaderMap::new();
        if let Some(content_type) = opened.response.headers().get(http::header::CONTENT_TYPE) {
            headers.insert(http::header::CONTENT_TYPE, content_type.clone());
        }
        sink.send_head(status, headers, Some(&context.target.id));
        sink.send_part(Bytes::from(body)).await;
        Ok(())
    }

    async fn read_stream(
        &mut self,
        context: &retry::AttemptContext<'_>,
        sink: &mut CallerSink,
        history: &mut retry::AttemptHistory,
        mut opened: attempt::OpenResponse,
        stream: bool,
    ) -> Result<(), attempt::AttemptFailure> {
        let mut parser = EventParser::default();
        // Renewed by events, not by bytes: a stalled engine may send comments or parts of an event.
        let mut event_deadline = idle_deadline(context);
        loop {
            let part = match opened.next_part(event_deadline).await {
                Ok(part) => part,
                // After the finish reason only `[DONE]` is missing.
                Err(_) if self.cursor.has_finished => return Ok(()),
                Err(failure) => return Err(failure),
            };
            let Some(part) = part else {
                return match self.cursor.has_finished {
                    true => Ok(()),
                    false => Err(attempt::AttemptFailure::broken("the stream ended early")),
                };
            };
            parser.push(&part);
            while let Some(event) = parser.next_event().map_err(stream_failure)? {
                match event {
                    StreamEvent::Done if !self.cursor.has_finished => {
                        return Err(stream_failure("the stream has no finish reason".to_owned()));
                    }
                    StreamEvent::Done => {
                        let end = opened.next_part(Instant::now() + MAX_TRAILER_WAIT).await;
                        if matches!(end, Ok(None)) {
                            opened.release_connection();
                        }
                        return Ok(());
                    }
                    StreamEvent::Chunk(chunk) => {
                        self.handle_chunk(context, sink, chunk, stream).await?;
                        history.received |= self.cursor.delivered > 0;
                        event_deadline = idle_deadline(context);
                    }
                }
            }
            if sink.is_abandoned() {
                return Err(stream_failure("the caller left".to_owned()));
            }
            // Bytes that are always ready never reach the timeout above.
            if Instant::now() >= event_deadline {
                let message = "the target sends no events";
                return Err(attempt::AttemptFailure::timeout(
                    Verdict::MayHaveRun,
                    message,
                ));
            }
        }
    }

    async fn handle_chunk(
        &mut self,
        context: &retry::AttemptContext<'_>,
        sink: &mut CallerSink,
        chunk: StreamChunk,
        stream: bool,
    ) -> Result<(), attempt::AttemptFailure> {
        if chunk.summary.is_error {
            let error = chunk.to_value().map(|chunk| chunk["error"].to_string());
            let error = error.unwrap_or_default();
            return Err(stream_failure(format!("error in the stream: {error}")));
        }
        if chunk.summary.has_text || chunk.summary.has_finish_reason {
            context.record_output();
        }
        let before = self.cursor.delivered;
        match self.cursor.advance(&chunk.summary) {
            ChunkAction::Deliver => {}
            ChunkAction::Drop => return Ok(()),
            ChunkAction::Reject => {
                return Err(stream_failure(
                    "tokens do not follow the delivered ones".to_owned(),
                ));
            }
        }
        if self.cursor.delivered > before {
            self.record_token(context);
        }
        if !stream {
            self.assembler
                .push(&chunk.to_value().map_err(stream_failure)?);
            return Ok(());
        }
        let completion_id = self
            .completion_id
            .get_or_insert_with(|| Bytes::copy_from_slice(&chunk.summary.id));
        let event = chunk.into_event(completion_id).map_err(stream_failure)?;
        sink.send_head(
            http::StatusCode::OK,
            stream_headers(),
            Some(&context.target.id),
        );
        sink.send_part(event).await;
        Ok(())
    }

    fn record_token(&mut self, context: &retry::AttemptContext<'_>) {
        let now = Instant::now();
        self.first_token.get_or_insert(now);
        if self.cursor.is_first_of_attempt() {
            context.slot.record_prefill(now - context.attempt_start);
        } else if let Some(last) = self.last_token {
            context.slot.record_decode(now - last);
        }
        match self.last_token.replace(now) {
            None => metrics::histogram!("acaciabank_time_to_first_token_seconds")
                .record(now - context.request_start),
            Some(last) => self.inter_token_seconds.record(now - last),
        }
    }

    async fn send_end(
        &mut self,
        context: &retry::AttemptContext<'_>,
        sink: &mut CallerSink,
        path: &str,
        stream: bool,
    ) {
        if stream {
            sink.send_head(
                http::StatusCode::OK,
                stream_headers(),
                Some(&context.target.id),
            );
            sink.send_part(Bytes::from_static(b"data: [DONE]\n\n"))
                .await;
            return;
        }
        let response = std::mem::take(&mut self.assembler).finish(path);
        let mut headers = http::HeaderMap::new();
        let json = http::HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
        sink.send_head(http::StatusCode::OK, headers, Some(&context.target.id));
        sink.send_part(Bytes::from(response.to_string())).await;
    }
}

/// Failure of a response whose content is invalid or no longer wanted.
fn stream_failure(message: String) -> attempt::AttemptFailure {
    let retry = reason::RetryReason::ConnectionBroken;
    attempt::AttemptFailure::new(Verdict::MayHaveRun, retry, message)
}

/// Time until which an engine may send nothing.
fn idle_deadline(context: &retry::AttemptContext<'_>) -> Instant {
    Instant::now() + Duration::from_millis(context.state.settings.timers.idle_timeout_ms)
}

fn stream_headers() -> http::HeaderMap {
    let mut headers = http::HeaderMap::new();
    let content_type = http::HeaderValue::from_static("text/event-stream");
    headers.insert(http::header::CONTENT_TYPE, content_type);
    let cache_control = http::HeaderValue::from_static("no-cache");
    headers.insert(http::header::CACHE_CONTROL, cache_control);
    headers
}

fn engine_request(
    path: &str,
    body: Map<String, Value>,
) -> Result<http::Request<Full<Bytes>>, attempt::AttemptFailure> {
    let request = http::Request::post(path)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(Value::Object(body).to_string())));
    request.map_err(|error| {
        let retry = reason::RetryReason::NotWritten;
        attempt::AttemptFailure::new(Verdict::NotRun, retry, error.to_string())
    })
}

/// The caller's body as a call that only processes the prompt. An engine generates at least one
/// token; the target of the first attempt generates it again.
fn prefill_body(body: &Map<String, Value>, priority: wire::Priority) -> Map<String, Value> {
    let mut body = body.clone();
    body.remove("stream_options");
    body.remove("max_completion_tokens");
    body.insert("stream".to_owned(), json!(false));
    body.insert("max_tokens".to_owned(), json!(1));
    body.insert("priority".to_owned(), json!(priority as u8));
    body.insert(
        "kv_transfer_params".to_owned(),
        json!({"do_remote_decode": true}),
    );
    body
}

/// The caller's body with the parameters for streaming, priority and resumption.
fn engine_body(
    body: &Map<String, Value>,
    priority: wire::Priority,
    delivered: u64,
) -> Map<String, Value> {
    let mut body = body.clone();
    let options = json!({"include_usage": true, "continuous_usage_stats": true});
    body.insert("stream".to_owned(), json!(true));
    body.insert("stream_options".to_owned(), options);
    body.insert("priority".to_owned(), json!(priority as u8));
    if delivered > 0 {
        body.insert("resume_from".to_owned(), json!(delivered));
    }
    body
}
