//! Generation requests: the prompt and the stream at one engine or at two, and resumption.

use std::{
    io, rc,
    time::{Duration, Instant},
};

use acaciabank_core::{judge, refuse};
use acaciabank_protocol::{reason::RetryReason, verdict::Verdict};
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::{
    attempt::{self, AttemptFailure},
    choose,
    events::{EventReader, ReadError},
    refusal::{RefusalAnswer, Reply},
    request::{RelayRequest, RequestProgress},
    service::remove_hop_headers,
};
use crate::{clock, connection, edge, state, target, telemetry, telemetry::RefusalCause};

/// Parts of a stream that wait for the caller; a caller that does not read stops the engine.
const CHANNEL_PARTS: usize = 8;
/// Longest silence of an engine in a stream that another engine can go on with. Callers leave after
/// two seconds.
const MAX_GAP: Duration = Duration::from_millis(1_000);
/// Time for the first event of such a stream, besides twice the expected one.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(1_500);
/// Time to release a KV cache that is not used.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A stream whose first events have arrived.
struct OpenStream {
    reader: EventReader,
    connection: attempt::OpenConnection,
    work: target::TargetWork,
    first: Option<Bytes>,
    plan: choose::EnginePlan,
    /// Time from the arrival of the request until its prompt was processed elsewhere.
    prefill_ms: u64,
    /// What was expected when the request was taken in.
    intake: IntakeView,
}

/// What was expected of a request when it was taken in, for its log line.
#[derive(Clone, Copy, Debug, Default)]
struct IntakeView {
    uncached_tokens: u64,
    first_token_ms: f64,
    wait_ms: f64,
    is_fetched: bool,
}

/// What an attempt ends in.
enum StreamStart {
    /// The stream has begun.
    Open(Box<http::response::Parts>, Box<OpenStream>),
    /// The engine answered with a status of its own.
    Answered(Reply, http::StatusCode),
}

/// Runs a request up to its first event; the rest of the stream follows in a task.
pub async fn run<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    request: rc::Rc<RelayRequest>,
    mut progress: RequestProgress,
) -> Result<Reply, RefusalAnswer> {
    let last_event = request.terms.last_event;
    let (head, stream) = match start(state, &request, &mut progress, last_event).await? {
        StreamStart::Answered(reply, status) => {
            log::info!(
                id = request.id.as_str(), route = request.route.name.as_str(),
                status = status.as_u16(), sends = progress.sends,
                elapsed_ms = request.elapsed_ms();
                "answered"
            );
            return Ok(reply);
        }
        StreamStart::Open(head, stream) => (head, stream),
    };
    let (sender, receiver) = mpsc::channel(CHANNEL_PARTS);
    let pump = StreamPump {
        state: rc::Rc::clone(state),
        request,
        progress,
        sender,
        first_event: Instant::now(),
    };
    tokio::task::spawn_local(pump.run(*stream));
    Ok(stream_reply(*head, receiver))
}

type StreamPart = Result<Frame<Bytes>, io::Error>;

fn stream_reply(head: http::response::Parts, receiver: mpsc::Receiver<StreamPart>) -> Reply {
    let parts = futures::stream::unfold(receiver, |mut receiver| async move {
        let part = receiver.recv().await?;
        Some((part, receiver))
    });
    let mut reply = http::Response::new(Either::Right(StreamBody::new(parts.boxed_local())));
    *reply.status_mut() = head.status;
    *reply.headers_mut() = head.headers;
    remove_hop_headers(reply.headers_mut());
    reply
}

/// Attempts until a stream has begun after `last_event`.
async fn start<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &mut RequestProgress,
    last_event: Option<u64>,
) -> Result<StreamStart, RefusalAnswer> {
    let mut failed_answer = None;
    let mut handle: Option<KvHandle> = None;
    let mut intake = IntakeView::default();
    loop {
        let prefilled = handle.as_ref().map(|handle| &handle.engine);
        let plan = match choose::engine_plan(state, request, progress, prefilled).await {
            Ok(plan) => plan,
            // The engine with the KV cache may have gone; the others can still do all of it.
            Err(_) if handle.is_some() => {
                handle = None;
                continue;
            }
            Err(refusal) => return failed_answer.ok_or(refusal),
        };
        if handle.is_none() {
            check_intake(request, progress, &plan)?;
            intake = IntakeView {
                uncached_tokens: plan.uncached_tokens,
                first_token_ms: plan.first_token_ms,
                wait_ms: plan.wait_ms,
                is_fetched: plan.source.is_some(),
            };
        }
        if let (None, Some(engine)) = (&handle, &plan.prefill) {
            if let Err(refusal) = attempt::pay_prefill(state, &request.service, progress) {
                return failed_answer.ok_or(refusal);
            }
            let until = first_event_until(request, progress, &plan);
            let result = prefill(state, request, &plan, engine, until).await;
            attempt::count_prefill(state, &request.service, progress, result.is_ok());
            match result {
                Ok(taken) => handle = Some(taken),
                Err(failure) => {
                    let decided = attempt::decide_retry(state, request, engine, progress, &failure);
                    if let Err(refusal) = decided {
                        return failed_answer.ok_or(refusal);
                    }
                }
            }
            continue;
        }
        if let Err(refusal) = attempt::pay_run(state, &request.service, progress) {
            return failed_answer.ok_or(refusal);
        }
        progress.sends += 1;
        let result = attempt(state, request, progress, &plan, handle.as_ref(), last_event).await;
        let failure = match result {
            Ok(StreamStart::Answered(reply, status))
                if status.is_server_error() && request.route.kind.is_repeatable() =>
            {
                failed_answer = Some(StreamStart::Answered(reply, status));
                let message = format!("the engine answered with status {status}");
                AttemptFailure::broken(message)
            }
            Ok(mut started) => {
                handle.into_iter().for_each(KvHandle::close);
                if let StreamStart::Open(_, stream) = &mut started {
                    stream.intake = intake;
                }
                return Ok(started);
            }
            Err(failure) => failure,
        };
        let is_refused = failure.retry == RetryReason::TargetRefused;
        let may_keep = failure.is_unsent() || (is_refused && progress.sends <= MAX_HANDLE_SENDS);
        if !may_keep {
            handle = None;
        }
        let decided = attempt::decide_retry(state, request, &plan.decode, progress, &failure);
        if let Err(refusal) = decided {
            return failed_answer.ok_or(refusal);
        }
    }
}

/// Sends to decode engines with one KV cache: a refusal does not say whether the engine is full or
/// the KV cache cannot be had.
const MAX_HANDLE_SENDS: u32 = 1;

fn check_intake(
    request: &RelayRequest,
    progress: &RequestProgress,
    plan: &choose::EnginePlan,
) -> Result<(), RefusalAnswer> {
    let terms = refuse::IntakeTerms {
        target_latency_ms: request.route.target_latency_ms,
        priority: request.route.priority,
        left_ms: request.left_ms(),
        is_return: progress.arrivals > 0 || progress.has_prefill,
    };
    let decided = refuse::decide(&terms, plan.wait_ms, plan.first_token_ms, rand::random());
    let refuse::IntakeVerdict::Refuse { retry_after_ms } = decided else {
        return Ok(());
    };
    log::info!(
        id = request.id.as_str(), target_id = plan.decode.entry.id.as_str(),
        wait_ms = plan.wait_ms, expected_ms = plan.first_token_ms, left_ms = terms.left_ms;
        "intake_refused"
    );
    let refusal = RefusalAnswer::after(RefusalCause::TooLate, progress.verdict);
    Err(RefusalAnswer {
        retry_after_ms: refusal.retry_after_ms.map(|_| retry_after_ms),
        ..refusal
    })
}

async fn attempt<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
    plan: &choose::EnginePlan,
    handle: Option<&KvHandle>,
    last_event: Option<u64>,
) -> Result<StreamStart, AttemptFailure> {
    let until = first_event_until(request, progress, plan);
    let prefill_ms = request.elapsed_ms();
    let (tokens, transfer_ms, prompt_ms) = match handle {
        None => (plan.uncached_tokens, 0, plan.prompt_ms as u64),
        Some(_) => (0, (plan.first_token_ms - plan.wait_ms) as u64, 0),
    };
    let work = target::TargetWork::start(&plan.decode, tokens, transfer_ms);
    state.record_parts(&plan.decode, &request.parts, prompt_ms);
    let terms = edge::SendTerms {
        target_id: &plan.decode.entry.id,
        deadline_ms: request.left_ms(),
        urgency: Some(request.route.priority.min(MAX_URGENCY)),
        work: match handle {
            None => edge::SendWork::Whole,
            Some(handle) => edge::SendWork::Decode {
                source: handle.engine.entry.address,
                handle: &handle.name,
            },
        },
        fetch_from: match handle {
            None => plan.source,
            Some(_) => None,
        },
        last_event,
    };
    let answer = attempt::exchange(state, request, &plan.decode, &terms, until).await?;
    let mut started = read_start(request, plan, answer, work, until, last_event).await;
    if let Ok(StreamStart::Open(_, stream)) = &mut started {
        stream.prefill_ms = prefill_ms;
        stream.plan.prefill = handle.map(|handle| rc::Rc::clone(&handle.engine));
    }
    started
}

/// Lowest urgency that engines distinguish.
const MAX_URGENCY: u8 = 9;

/// Time until which the first event of this attempt is waited for.
fn first_event_until(
    request: &RelayRequest,
    progress: &RequestProgress,
    plan: &choose::EnginePlan,
) -> Instant {
    match may_go_on(request, progress) {
        false => request.deadline,
        true => {
            let expected = Duration::from_secs_f64(2.0 * plan.first_token_ms / 1_000.0);
            request
                .deadline
                .min(Instant::now() + expected + FIRST_EVENT_SLACK)
        }
    }
}

fn may_go_on(request: &RelayRequest, progress: &RequestProgress) -> bool {
    request.route.kind.is_repeatable() && progress.runs + 1 < request.route.max_attempts
}

async fn read_start(
    request: &RelayRequest,
    plan: &choose::EnginePlan,
    answer: attempt::OpenAnswer,
    work: target::TargetWork,
    until: Instant,
    last_event: Option<u64>,
) -> Result<StreamStart, AttemptFailure> {
    let record = |outcome| {
        plan.decode
            .judge
            .borrow_mut()
            .record(outcome, clock::now_ms())
    };
    let status = answer.head.status;
    if !status.is_success() {
        return match answer.collect(request.deadline).await {
            Ok((head, body)) => {
                let mut reply = http::Response::from_parts(head, Either::Left(Full::new(body)));
                remove_hop_headers(reply.headers_mut());
                Ok(StreamStart::Answered(reply, status))
            }
            Err(_) => Err(AttemptFailure::broken("the answer broke off")),
        };
    }
    if !answer.terms.signed {
        record(judge::TargetOutcome::Failed);
        return Err(AttemptFailure::broken("the answer has no signature"));
    }
    let (head, body, connection) = answer.into_stream();
    let mut reader = EventReader::new(body, last_event);
    match reader.next(until).await {
        Ok(first) => {
            work.end_prefill();
            let stream = OpenStream {
                reader,
                connection,
                work,
                first,
                plan: plan.clone(),
                prefill_ms: 0,
                intake: IntakeView::default(),
            };
            Ok(StreamStart::Open(Box::new(head), Box::new(stream)))
        }
        Err(error) => {
            record(judge::TargetOutcome::Failed);
            Err(read_failure(request, error))
        }
    }
}

fn read_failure(request: &RelayRequest, error: ReadError) -> AttemptFailure {
    match error {
        ReadError::Broken(message) => AttemptFailure::broken(message),
        ReadError::Late => AttemptFailure::timeout(request),
    }
}

/// A KV cache that an engine keeps for another one. It is released when dropped unused.
struct KvHandle {
    engine: rc::Rc<target::TargetState>,
    name: String,
    path: Option<String>,
}

impl KvHandle {
    /// The KV cache was taken.
    fn close(mut self) {
        self.path = None;
    }
}

impl Drop for KvHandle {
    fn drop(&mut self) {
        let Some(path) = self.path.take() else {
            return;
        };
        let engine = rc::Rc::clone(&self.engine);
        tokio::task::spawn_local(async move {
            let released = tokio::time::timeout(RELEASE_TIMEOUT, release(&engine, path)).await;
            let message = match released {
                Ok(Ok(())) => return,
                Ok(Err(message)) => message,
                Err(_) => "no answer in time".to_owned(),
            };
            // The engine drops the KV cache by itself after its lifetime.
            log::info!(target_id = engine.entry.id.as_str(), error = message.as_str(); "release_failed");
        });
    }
}

async fn release(engine: &target::TargetState, path: String) -> Result<(), String> {
    let mut connection = match engine.pool.take() {
        Some(connection) => connection,
        None => connection::TargetConnection::connect(engine.entry.address, RELEASE_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?,
    };
    let message = http::Request::delete(path)
        .header(http::header::HOST, engine.entry.address.to_string())
        .body(Full::default())
        .map_err(|error| error.to_string())?;
    let answer = connection
        .send(message)
        .await
        .map_err(|error| error.to_string())?;
    let body = http_body_util::BodyExt::collect(answer.into_body()).await;
    body.map_err(|error| error.to_string())?;
    engine.pool.put(connection, None);
    Ok(())
}

/// Has an engine process the prompt. A prompt that was processed has not run.
async fn prefill<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    plan: &choose::EnginePlan,
    engine: &rc::Rc<target::TargetState>,
    until: Instant,
) -> Result<KvHandle, AttemptFailure> {
    let work = target::TargetWork::start(engine, plan.uncached_tokens, 0);
    state.record_parts(engine, &request.parts, plan.prompt_ms as u64);
    let terms = edge::SendTerms {
        target_id: &engine.entry.id,
        deadline_ms: request.left_ms(),
        urgency: Some(request.route.priority.min(MAX_URGENCY)),
        work: edge::SendWork::Prefill,
        fetch_from: plan.source,
        last_event: None,
    };
    let not_run = |failure: AttemptFailure| AttemptFailure {
        verdict: Verdict::NotRun,
        ..failure
    };
    let answer = attempt::exchange(state, request, engine, &terms, until)
        .await
        .map_err(not_run)?;
    let record = |outcome| engine.judge.borrow_mut().record(outcome, clock::now_ms());
    let failed = |message: &str| AttemptFailure {
        verdict: Verdict::NotRun,
        retry: RetryReason::ConnectionBroken,
        cause: RefusalCause::TargetFailed,
        message: message.to_owned(),
    };
    match answer.collect(until).await {
        Ok((head, body)) if head.status == http::StatusCode::OK => {
            work.end_prefill();
            record(judge::TargetOutcome::Answered);
            let name = state
                .codec
                .read_handle(&body)
                .ok_or(failed("no handle in the answer"))?;
            Ok(KvHandle {
                engine: rc::Rc::clone(engine),
                path: Some(state.codec.handle_path(&name)),
                name,
            })
        }
        Ok((head, _)) => {
            record(judge::TargetOutcome::Failed);
            Err(failed(&format!("prefill: status {}", head.status)))
        }
        Err(error) => {
            record(judge::TargetOutcome::Failed);
            Err(failed(&format!("prefill: {error:?}")))
        }
    }
}

/// Forwards a stream to its caller.
struct StreamPump<Codec, Store> {
    state: state::SharedState<Codec, Store>,
    request: rc::Rc<RelayRequest>,
    progress: RequestProgress,
    sender: mpsc::Sender<StreamPart>,
    first_event: Instant,
}

/// How a stream at one engine ended.
enum StreamEnd {
    /// Its last event was forwarded.
    Complete,
    /// The caller left.
    Left,
    /// It broke.
    Failed(AttemptFailure),
}

impl<Codec: edge::CodecEdge, Store: edge::StoreEdge> StreamPump<Codec, Store> {
    async fn run(mut self, mut stream: OpenStream) {
        loop {
            let end = self.forward(&mut stream).await;
            let failure = match end {
                StreamEnd::Complete => return self.complete(stream),
                StreamEnd::Left => return self.log_end("caller_left", &stream),
                StreamEnd::Failed(failure) => failure,
            };
            let target = rc::Rc::clone(&stream.plan.decode);
            target
                .judge
                .borrow_mut()
                .record(judge::TargetOutcome::Failed, clock::now_ms());
            let last_event = stream.reader.last_id();
            self.log_end("stream_broken", &stream);
            // Closes the connection, so that the engine stops before another one goes on.
            drop(stream);
            match self.resume(&target, failure, last_event).await {
                Some(next) => stream = next,
                None => return self.abort().await,
            }
        }
    }

    async fn forward(&self, stream: &mut OpenStream) -> StreamEnd {
        let mut part = Ok(stream.first.take());
        loop {
            match part {
                Ok(Some(events)) => {
                    if self.sender.send(Ok(Frame::data(events))).await.is_err() {
                        return StreamEnd::Left;
                    }
                }
                Ok(None) => return StreamEnd::Complete,
                Err(error) => return StreamEnd::Failed(read_failure(&self.request, error)),
            }
            part = tokio::select! {
                () = self.sender.closed() => return StreamEnd::Left,
                part = stream.reader.next(self.next_until()) => part,
            };
        }
    }

    fn next_until(&self) -> Instant {
        match may_go_on(&self.request, &self.progress) {
            true => self.request.deadline.min(Instant::now() + MAX_GAP),
            false => self.request.deadline,
        }
    }

    /// Goes on with the stream at another engine.
    async fn resume(
        &mut self,
        target: &target::TargetState,
        failure: AttemptFailure,
        last_event: Option<u64>,
    ) -> Option<OpenStream> {
        let (state, request) = (&self.state, &self.request);
        let decided = attempt::decide_retry(state, request, target, &mut self.progress, &failure);
        let started = match decided {
            Ok(()) => {
                let start = start(state, request, &mut self.progress, last_event);
                tokio::select! {
                    () = self.sender.closed() => return None,
                    started = start => started,
                }
            }
            Err(refusal) => Err(refusal),
        };
        match started {
            Ok(StreamStart::Open(_, stream)) => {
                telemetry::count_retry(RetryReason::StreamResumed);
                log::info!(
                    id = request.id.as_str(), last_event = last_event.unwrap_or(0),
                    target_id = stream.plan.decode.entry.id.as_str();
                    "stream_resumed"
                );
                Some(*stream)
            }
            Ok(StreamStart::Answered(_, status)) => {
                log::info!(id = request.id.as_str(), status = status.as_u16(); "resume_failed");
                None
            }
            Err(refusal) => {
                log::info!(id = request.id.as_str(), cause = refusal.cause.as_str(); "resume_failed");
                None
            }
        }
    }

    fn complete(self, stream: OpenStream) {
        let judge = &stream.plan.decode.judge;
        judge
            .borrow_mut()
            .record(judge::TargetOutcome::Answered, clock::now_ms());
        telemetry::record_latency(
            &self.request.route.name,
            self.first_event - self.request.arrival,
        );
        self.log_end("answered", &stream);
        stream.connection.close();
        drop(stream.work);
    }

    /// Breaks the connection to the caller off, so that the stream does not look complete.
    async fn abort(self) {
        let error = io::Error::other("the stream broke off");
        // The caller may have left in the meantime.
        let _ = self.sender.send(Err(error)).await;
    }

    fn log_end(&self, event: &'static str, stream: &OpenStream) {
        let request = &self.request;
        let (plan, intake) = (&stream.plan, &stream.intake);
        let prefill = plan
            .prefill
            .as_ref()
            .map_or("", |engine| engine.entry.id.as_str());
        let first_ms = (self.first_event - request.arrival).as_millis() as u64;
        log::info!(
            id = request.id.as_str(), route = request.route.name.as_str(),
            target_id = plan.decode.entry.id.as_str(), prefill_id = prefill,
            sends = self.progress.sends, prompt = request.prompt_tokens(),
            uncached = intake.uncached_tokens, fetched = intake.is_fetched,
            expected_ms = intake.first_token_ms, wait_ms = intake.wait_ms,
            prefill_ms = stream.prefill_ms, first_ms = first_ms, last_event = stream.reader.last_id().unwrap_or(0),
            config = request.config_version, elapsed_ms = request.elapsed_ms();
            "{event}"
        );
    }
}
