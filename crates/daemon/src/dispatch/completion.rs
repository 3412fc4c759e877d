//! Attempts of a completion: always a stream from the engine, resumed at another engine when it
//! breaks.

use std::time::{Duration, Instant};

use acaciabank_protocol::{reason, verdict::Verdict, wire};
use bytes::Bytes;
use http_body_util::Full;
use serde_json::{Map, Value, json};

use super::{
    CallerRequest, RequestWork, assemble, attempt, run,
    sink::CallerSink,
    sse::{ChunkAction, EventParser, StreamChunk, StreamEvent, TokenCursor},
};

/// Time for which the end of the body is awaited after `[DONE]`, to keep the connection.
const TRAILER_WAIT: Duration = Duration::from_millis(100);
/// Largest answer of an engine that is not a stream, such as an error.
const MAX_PLAIN_BYTES: usize = 1 << 20;

/// State of a completion over its attempts.
pub(super) struct CompletionRun {
    cursor: TokenCursor,
    assembler: assemble::AnswerAssembler,
    /// Id of the first chunk; later attempts' chunks get the same one.
    answer_id: Option<Bytes>,
    last_token: Option<Instant>,
    /// Parameters under which another target offers the KV cache of the prompt.
    transfer: Option<Value>,
    /// Looked up once for each request; a look-up by name for each token costs a hash and a lock.
    inter_token: metrics::Histogram,
}

impl CompletionRun {
    pub(super) fn new(_request: &CallerRequest) -> Self {
        Self {
            cursor: TokenCursor::default(),
            assembler: assemble::AnswerAssembler::default(),
            answer_id: None,
            last_token: None,
            transfer: None,
            inter_token: metrics::histogram!("acaciabank_inter_token_seconds"),
        }
    }

    /// Makes one attempt; delivers what has not been delivered before.
    pub(super) async fn attempt(
        &mut self,
        context: &run::RunContext<'_>,
        sink: &mut CallerSink,
        progress: &mut run::RunProgress,
    ) -> Result<(), attempt::AttemptFailure> {
        let RequestWork::Completion {
            path, stream, body, ..
        } = &context.request.work
        else {
            return Ok(());
        };
        let mut body = engine_body(body, context.request.priority, self.cursor.delivered);
        if let Some(transfer) = &self.transfer {
            body.insert("kv_transfer_params".to_owned(), transfer.clone());
        }
        let opened = context.open(engine_request(path, body)?).await?;
        if !opened.response.status().is_success() {
            return self.pass_error(context, sink, opened).await;
        }
        self.cursor.begin_attempt();
        self.read_stream(context, sink, progress, opened, *stream)
            .await?;
        self.end(context, sink, path, *stream).await;
        Ok(())
    }

    /// Processes the prompt at a target that passes its KV cache on; returns whether it offers that.
    pub(super) async fn prefill(
        &mut self,
        context: &run::RunContext<'_>,
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
        let mut answer = Vec::new();
        while let Some(part) = opened.next_part(idle_timeout(context)).await? {
            answer.extend_from_slice(&part);
            if answer.len() > MAX_PLAIN_BYTES {
                return Err(malformed("the prefill answer is too long".to_owned()));
            }
        }
        opened.recycle();
        context.slot.end_prefill(context.begun.elapsed());
        let answer: Value =
            serde_json::from_slice(&answer).map_err(|error| malformed(error.to_string()))?;
        let offered = &answer["kv_transfer_params"];
        self.transfer = offered.is_object().then(|| offered.clone());
        Ok(self.transfer.is_some())
    }

    /// Forgets the offer of another target.
    pub(super) fn drop_transfer(&mut self) {
        self.transfer = None;
    }

    /// An engine's own refusal (4xx) is the answer; a failure of the engine is retried.
    async fn pass_error(
        &mut self,
        context: &run::RunContext<'_>,
        sink: &mut CallerSink,
        mut opened: attempt::OpenAttempt,
    ) -> Result<(), attempt::AttemptFailure> {
        let status = opened.response.status();
        if !status.is_client_error() || sink.has_head() || self.cursor.delivered > 0 {
            return Err(attempt::AttemptFailure::new(
                Verdict::MayHaveRun,
                reason::RetryReason::TargetRefused,
                format!("the target answered with status {status}"),
            ));
        }
        let mut body = Vec::new();
        while let Some(part) = opened.next_part(idle_timeout(context)).await? {
            body.extend_from_slice(&part);
            if body.len() > MAX_PLAIN_BYTES {
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
        context: &run::RunContext<'_>,
        sink: &mut CallerSink,
        progress: &mut run::RunProgress,
        mut opened: attempt::OpenAttempt,
        stream: bool,
    ) -> Result<(), attempt::AttemptFailure> {
        let mut parser = EventParser::default();
        loop {
            let part = match opened.next_part(idle_timeout(context)).await {
                Ok(part) => part,
                // Nothing is missing after the finish reason but `[DONE]`.
                Err(_) if self.cursor.finished => return Ok(()),
                Err(failure) => return Err(failure),
            };
            let Some(part) = part else {
                return match self.cursor.finished {
                    true => Ok(()),
                    false => Err(attempt::AttemptFailure::broken("the stream ended early")),
                };
            };
            parser.push(part);
            while let Some(event) = parser.next().map_err(malformed)? {
                match event {
                    StreamEvent::Done if !self.cursor.finished => {
                        return Err(malformed("the stream has no finish reason".to_owned()));
                    }
                    StreamEvent::Done => {
                        let end = opened.next_part(TRAILER_WAIT).await;
                        if matches!(end, Ok(None)) {
                            opened.recycle();
                        }
                        return Ok(());
                    }
                    StreamEvent::Chunk(chunk) => {
                        self.take_chunk(context, sink, chunk, stream).await?;
                        progress.received |= self.cursor.delivered > 0;
                    }
                }
            }
            if sink.is_unwanted() {
                return Err(malformed("the caller left".to_owned()));
            }
        }
    }

    async fn take_chunk(
        &mut self,
        context: &run::RunContext<'_>,
        sink: &mut CallerSink,
        chunk: StreamChunk,
        stream: bool,
    ) -> Result<(), attempt::AttemptFailure> {
        if chunk.summary.is_error {
            let error = chunk.tree().map(|chunk| chunk["error"].to_string());
            let error = error.unwrap_or_default();
            return Err(malformed(format!("error in the stream: {error}")));
        }
        let before = self.cursor.delivered;
        match self.cursor.advance(&chunk.summary) {
            ChunkAction::Deliver => {}
            ChunkAction::Drop => return Ok(()),
            ChunkAction::Reject => {
                return Err(malformed(
                    "tokens do not follow the delivered ones".to_owned(),
                ));
            }
        }
        if self.cursor.delivered > before {
            self.observe_token(context);
        }
        if !stream {
            self.assembler.push(&chunk.tree().map_err(malformed)?);
            return Ok(());
        }
        let answer_id = self
            .answer_id
            .get_or_insert_with(|| Bytes::copy_from_slice(&chunk.summary.id));
        let event = chunk.into_event(answer_id).map_err(malformed)?;
        sink.send_head(
            http::StatusCode::OK,
            stream_headers(),
            Some(&context.target.id),
        );
        sink.send_part(event).await;
        Ok(())
    }

    fn observe_token(&mut self, context: &run::RunContext<'_>) {
        let now = Instant::now();
        if self.cursor.is_first_of_attempt() {
            context.slot.end_prefill(now - context.begun);
        } else if let Some(last) = self.last_token {
            context.slot.record_decode(now - last);
        }
        match self.last_token.replace(now) {
            None => metrics::histogram!("acaciabank_time_to_first_token_seconds")
                .record(now - context.started),
            Some(last) => self.inter_token.record(now - last),
        }
    }

    async fn end(
        &mut self,
        context: &run::RunContext<'_>,
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
        let answer = std::mem::take(&mut self.assembler).finish(path);
        let mut headers = http::HeaderMap::new();
        let json = http::HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
        sink.send_head(http::StatusCode::OK, headers, Some(&context.target.id));
        sink.send_part(Bytes::from(answer.to_string())).await;
    }
}

fn malformed(message: String) -> attempt::AttemptFailure {
    let retry = reason::RetryReason::ConnectionBroken;
    attempt::AttemptFailure::new(Verdict::MayHaveRun, retry, message)
}

fn idle_timeout(context: &run::RunContext<'_>) -> Duration {
    Duration::from_millis(context.state.settings.timers.idle_timeout_ms)
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

/// The caller's body as a call that processes the prompt alone. An engine generates at least one
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

/// The caller's body with what the engine needs to stream, order and resume.
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
