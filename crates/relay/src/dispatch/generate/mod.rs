//! Generation requests: the prompt and the stream at one engine or at two.

mod forwarder;
mod handle;

use std::{
    io, rc,
    time::{Duration, Instant},
};

use acaciabank_core::{judge, refuse};
use acaciabank_protocol::reason::RetryReason;
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::{
    attempt::{self, AttemptFailure},
    engines,
    events::{EventReader, ReadError},
    refusal::{RefusalResponse, Reply},
    request::{RelayRequest, RequestProgress},
};
use crate::{connection, platform, state, target, telemetry::RefusalCause};
use handle::KvHandle;

/// Parts of a stream that wait for the caller; a caller that does not read stops the engine.
const CHANNEL_CAPACITY: usize = 8;
/// Time for the first event of such a stream, besides twice the expected one.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(1_500);

/// A stream whose first events have arrived.
struct OpenStream {
    reader: EventReader,
    connection: attempt::OpenConnection,
    work: engines::EngineWork,
    first: Option<Bytes>,
    plan: engines::EnginePlan,
    /// Time from the arrival of the request until its prompt was processed elsewhere.
    prefill_ms: u64,
    /// What was expected when the request was taken in.
    intake: LatencyEstimate,
}

/// What was expected of a request when it was taken in, for its log line.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyEstimate {
    uncached_tokens: u64,
    first_token_ms: f64,
    wait_ms: f64,
    is_fetched: bool,
}

impl LatencyEstimate {
    fn of(plan: &engines::EnginePlan) -> Self {
        Self {
            uncached_tokens: plan.uncached_tokens,
            first_token_ms: plan.first_token_ms,
            wait_ms: plan.wait_ms,
            is_fetched: plan.source.is_some(),
        }
    }
}

/// What an attempt ends in.
enum StreamStart {
    /// The stream has begun.
    Open(Box<http::response::Parts>, Box<OpenStream>),
    /// The engine answered with a status of its own.
    Answered(Reply, http::StatusCode),
}

/// Runs a request up to its first event; the rest of the stream follows in a task.
pub async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: rc::Rc<RelayRequest>,
    mut progress: RequestProgress,
) -> Result<Reply, RefusalResponse> {
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
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let forwarder = forwarder::StreamForwarder {
        state: rc::Rc::clone(state),
        request,
        progress,
        sender,
        first_event: Instant::now(),
    };
    tokio::task::spawn_local(forwarder.run(*stream));
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
    connection::remove_hop_headers(reply.headers_mut());
    reply
}

/// Attempts until a stream has begun after `last_event`.
async fn start<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &mut RequestProgress,
    last_event: Option<u64>,
) -> Result<StreamStart, RefusalResponse> {
    let mut starter = StreamStarter::default();
    loop {
        match starter.step(state, request, progress, last_event).await {
            Ok(Some(started)) => return Ok(started),
            Ok(None) => {}
            // An engine's own answer says more than a refusal.
            Err(refusal) => return starter.failed_response.ok_or(refusal),
        }
    }
}

/// What the attempts to begin a stream have brought so far.
#[derive(Default)]
struct StreamStarter {
    /// KV cache of the prompt at an engine that has processed it.
    handle: Option<KvHandle>,
    /// Answer of an engine that failed, for when no other one succeeds.
    failed_response: Option<StreamStart>,
    intake: LatencyEstimate,
}

impl StreamStarter {
    /// One call to an engine; the stream if it has begun.
    async fn step<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
        &mut self,
        state: &state::SharedState<Codec, Store>,
        request: &RelayRequest,
        progress: &mut RequestProgress,
        last_event: Option<u64>,
    ) -> Result<Option<StreamStart>, RefusalResponse> {
        let prefilled = self.handle.as_ref().map(|handle| &handle.engine);
        let plan = match engines::engine_plan(state, request, progress, prefilled).await {
            Ok(plan) => plan,
            // The engine with the KV cache may have gone; the others can still do all of it.
            Err(_) if self.handle.take().is_some() => return Ok(None),
            Err(refusal) => return Err(refusal),
        };
        if self.handle.is_none() {
            check_intake(request, progress, &plan)?;
            self.intake = LatencyEstimate::of(&plan);
        }
        match &plan.prefill {
            Some(engine) if self.handle.is_none() => {
                let taken = prefill(state, request, progress, &plan, engine).await?;
                self.handle = taken;
                Ok(None)
            }
            _ => self.send(state, request, progress, &plan, last_event).await,
        }
    }

    /// Sends the request to the engine that generates.
    async fn send<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
        &mut self,
        state: &state::SharedState<Codec, Store>,
        request: &RelayRequest,
        progress: &mut RequestProgress,
        plan: &engines::EnginePlan,
        last_event: Option<u64>,
    ) -> Result<Option<StreamStart>, RefusalResponse> {
        let kind = attempt::CallKind::Run;
        attempt::reserve_retry(state, request, progress, kind)?;
        progress.sends += 1;
        let handle = self.handle.as_ref();
        let result = attempt(state, request, progress, plan, handle, last_event).await;
        attempt::record_call(state, request, progress, kind, &result);
        let failure = match result {
            Ok(StreamStart::Answered(reply, status))
                if status.is_server_error() && request.route.kind.is_repeatable() =>
            {
                self.failed_response = Some(StreamStart::Answered(reply, status));
                AttemptFailure::broken(format!("the engine answered with status {status}"))
            }
            Ok(mut started) => {
                self.handle.take().into_iter().for_each(KvHandle::close);
                if let StreamStart::Open(_, stream) = &mut started {
                    stream.intake = self.intake;
                }
                return Ok(Some(started));
            }
            Err(failure) => failure,
        };
        let is_refused = failure.retry == RetryReason::TargetRefused;
        let may_keep = failure.is_unsent() || (is_refused && progress.sends <= MAX_HANDLE_SENDS);
        if !may_keep {
            self.handle = None;
        }
        attempt::decide_retry(request, &plan.decode, progress, &failure)?;
        Ok(None)
    }
}

/// Has an engine process the prompt; nothing if it failed and another one may be tried.
async fn prefill<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &mut RequestProgress,
    plan: &engines::EnginePlan,
    engine: &rc::Rc<target::TargetState>,
) -> Result<Option<KvHandle>, RefusalResponse> {
    let kind = attempt::CallKind::Prefill;
    attempt::reserve_retry(state, request, progress, kind)?;
    let until = first_event_deadline(request, progress, plan);
    let result = handle::prefill(state, request, plan, engine, until).await;
    attempt::record_call(state, request, progress, kind, &result);
    match result {
        Ok(taken) => Ok(Some(taken)),
        Err(failure) => {
            attempt::decide_retry(request, engine, progress, &failure)?;
            Ok(None)
        }
    }
}

/// Sends to decode engines with one KV cache: a refusal does not say whether the engine is full or
/// the KV cache cannot be had.
const MAX_HANDLE_SENDS: u32 = 1;

fn check_intake(
    request: &RelayRequest,
    progress: &RequestProgress,
    plan: &engines::EnginePlan,
) -> Result<(), RefusalResponse> {
    let terms = request.intake_terms(progress);
    let decided = refuse::decide(&terms, plan.wait_ms, plan.first_token_ms, rand::random());
    let refuse::IntakeVerdict::Refuse { retry_after_ms } = decided else {
        return Ok(());
    };
    log::info!(
        id = request.id.as_str(), target_id = plan.decode.entry.id.as_str(),
        wait_ms = plan.wait_ms, expected_ms = plan.first_token_ms, left_ms = terms.left_ms;
        "intake_refused"
    );
    let refusal = RefusalResponse::after(RefusalCause::TooLate, progress.verdict);
    Err(RefusalResponse {
        retry_after_ms: refusal.retry_after_ms.map(|_| retry_after_ms),
        ..refusal
    })
}

async fn attempt<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
    plan: &engines::EnginePlan,
    handle: Option<&KvHandle>,
    last_event: Option<u64>,
) -> Result<StreamStart, AttemptFailure> {
    let until = first_event_deadline(request, progress, plan);
    let prefill_ms = request.elapsed_ms();
    let work = plan.start_work(state, &request.parts, handle.is_some());
    let terms = platform::ForwardMetadata {
        target_id: &plan.decode.entry.id,
        deadline_ms: request.time_left_ms(),
        urgency: Some(request.route.priority.min(MAX_URGENCY)),
        task: match handle {
            None => platform::EngineTask::Whole,
            Some(handle) => platform::EngineTask::Decode {
                source: handle.engine.entry.address,
                handle: &handle.name,
            },
        },
        fetch_from: match handle {
            None => plan.source_address(),
            Some(_) => None,
        },
        last_event,
    };
    let answer = attempt::exchange(state, request, &plan.decode, &terms, until).await?;
    let mut started = read_start(state, request, plan, answer, work, until, last_event).await;
    if let Ok(StreamStart::Open(_, stream)) = &mut started {
        stream.prefill_ms = prefill_ms;
        stream.plan.prefill = handle.map(|handle| rc::Rc::clone(&handle.engine));
    }
    started
}

/// Lowest urgency that engines distinguish.
const MAX_URGENCY: u8 = 9;

/// Time until which the first event of this attempt is waited for.
fn first_event_deadline(
    request: &RelayRequest,
    progress: &RequestProgress,
    plan: &engines::EnginePlan,
) -> Instant {
    match may_retry(request, progress) {
        false => request.deadline,
        true => {
            let expected = Duration::from_secs_f64(2.0 * plan.first_token_ms / 1_000.0);
            request
                .deadline
                .min(Instant::now() + expected + FIRST_EVENT_SLACK)
        }
    }
}

fn may_retry(request: &RelayRequest, progress: &RequestProgress) -> bool {
    request.route.kind.is_repeatable() && progress.runs + 1 < request.route.max_attempts
}

async fn read_start<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    plan: &engines::EnginePlan,
    answer: attempt::OpenResponse,
    work: engines::EngineWork,
    until: Instant,
    last_event: Option<u64>,
) -> Result<StreamStart, AttemptFailure> {
    let record = |outcome| state.record_outcome(&plan.decode, outcome);
    let status = answer.head.status;
    if !status.is_success() {
        return match answer.collect(request.deadline).await {
            Ok((head, body)) => {
                let mut reply = http::Response::from_parts(head, Either::Left(Full::new(body)));
                connection::remove_hop_headers(reply.headers_mut());
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
            work.end_prefill(state, &request.parts);
            let stream = OpenStream {
                reader,
                connection,
                work,
                first,
                plan: plan.clone(),
                prefill_ms: 0,
                intake: LatencyEstimate::default(),
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
        ReadError::Timeout => AttemptFailure::timeout(request),
    }
}
