//! Takeover of a stream from an engine that is silent. The engine may be sound and go on, so its
//! stream is given up only when another engine works on the request.

use std::{
    future,
    time::{Duration, Instant},
};

use acaciabank_core::budget;
use acaciabank_protocol::verdict::Verdict;

use super::{OpenStream, StreamStart, start_stream};
use crate::{
    dispatch::{
        attempt,
        events::ReadError,
        refusal::RefusalResponse,
        request::{RelayRequest, RequestProgress},
    },
    platform, state,
};

/// Time from the first call that is not refused until the silent engine is given up, also if that
/// call fails meanwhile and a further engine is called. Two engines must not work on a request for
/// more than 400 ms, which includes the way of the close.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// How a takeover ended.
pub enum TakeoverEnd {
    /// Another engine goes on with the stream.
    TakenOver(OpenStream),
    /// The engine is kept: it goes on, or no other engine takes the request.
    Kept(OpenStream),
    /// Neither engine goes on.
    Failed(Result<http::StatusCode, RefusalResponse>),
}

/// The silent stream, and the attempts to have another engine go on with it.
pub struct StreamTakeover<'a, Codec, Store> {
    pub state: &'a state::SharedState<Codec, Store>,
    pub request: &'a RelayRequest,
    /// Progress of the request; it counts the silent engine as running.
    pub progress: &'a mut RequestProgress,
}

/// What happened first while another engine was being looked for.
enum TakeoverEvent {
    /// The silent engine sent events, or ended its stream.
    Resumed(OpenStream, Option<bytes::Bytes>),
    /// The attempts at other engines ended. The silent stream is given if it is still open.
    Started(Result<StreamStart, RefusalResponse>, Option<OpenStream>),
    /// The time for attempts at other engines is over, and none of them is under way.
    Unanswered(OpenStream),
}

impl<Codec: platform::MessageCodec, Store: platform::PlatformStore>
    StreamTakeover<'_, Codec, Store>
{
    /// Looks for another engine while the silent one may still go on.
    pub async fn run(self, stream: OpenStream) -> TakeoverEnd {
        let silent_hash = stream.plan.decode.hash;
        let last_event = stream.reader.last_id();
        let mut progress = self.progress.clone();
        progress.verdict = progress.verdict.combine(Verdict::MayHaveRun);
        progress.excluded.push(silent_hash);
        progress.runs += 1;
        if progress.takeover_sends >= attempt::MAX_REFUSALS {
            return TakeoverEnd::Kept(stream);
        }
        self.request.sent.clear();
        let starting = start_stream(self.state, self.request, &mut progress, last_event);
        let event = wait_event(self.request, stream, starting).await;
        let is_sent = self.request.sent.clear();
        let kept = match event {
            TakeoverEvent::Started(Ok(StreamStart::Open(_, next)), _) => {
                *self.progress = progress;
                return TakeoverEnd::TakenOver(*next);
            }
            TakeoverEvent::Started(Ok(StreamStart::ErrorResponse(_, status)), None) => {
                return TakeoverEnd::Failed(Ok(status));
            }
            TakeoverEvent::Started(Err(refusal), None) => {
                return TakeoverEnd::Failed(Err(refusal));
            }
            TakeoverEvent::Started(started, Some(stream)) => {
                progress.runs += u32::from(is_uncounted_run(&started));
                stream
            }
            TakeoverEvent::Unanswered(stream) => stream,
            TakeoverEvent::Resumed(mut stream, events) => {
                progress.runs += u32::from(is_sent);
                // Ends the charge of a call that was given up; it is not refunded.
                let _: bool = progress.ledger.record_run(budget::CallOutcome::Failed);
                stream.first_events = events;
                stream
            }
        };
        // The engine has not failed: it still runs the request.
        *self.progress = progress.after_kept(silent_hash, self.progress);
        TakeoverEnd::Kept(kept)
    }
}

/// Whether the attempts ended with a run that is not counted yet: a response with an error that is
/// not retried. A server's error is retried, and counted when that is decided.
fn is_uncounted_run(started: &Result<StreamStart, RefusalResponse>) -> bool {
    match started {
        Ok(StreamStart::ErrorResponse(_, status)) => !status.is_server_error(),
        Ok(StreamStart::Open(..)) | Err(_) => false,
    }
}

/// Waits until the silent stream goes on or the attempts at other engines end. The silent stream is
/// dropped, which closes its connection, when it breaks or when another engine works on the
/// request. It is kept if the other attempts have failed and no further engine is found in time.
async fn wait_event(
    request: &RelayRequest,
    stream: OpenStream,
    starting: impl Future<Output = Result<StreamStart, RefusalResponse>>,
) -> TakeoverEvent {
    let mut silent = Some(stream);
    let mut starting = std::pin::pin!(starting);
    let mut taken_over = std::pin::pin!(request.sent.wait_elapsed(REFUSAL_TIME));
    loop {
        let is_silent = silent.is_some();
        tokio::select! {
            biased;
            started = starting.as_mut() => return TakeoverEvent::Started(started, silent),
            next = next_events(silent.as_mut(), request.deadline) => {
                // A stream that broke is dropped here.
                if let (Ok(events), Some(stream)) = (next, silent.take()) {
                    return TakeoverEvent::Resumed(stream, events);
                }
            }
            () = taken_over.as_mut(), if is_silent => {
                let kept = silent.take().filter(|_| !request.sent.is_under_way());
                if let Some(stream) = kept {
                    return TakeoverEvent::Unanswered(stream);
                }
            }
        }
    }
}

/// Returns the next events of a stream; never returns without a stream.
async fn next_events(
    stream: Option<&mut OpenStream>,
    deadline: Instant,
) -> Result<Option<bytes::Bytes>, ReadError> {
    match stream {
        Some(stream) => stream.reader.next(deadline).await,
        None => future::pending().await,
    }
}
