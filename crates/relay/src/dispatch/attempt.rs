//! One exchange with a target, the verdict when it fails, and the decision about another one.

use std::{
    rc,
    time::{Duration, Instant},
};

use acaciabank_core::{budget, judge};
use acaciabank_protocol::{reason::RetryReason, verdict::Verdict};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::{
    refusal::RefusalResponse,
    request::{RelayRequest, RequestProgress},
};
use crate::{
    clock, connection, platform, state, target,
    telemetry::{self, RefusalCause},
};

/// Time to open a connection. A sound target in another availability zone answers within
/// milliseconds; packets are lost now and then and sent again after some hundred.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Refusals by targets after which a request is refused: each costs the retry budget.
const MAX_REFUSALS: u32 = 4;

/// Why an exchange failed.
#[derive(Clone, Debug)]
pub struct AttemptFailure {
    pub verdict: Verdict,
    pub retry: RetryReason,
    pub cause: RefusalCause,
    pub message: String,
}

impl AttemptFailure {
    /// The request never reached the target.
    fn unsent(retry: RetryReason, message: impl ToString) -> Self {
        Self {
            verdict: Verdict::NotRun,
            retry,
            cause: RefusalCause::NoTarget,
            message: message.to_string(),
        }
    }

    /// The request was sent and the target's answer is missing or useless.
    pub fn broken(message: impl ToString) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            retry: RetryReason::ConnectionBroken,
            cause: RefusalCause::TargetFailed,
            message: message.to_string(),
        }
    }

    /// The target was too slow.
    pub fn timeout(request: &RelayRequest) -> Self {
        let is_over = request.time_left().is_zero();
        Self {
            verdict: Verdict::MayHaveRun,
            retry: RetryReason::FirstTokenTimeout,
            cause: match is_over {
                true => RefusalCause::DeadlinePassed,
                false => RefusalCause::TargetFailed,
            },
            message: "no answer in time".to_owned(),
        }
    }

    /// Whether no byte of the request has reached the target.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self.retry,
            RetryReason::ConnectFailed | RetryReason::NotWritten
        )
    }

    /// The target states that it has not run the request.
    pub fn refused(status: http::StatusCode) -> Self {
        Self {
            verdict: Verdict::NotRun,
            retry: RetryReason::TargetRefused,
            cause: RefusalCause::TargetRefused,
            message: format!("the target refused with status {status}"),
        }
    }
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct OpenResponse {
    pub head: http::response::Parts,
    pub terms: platform::ResponseMetadata,
    pub body: Incoming,
    connection: connection::TargetConnection,
    target: rc::Rc<target::TargetState>,
}

impl OpenResponse {
    /// The whole body. The connection is kept for other requests.
    pub async fn collect(
        self,
        until: Instant,
    ) -> Result<(http::response::Parts, Bytes), CollectError> {
        let collected = tokio::time::timeout_at(until.into(), self.body.collect()).await;
        match collected {
            Ok(Ok(body)) => {
                let keep_alive = self.terms.keep_alive_s.map(Duration::from_secs);
                self.target.pool.put(self.connection, keep_alive);
                Ok((self.head, body.to_bytes()))
            }
            Ok(Err(error)) => Err(CollectError::Broken(error.to_string())),
            Err(_) => Err(CollectError::Timeout),
        }
    }

    /// Splits off the body; the other part keeps the connection open.
    pub fn into_stream(self) -> (http::response::Parts, Incoming, OpenConnection) {
        let rest = OpenConnection {
            connection: self.connection,
            target: self.target,
            keep_alive: self.terms.keep_alive_s.map(Duration::from_secs),
        };
        (self.head, self.body, rest)
    }
}

/// Why a body is not whole.
#[derive(Debug)]
pub enum CollectError {
    /// The connection broke or the bytes are no body.
    Broken(String),
    /// Not whole in time.
    Timeout,
}

/// The connection of an answer that is still being read. Dropping it closes the connection, so that
/// the target stops its work.
#[derive(Debug)]
pub struct OpenConnection {
    connection: connection::TargetConnection,
    target: rc::Rc<target::TargetState>,
    keep_alive: Option<Duration>,
}

impl OpenConnection {
    /// Keeps the connection for other requests: the body was read to its end.
    pub fn close(self) {
        self.target.pool.put(self.connection, self.keep_alive);
    }
}

/// Sends a request to a target and waits until `until` for the head of its answer.
pub async fn exchange<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    target: &rc::Rc<target::TargetState>,
    terms: &platform::ForwardMetadata<'_>,
    until: Instant,
) -> Result<OpenResponse, AttemptFailure> {
    let mut message = http::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let mut headers = request.headers.clone();
    state.codec.write_request(&mut headers, terms);
    *message.headers_mut() = headers;
    let result = send(target, message, until).await;
    let (response, connection) = match result {
        Ok(answer) => answer,
        Err(failure) => {
            let outcome = match failure.retry {
                RetryReason::ConnectFailed => judge::TargetOutcome::Unreachable,
                _ => judge::TargetOutcome::Failed,
            };
            state.record_outcome(target, outcome);
            if failure.retry == RetryReason::ConnectionBroken {
                confirm_crash(state, request.fingerprint, target);
            }
            return Err(failure);
        }
    };
    let (head, body) = response.into_parts();
    let answer = state.codec.read_response(head.status, &head.headers);
    check_response(state, request, target, &head, &answer)?;
    Ok(OpenResponse {
        head,
        terms: answer,
        body,
        connection,
        target: rc::Rc::clone(target),
    })
}

type SentResponse = (http::Response<Incoming>, connection::TargetConnection);

/// Uses idle connections first. One that turns out closed before a byte was written is replaced.
async fn send(
    target: &rc::Rc<target::TargetState>,
    message: http::Request<Full<Bytes>>,
    until: Instant,
) -> Result<SentResponse, AttemptFailure> {
    while let Some(connection) = target.pool.take() {
        match send_on(connection, message.clone(), until).await {
            Err(failure) if failure.retry == RetryReason::NotWritten => continue,
            result => return result,
        }
    }
    let timeout = CONNECT_TIMEOUT.min(until.saturating_duration_since(Instant::now()));
    let connected = connection::TargetConnection::connect(target.entry.address, timeout).await;
    let connection =
        connected.map_err(|error| AttemptFailure::unsent(RetryReason::ConnectFailed, error))?;
    send_on(connection, message, until).await
}

async fn send_on(
    mut connection: connection::TargetConnection,
    message: http::Request<Full<Bytes>>,
    until: Instant,
) -> Result<SentResponse, AttemptFailure> {
    let before = connection.bytes_written();
    let result = tokio::time::timeout_at(until.into(), connection.send(message)).await;
    let is_written = connection.bytes_written() > before;
    match result {
        Ok(Ok(response)) => Ok((response, connection)),
        Ok(Err(error)) if is_written => Err(AttemptFailure::broken(error)),
        Ok(Err(error)) => Err(AttemptFailure::unsent(RetryReason::NotWritten, error)),
        // Nothing was written before, and closing writes nothing.
        Err(_) if !is_written => Err(AttemptFailure::unsent(
            RetryReason::FirstTokenTimeout,
            "not written in time",
        )),
        Err(_) => Err(AttemptFailure {
            retry: RetryReason::FirstTokenTimeout,
            ..AttemptFailure::broken("no answer in time")
        }),
    }
}

fn check_response<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    target: &rc::Rc<target::TargetState>,
    head: &http::response::Parts,
    answer: &platform::ResponseMetadata,
) -> Result<(), AttemptFailure> {
    if answer.not_run {
        state.record_outcome(target, judge::TargetOutcome::Refused);
        back_off(target, answer);
        return Err(AttemptFailure::refused(head.status));
    }
    let is_other = answer
        .attempt_id
        .as_ref()
        .is_some_and(|id| *id != request.id);
    if is_other {
        metrics::counter!("acaciabank_crossed_answers_total").increment(1);
        return Err(AttemptFailure {
            retry: RetryReason::CrossedAnswer,
            ..AttemptFailure::broken("the target answered another request")
        });
    }
    Ok(())
}

/// Time for which a target that has refused is left alone: it is full, or changes its stage.
const REFUSAL_BACKOFF_MS: u64 = 150;

/// Sends nothing more to an incarnation whose address another one has, and for a moment nothing to
/// one that refuses: every refusal costs the retry budget.
fn back_off(target: &target::TargetState, answer: &platform::ResponseMetadata) {
    let is_other = answer
        .instance
        .as_ref()
        .is_some_and(|id| *id != target.entry.id);
    if is_other {
        target.is_replaced.set(true);
        log::info!(target_id = target.entry.id.as_str(), instance:? = answer.instance; "target_replaced");
        return;
    }
    let until_ms = clock::now_ms() + REFUSAL_BACKOFF_MS;
    target
        .backoff_until_ms
        .set(target.backoff_until_ms.get().max(until_ms));
}

/// Counts a crash when the target no longer accepts connections: a connection also breaks for other
/// reasons.
fn confirm_crash<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    fingerprint: u64,
    target: &rc::Rc<target::TargetState>,
) {
    let state = rc::Rc::clone(state);
    let target = rc::Rc::clone(target);
    tokio::task::spawn_local(async move {
        let connected =
            connection::TargetConnection::connect(target.entry.address, CONNECT_TIMEOUT).await;
        let now_ms = clock::now_ms();
        match connected {
            Ok(connection) => target.pool.put(connection, None),
            Err(error) => {
                state.record_outcome(&target, judge::TargetOutcome::Unreachable);
                let mut suspects = state.suspects.borrow_mut();
                suspects.record_crash(fingerprint, target.hash as u32, now_ms);
                log::info!(
                    target_id = target.entry.id.as_str(), fingerprint = fingerprint,
                    error:% = error;
                    "target_crashed"
                );
                state.report_now.notify_one();
            }
        }
    });
}

/// Records a failure and decides whether another attempt may be made.
pub fn decide_retry(
    request: &RelayRequest,
    target: &target::TargetState,
    progress: &mut RequestProgress,
    failure: &AttemptFailure,
) -> Result<(), RefusalResponse> {
    log::info!(
        id = request.id.as_str(), target_id = target.entry.id.as_str(),
        reason = failure.retry.as_str(), verdict = failure.verdict.as_str(),
        send = progress.sends, elapsed_ms = request.elapsed_ms(), error = failure.message.as_str();
        "attempt_failed"
    );
    progress.verdict = progress.verdict.and(failure.verdict);
    progress.avoided.push(target.hash);
    progress.runs += u32::from(failure.verdict != Verdict::NotRun);
    let is_over = request.time_left().is_zero();
    let refuse = |cause| {
        let cause = if is_over {
            RefusalCause::DeadlinePassed
        } else {
            cause
        };
        Err(RefusalResponse::after(cause, progress.verdict))
    };
    if !progress
        .verdict
        .allows_retry(request.route.kind.is_repeatable())
    {
        return refuse(failure.cause);
    }
    if progress.runs >= request.route.max_attempts || is_over {
        return refuse(failure.cause);
    }
    if progress.sends >= MAX_REFUSALS + progress.runs {
        return refuse(failure.cause);
    }
    telemetry::count_retry(failure.retry);
    Ok(())
}

/// Which kind of call is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// One that runs the request.
    Run,
    /// One that only has the prompt processed.
    Prefill,
}

/// Pays for the next call.
pub fn reserve_retry<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    progress: &mut RequestProgress,
    kind: CallKind,
) -> Result<(), RefusalResponse> {
    let is_due = match kind {
        CallKind::Run => progress.ledger.is_due(),
        CallKind::Prefill => progress.ledger.is_prefill_due(),
    };
    if !is_due {
        return Ok(());
    }
    if !state.try_spend_retry(&request.service) {
        let cause = RefusalCause::BudgetSpent;
        return Err(RefusalResponse::after(cause, progress.verdict));
    }
    progress.ledger.record_payment();
    Ok(())
}

/// Records how the call ended, and takes its payment back where it was free after all.
pub fn record_call<Codec: platform::MessageCodec, Store: platform::PlatformStore, Answer>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    progress: &mut RequestProgress,
    kind: CallKind,
    result: &Result<Answer, AttemptFailure>,
) {
    let outcome = match result {
        Ok(_) => budget::CallOutcome::Accepted,
        Err(failure) if failure.is_unsent() => budget::CallOutcome::Unsent,
        Err(_) => budget::CallOutcome::Failed,
    };
    let is_returned = match kind {
        CallKind::Run => progress.ledger.settle_run(outcome),
        CallKind::Prefill => progress.ledger.settle_prefill(outcome),
    };
    if is_returned {
        state.refund_retry(&request.service);
    }
}
