//! Dispatch of a keyed request, collection of its response and the outcome to record.

use std::sync::Arc;

use acaciabank_core::idempotency::RunOutcome;
use acaciabank_protocol::{ids, reason, verdict, wire};
use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;

use super::REPLAY_HEADER;
use crate::{dispatch, process};

/// Maximum size of the response to a keyed request, which is held in memory as a whole.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Response of a keyed request as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RecordedResponse {
    pub(super) status: u16,
    pub(super) content_type: Option<String>,
    pub(super) body: Bytes,
}

/// Result of a dispatch.
pub(super) struct RunResult {
    pub(super) outcome: RunOutcome,
    /// Response to record; present if the outcome is `Answered`.
    pub(super) recorded: Option<Arc<RecordedResponse>>,
    /// Response or refusal for the caller.
    pub(super) response: Result<dispatch::CallerResponse, reason::Refusal>,
}

/// Dispatches a request and collects its response. The intent must have been committed before.
pub(super) async fn run(
    state: &process::SharedState,
    mut request: dispatch::CallerRequest,
) -> RunResult {
    request.idempotent = false;
    let id = request.id.clone();
    match dispatch::dispatch(state, request).await {
        Ok(response) => collect(response, &id).await,
        Err(refusal) => refused_result(refusal),
    }
}

fn refused_result(refusal: reason::Refusal) -> RunResult {
    let outcome = match refusal.verdict {
        verdict::Verdict::NotRun => RunOutcome::NotRun,
        verdict::Verdict::MayHaveRun | verdict::Verdict::Ran => RunOutcome::MayHaveRun,
    };
    RunResult {
        outcome,
        recorded: None,
        response: Err(refusal),
    }
}

async fn collect(mut response: dispatch::CallerResponse, request: &ids::RequestId) -> RunResult {
    let outcome = outcome_of_head(&response);
    let body = match collect_body(&mut response.body).await {
        Ok(body) => body,
        // A head was received, so the target has at least started to run the request.
        Err(refusal) => {
            let verdict = refusal.verdict.combine(verdict::Verdict::MayHaveRun);
            return refused_result(reason::Refusal { verdict, ..refusal });
        }
    };
    let Some(body) = body else {
        return oversized_result(request, outcome);
    };
    let content_type = response
        .headers
        .get(http::header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let recorded = RecordedResponse {
        status: response.status.as_u16(),
        content_type,
        body: body.clone(),
    };
    response.body = whole_body(body);
    RunResult {
        outcome,
        recorded: (outcome == RunOutcome::Answered).then(|| Arc::new(recorded)),
        response: Ok(response),
    }
}

/// Outcome according to the head of a response. A status of 500 or more leaves unknown whether the
/// request took effect, unless the target states that it did not run it.
fn outcome_of_head(response: &dispatch::CallerResponse) -> RunOutcome {
    let states_not_run = response
        .headers
        .get(wire::VERDICT_HEADER)
        .is_some_and(|value| value == verdict::Verdict::NotRun.as_str());
    let is_refusal = !response.status.is_success();
    if is_refusal && states_not_run {
        return RunOutcome::NotRun;
    }
    match response.status.is_server_error() {
        true => RunOutcome::MayHaveRun,
        false => RunOutcome::Answered,
    }
}

/// Collects the body. Returns `None` if it is over the limit; it is then still read to its end, so
/// that the request is not interrupted.
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

/// Result for a response over the limit. The request ran, so its key must not be released; a
/// refusal is recorded as the response.
fn oversized_result(request: &ids::RequestId, outcome: RunOutcome) -> RunResult {
    let refusal = reason::Refusal::with_verdict(
        reason::RefusalReason::TargetFailed,
        verdict::Verdict::Ran,
        format!("the answer is larger than {MAX_RESPONSE_BYTES} bytes and was not kept"),
    );
    let recorded = RecordedResponse {
        status: refusal.reason.status(),
        content_type: Some("application/json".to_owned()),
        body: refusal.to_json(Some(request)).to_string().into(),
    };
    RunResult {
        outcome,
        recorded: (outcome == RunOutcome::Answered).then(|| Arc::new(recorded)),
        response: Err(refusal),
    }
}

/// Creates the response to a caller from a recorded one.
pub(super) fn replay(recorded: &RecordedResponse) -> dispatch::CallerResponse {
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
    // The new channel has capacity for one part.
    let _ = sender.try_send(Ok(body));
    receiver
}
