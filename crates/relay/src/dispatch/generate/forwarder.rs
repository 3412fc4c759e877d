//! Forwards a stream to its caller and resumes it at another engine if it breaks.

use std::{
    cell::Cell,
    rc,
    time::{Duration, Instant},
};

use acaciabank_core::outlier;
use acaciabank_protocol::reason::RetryReason;
use bytes::Bytes;
use tokio::sync::mpsc;

use super::{
    OpenStream, StreamStart,
    interrupted::InterruptedGuard,
    may_retry, read_failure, start_stream,
    takeover::{StreamTakeover, TakeoverEnd},
};
use crate::{
    capacity,
    dispatch::{
        attempt::{self, AttemptFailure},
        events::ReadError,
        request::{RelayRequest, RequestProgress},
    },
    platform, state, target, telemetry,
};

/// Time without an event after which another engine is looked for that can resume the stream. It is
/// below the two seconds after which callers disconnect. The silent engine may be sound, so it is
/// given up only for another one.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1_000);

/// Longest wait for a caller to read if the configuration states no idle timeout.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Forwards the stream of a request to its caller.
pub struct StreamForwarder<Codec, Store> {
    pub state: state::SharedState<Codec, Store>,
    pub request: rc::Rc<RelayRequest>,
    pub progress: RequestProgress,
    /// Channel to the body of the response.
    pub sender: mpsc::Sender<Bytes>,
    /// Whether all events were sent to the caller. If it is not set when the channel closes, the
    /// connection to the caller is closed.
    pub is_complete: rc::Rc<Cell<bool>>,
    /// Time at which the first event arrived.
    pub first_event: Instant,
}

/// How the forwarding of one engine's stream ended.
enum StreamEnd {
    /// All events were forwarded.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The caller has read nothing for a long time.
    CallerStalled,
    /// The engine has sent no event for [`MAX_EVENT_GAP`], and another one may resume the stream.
    Silent,
    /// The engine's stream failed.
    Failed(AttemptFailure),
}

impl<Codec: platform::MessageCodec, Store: platform::PlatformStore> StreamForwarder<Codec, Store> {
    /// Forwards the stream to its end and resumes it at other engines as often as necessary.
    pub async fn run(mut self, stream: OpenStream) {
        let state = rc::Rc::clone(&self.state);
        let record = || state.shutdown.record_interrupted();
        let mut guard = InterruptedGuard::new(&self.request, &stream.plan.decode, record);
        self.run_to_end(stream, &mut guard).await;
        guard.close();
        let (service, priority) = (&self.request.service, self.request.priority);
        capacity::record_stream(&state, service, priority, self.first_event.elapsed());
    }

    async fn run_to_end(
        &mut self,
        mut stream: OpenStream,
        guard: &mut InterruptedGuard<impl Fn()>,
    ) {
        loop {
            guard.set_target(&stream.plan.decode);
            let end = self.forward(&mut stream, guard).await;
            let failure = match end {
                StreamEnd::Complete => return self.complete(stream),
                StreamEnd::CallerLeft => return self.log_end("caller_left", &stream),
                StreamEnd::CallerStalled => return self.log_end("caller_stalled", &stream),
                StreamEnd::Silent => match self.take_over(stream).await {
                    Some(next) => {
                        stream = next;
                        continue;
                    }
                    None => return,
                },
                StreamEnd::Failed(failure) => failure,
            };
            let target = rc::Rc::clone(&stream.plan.decode);
            self.state
                .record_outcome(&target, outlier::TargetOutcome::Failed);
            let last_event = stream.reader.last_id();
            self.log_end("stream_broken", &stream);
            // Closes the connection, so that this engine stops before another one resumes.
            drop(stream);
            match self.resume(&target, failure, last_event).await {
                Some(next) => stream = next,
                None => return,
            }
        }
    }

    async fn forward(
        &self,
        stream: &mut OpenStream,
        guard: &InterruptedGuard<impl Fn()>,
    ) -> StreamEnd {
        let stall_timeout = self.stall_timeout();
        loop {
            // A stream without events that has ended does not return any when it is read again.
            if let Some(events) = stream.first_events.take() {
                let sent = tokio::time::timeout(stall_timeout, self.sender.send(events));
                match sent.await {
                    Ok(Ok(())) => guard.record_event(stream.reader.last_id()),
                    Ok(Err(_)) => return StreamEnd::CallerLeft,
                    Err(_) => return StreamEnd::CallerStalled,
                }
            }
            let deadline = self.next_event_deadline();
            let next = tokio::select! {
                () = self.sender.closed() => return StreamEnd::CallerLeft,
                events = stream.reader.next(deadline) => events,
            };
            match next {
                Ok(Some(events)) => stream.first_events = Some(events),
                Ok(None) => return StreamEnd::Complete,
                Err(ReadError::Timeout) if deadline < self.request.deadline => {
                    return StreamEnd::Silent;
                }
                Err(error) => return StreamEnd::Failed(read_failure(&self.request, error)),
            }
        }
    }

    /// Returns how long a caller may take to read the next events: as long as it may leave its
    /// connection idle.
    fn stall_timeout(&self) -> Duration {
        let config = self.state.config();
        let limits = config.as_ref().map(|config| &config.limits);
        limits.map_or(DEFAULT_STALL_TIMEOUT, |limits| {
            Duration::from_millis(limits.idle_timeout_ms)
        })
    }

    fn next_event_deadline(&self) -> Instant {
        match may_retry(&self.request, &self.progress) {
            true => self.request.deadline.min(Instant::now() + MAX_EVENT_GAP),
            false => self.request.deadline,
        }
    }

    /// Has another engine go on with the stream of a silent one, or keeps the silent one; `None` if
    /// neither goes on or the caller has left.
    async fn take_over(&mut self, stream: OpenStream) -> Option<OpenStream> {
        let target = rc::Rc::clone(&stream.plan.decode);
        let last_event = stream.reader.last_id();
        self.log_end("stream_silent", &stream);
        let takeover = StreamTakeover {
            state: &self.state,
            request: &self.request,
            progress: &mut self.progress,
        };
        let end = tokio::select! {
            () = self.sender.closed() => {
                log::info!(id = self.request.id.as_str(); "caller_left");
                return None;
            }
            end = takeover.run(stream) => end,
        };
        let record_failed = || {
            let outcome = outlier::TargetOutcome::Failed;
            self.state.record_outcome(&target, outcome);
        };
        let id = self.request.id.as_str();
        match end {
            TakeoverEnd::Kept(stream) => Some(stream),
            TakeoverEnd::TakenOver(stream) => {
                record_failed();
                telemetry::count_retry(RetryReason::FirstTokenTimeout);
                self.log_resumed(&stream, last_event);
                Some(stream)
            }
            TakeoverEnd::Failed(Ok(status)) => {
                record_failed();
                log::info!(id = id, status = status.as_u16(); "resume_failed");
                None
            }
            TakeoverEnd::Failed(Err(refusal)) => {
                record_failed();
                log::info!(id = id, cause = refusal.cause.as_str(); "resume_failed");
                None
            }
        }
    }

    fn log_resumed(&self, stream: &OpenStream, last_event: Option<u64>) {
        telemetry::count_retry(RetryReason::StreamResumed);
        log::info!(
            id = self.request.id.as_str(), last_event = last_event.unwrap_or(0),
            target_id = stream.plan.decode.entry.id.as_str(), software = stream.plan.decode.entry.software.as_str();
            "stream_resumed"
        );
    }

    /// Resumes the stream at another engine; `None` if that is not possible.
    async fn resume(
        &mut self,
        target: &target::TargetState,
        failure: AttemptFailure,
        last_event: Option<u64>,
    ) -> Option<OpenStream> {
        let (state, request) = (&self.state, &self.request);
        let decided = attempt::decide_retry(request, target, &mut self.progress, &failure);
        let started = match decided {
            Ok(()) => {
                let starting = start_stream(state, request, &mut self.progress, last_event);
                tokio::select! {
                    () = self.sender.closed() => {
                        log::info!(id = request.id.as_str(); "caller_left");
                        return None;
                    }
                    started = starting => started,
                }
            }
            Err(refusal) => Err(refusal),
        };
        match started {
            Ok(StreamStart::Open(_, stream)) => {
                self.log_resumed(&stream, last_event);
                Some(*stream)
            }
            Ok(StreamStart::ErrorResponse(_, status)) => {
                log::info!(id = request.id.as_str(), status = status.as_u16(); "resume_failed");
                None
            }
            Err(refusal) => {
                log::info!(id = request.id.as_str(), cause = refusal.cause.as_str(); "resume_failed");
                None
            }
        }
    }

    fn complete(&self, stream: OpenStream) {
        self.state
            .record_outcome(&stream.plan.decode, outlier::TargetOutcome::Answered);
        telemetry::record_latency(
            &self.request.route.name,
            self.first_event - self.request.arrival,
        );
        let request = &self.request;
        let rest = self.first_event.elapsed();
        self.state
            .shutdown
            .record_rest(&request.route.name, rest, request.max_tokens());
        self.is_complete.set(true);
        self.log_end("answered", &stream);
        stream.connection.close();
        drop(stream.work);
    }

    fn log_end(&self, event: &'static str, stream: &OpenStream) {
        let request = &self.request;
        let (plan, estimate) = (&stream.plan, &stream.estimate);
        let prefill = plan
            .prefill
            .as_ref()
            .map_or("", |engine| engine.entry.id.as_str());
        let placed_by = match plan.assigned {
            Some(_) => "scheduler",
            None => "own",
        };
        let first_ms = (self.first_event - request.arrival).as_millis() as u64;
        log::info!(
            id = request.id.as_str(), route = request.route.name.as_str(),
            team = request.team_label(),
            target_id = plan.decode.entry.id.as_str(), software = plan.decode.entry.software.as_str(), prefill_id = prefill,
            placed_by = placed_by, sends = self.progress.sends, denials = self.progress.denials, prompt = request.prompt_tokens(),
            uncached = estimate.uncached_tokens, fetched = estimate.is_fetched,
            expected_ms = estimate.first_token_ms, wait_ms = estimate.wait_ms,
            prefill_ms = stream.prefill_ms, first_ms = first_ms, last_event = stream.reader.last_id().unwrap_or(0),
            config = request.config_version, elapsed_ms = request.elapsed_ms();
            "{event}"
        );
    }
}
