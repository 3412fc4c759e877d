//! One run: the dispatch, its whole answer and what is recorded of it.

use std::sync::Arc;

use acaciabank_core::once::RunOutcome;
use acaciabank_protocol::{ids, reason, verdict, wire};
use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;

use super::REPLAY_HEADER;
use crate::{dispatch, process};

/// Bytes of a keyed answer at most; it is held in memory as a whole.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Answer of a run as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RecordedAnswer {
    pub(super) status: u16,
    pub(super) content_type: Option<String>,
    pub(super) body: Bytes,
}

/// What a run gave.
pub(super) struct RunResult {
    pub(super) outcome: RunOutcome,
    /// Answer to record; present when the outcome is `Answered`.
    pub(super) recorded: Option<Arc<RecordedAnswer>>,
    /// What the caller gets.
    pub(super) answer: Result<dispatch::CallerResponse, reason::Refusal>,
}

/// Dispatches a request and collects its answer. The intent must be committed.
pub(super) async fn run(
    state: &process::SharedState,
    mut request: dispatch::CallerRequest,
) -> RunResult {
    request.idempotent = false;
    let id = request.id.clone();
    match dispatch::dispatch(state, request).await {
        Ok(answer) => collect(answer, &id).await,
        Err(refusal) => refused(refusal),
    }
}

fn refused(refusal: reason::Refusal) -> RunResult {
    let outcome = match refusal.verdict {
        verdict::Verdict::NotRun => RunOutcome::NotRun,
        verdict::Verdict::MayHaveRun | verdict::Verdict::Ran => RunOutcome::MayHaveRun,
    };
    RunResult {
        outcome,
        recorded: None,
        answer: Err(refusal),
    }
}

async fn collect(mut answer: dispatch::CallerResponse, request: &ids::RequestId) -> RunResult {
    let outcome = head_outcome(&answer);
    let body = match collect_body(&mut answer.body).await {
        Ok(body) => body,
        // A head was received, so the target has at least begun to run the request.
        Err(refusal) => {
            let verdict = refusal.verdict.and(verdict::Verdict::MayHaveRun);
            return refused(reason::Refusal { verdict, ..refusal });
        }
    };
    let Some(body) = body else {
        return oversized(request, outcome);
    };
    let content_type = answer
        .headers
        .get(http::header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let recorded = RecordedAnswer {
        status: answer.status.as_u16(),
        content_type,
        body: body.clone(),
    };
    answer.body = whole_body(body);
    RunResult {
        outcome,
        recorded: (outcome == RunOutcome::Answered).then(|| Arc::new(recorded)),
        answer: Ok(answer),
    }
}

/// A status of 500 or more does not tell whether the request took effect, unless the target states
/// that it refused before running.
fn head_outcome(answer: &dispatch::CallerResponse) -> RunOutcome {
    let states_not_run = answer
        .headers
        .get(wire::VERDICT_HEADER)
        .is_some_and(|value| value == verdict::Verdict::NotRun.as_str());
    let is_refusal = !answer.status.is_success();
    if is_refusal && states_not_run {
        return RunOutcome::NotRun;
    }
    match answer.status.is_server_error() {
        true => RunOutcome::MayHaveRun,
        false => RunOutcome::Answered,
    }
}

/// The whole body, or `None` when it is over the limit; it is then read to its end and dropped, so
/// that the run is not interrupted.
async fn collect_body(
    parts: &mut mpsc::Receiver<Result<Bytes, reason::Refusal>>,
) -> Result<Option<Bytes>, reason::Refusal> {
    let mut body = BytesMut::new();
    let mut is_over_limit = false;
    while let Some(part) = parts.recv().await {
        let part = part?;
        is_over_limit |= body.len() + part.len() > MAX_RESPONSE_BYTES;
        match is_over_limit {
            true => body.clear(),
            false => body.extend_from_slice(&part),
        }
    }
    Ok((!is_over_limit).then(|| body.freeze()))
}

/// The request ran to its end, so its key must not become free; a refusal is recorded as answer.
fn oversized(request: &ids::RequestId, outcome: RunOutcome) -> RunResult {
    let refusal = reason::Refusal::with_verdict(
        reason::RefusalReason::TargetFailed,
        verdict::Verdict::Ran,
        format!("the answer is larger than {MAX_RESPONSE_BYTES} bytes and was not kept"),
    );
    let recorded = RecordedAnswer {
        status: refusal.reason.status(),
        content_type: Some("application/json".to_owned()),
        body: refusal.to_json(Some(request)).to_string().into(),
    };
    RunResult {
        outcome,
        recorded: (outcome == RunOutcome::Answered).then(|| Arc::new(recorded)),
        answer: Err(refusal),
    }
}

/// The recorded answer as a caller gets it.
pub(super) fn replay(recorded: &RecordedAnswer) -> dispatch::CallerResponse {
    let mut headers = http::HeaderMap::new();
    let content_type = recorded
        .content_type
        .as_deref()
        .and_then(|value| http::HeaderValue::from_str(value).ok());
    if let Some(value) = content_type {
        headers.insert(http::header::CONTENT_TYPE, value);
    }
    headers.insert(REPLAY_HEADER, http::HeaderValue::from_static("true"));
    dispatch::CallerResponse {
        status: http::StatusCode::from_u16(recorded.status).unwrap_or(http::StatusCode::OK),
        headers,
        target: None,
        body: whole_body(recorded.body.clone()),
    }
}

fn whole_body(body: Bytes) -> mpsc::Receiver<Result<Bytes, reason::Refusal>> {
    let (sender, receiver) = mpsc::channel(1);
    // The channel is new and has room for one part.
    let _ = sender.try_send(Ok(body));
    receiver
}
