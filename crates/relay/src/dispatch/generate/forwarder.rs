//! Forwarding of a stream to its caller, and its resumption at another engine.

use std::{
    io, rc,
    time::{Duration, Instant},
};

use acaciabank_core::judge;
use acaciabank_protocol::reason::RetryReason;
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::{OpenStream, StreamPart, StreamStart, may_retry, read_failure, start};
use crate::{
    dispatch::{
        attempt::{self, AttemptFailure},
        request::{RelayRequest, RequestProgress},
    },
    platform, state, target, telemetry,
};

/// Longest silence of an engine in a stream that another engine can go on with. Callers leave after
/// two seconds.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1_000);

/// Forwards a stream to its caller.
pub struct StreamForwarder<Codec, Store> {
    pub state: state::SharedState<Codec, Store>,
    pub request: rc::Rc<RelayRequest>,
    pub progress: RequestProgress,
    pub sender: mpsc::Sender<StreamPart>,
    /// Time of the first event.
    pub first_event: Instant,
}

/// How a stream at one engine ended.
enum StreamEnd {
    /// Its last event was forwarded.
    Complete,
    /// The caller left.
    CallerLeft,
    /// It broke.
    Failed(AttemptFailure),
}

impl<Codec: platform::MessageCodec, Store: platform::PlatformStore> StreamForwarder<Codec, Store> {
    /// Forwards the stream to its end, at as many engines as that takes.
    pub async fn run(mut self, mut stream: OpenStream) {
        loop {
            let end = self.forward(&mut stream).await;
            let failure = match end {
                StreamEnd::Complete => return self.complete(stream),
                StreamEnd::CallerLeft => return self.log_end("caller_left", &stream),
                StreamEnd::Failed(failure) => failure,
            };
            let target = rc::Rc::clone(&stream.plan.decode);
            self.state
                .record_outcome(&target, judge::TargetOutcome::Failed);
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
                        return StreamEnd::CallerLeft;
                    }
                }
                Ok(None) => return StreamEnd::Complete,
                Err(error) => return StreamEnd::Failed(read_failure(&self.request, error)),
            }
            part = tokio::select! {
                () = self.sender.closed() => return StreamEnd::CallerLeft,
                part = stream.reader.next(self.next_event_deadline()) => part,
            };
        }
    }

    fn next_event_deadline(&self) -> Instant {
        match may_retry(&self.request, &self.progress) {
            true => self.request.deadline.min(Instant::now() + MAX_EVENT_GAP),
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
        let decided = attempt::decide_retry(request, target, &mut self.progress, &failure);
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
        self.state
            .record_outcome(&stream.plan.decode, judge::TargetOutcome::Answered);
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
        let placed_by = match plan.assigned {
            Some(_) => "scheduler",
            None => "own",
        };
        let first_ms = (self.first_event - request.arrival).as_millis() as u64;
        log::info!(
            id = request.id.as_str(), route = request.route.name.as_str(),
            target_id = plan.decode.entry.id.as_str(), prefill_id = prefill,
            placed_by = placed_by, sends = self.progress.sends, prompt = request.prompt_tokens(),
            uncached = intake.uncached_tokens, fetched = intake.is_fetched,
            expected_ms = intake.first_token_ms, wait_ms = intake.wait_ms,
            prefill_ms = stream.prefill_ms, first_ms = first_ms, last_event = stream.reader.last_id().unwrap_or(0),
            config = request.config_version, elapsed_ms = request.elapsed_ms();
            "{event}"
        );
    }
}
