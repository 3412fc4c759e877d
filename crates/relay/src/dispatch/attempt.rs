//! A single attempt at a target, and the decision whether to retry after a failure.

use std::{
    rc,
    time::{Duration, Instant},
};

use acaciabank_core::{budget, outlier};
use acaciabank_protocol::{reason::RetryReason, verdict::Verdict};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;

use super::{
    limits,
    refusal::RefusalResponse,
    request::{RelayRequest, RequestProgress, SentSignal},
    selection, stopping, suspects,
};
use crate::{
    clock, connection, memory, platform, state, target,
    telemetry::{self, RefusalCause},
};

/// Timeout for opening a connection. A healthy target accepts within milliseconds, even in another
/// availability zone; a lost packet is retransmitted after a few hundred milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a response that is read completely before it is forwarded.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Number of refusals by targets after which a request is refused. Each one costs retry budget.
pub const MAX_REFUSALS: u32 = 4;

/// Why an attempt failed.
#[derive(Clone, Debug)]
pub struct AttemptFailure {
    /// Whether the target may have run the request.
    pub verdict: Verdict,
    /// Reason that is counted if the request is retried.
    pub retry: RetryReason,
    /// Cause that is reported if the request is not retried.
    pub cause: RefusalCause,
    /// Whether a retry has been taken from the budget for the next call.
    pub has_retry: bool,
    /// Description for the log.
    pub message: String,
}

impl AttemptFailure {
    /// Creates the failure of an attempt that sent no byte of the request to the target.
    fn unsent(retry: RetryReason, message: impl ToString) -> Self {
        Self {
            verdict: Verdict::NotRun,
            retry,
            cause: RefusalCause::NoTarget,
            has_retry: false,
            message: message.to_string(),
        }
    }

    /// Creates the failure of an attempt at a target that accepts no requests by now.
    fn unavailable() -> Self {
        let message = "the target accepts no requests by now";
        Self::unsent(RetryReason::TargetUnavailable, message)
    }

    /// Creates the failure of an attempt that sent the request but got no valid response.
    pub fn broken(message: impl ToString) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            retry: RetryReason::ConnectionBroken,
            cause: RefusalCause::TargetFailed,
            has_retry: false,
            message: message.to_string(),
        }
    }

    /// Creates the failure of an attempt that sent the request but got no response in time.
    pub fn timeout(request: &RelayRequest) -> Self {
        let is_expired = request.remaining().is_zero();
        Self {
            verdict: Verdict::MayHaveRun,
            retry: RetryReason::FirstTokenTimeout,
            cause: match is_expired {
                true => RefusalCause::DeadlinePassed,
                false => RefusalCause::TargetFailed,
            },
            has_retry: false,
            message: "the target did not respond in time".to_owned(),
        }
    }

    /// Creates the failure of an attempt that was given up for another one. [`wait_replaceable`]
    /// has taken the retry.
    pub fn replaced(request: &RelayRequest) -> Self {
        Self {
            has_retry: true,
            ..Self::timeout(request)
        }
    }

    /// Whether no byte of the request was sent to the target.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self.retry,
            RetryReason::ConnectFailed | RetryReason::NotWritten | RetryReason::TargetUnavailable
        )
    }

    /// Creates the failure of an attempt that the target refused without running the request.
    pub fn refused(status: http::StatusCode) -> Self {
        Self {
            verdict: Verdict::NotRun,
            retry: RetryReason::TargetRefused,
            cause: RefusalCause::TargetRefused,
            has_retry: false,
            message: format!("the target refused with status {status}"),
        }
    }
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct OpenResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Metadata read from the headers.
    pub metadata: platform::ResponseMetadata,
    /// Body that has not been read yet.
    pub body: Incoming,
    connection: connection::TargetConnection,
    target: rc::Rc<target::TargetState>,
}

impl OpenResponse {
    /// Reads the body to its end and returns the connection to the pool. The connection of a body
    /// that breaks a limit is closed.
    pub async fn collect(
        self,
        memory: &memory::MemoryBudget,
        deadline: Instant,
    ) -> Result<(http::response::Parts, Bytes), connection::BodyError> {
        let limits = connection::BodyLimits {
            max_bytes: MAX_RESPONSE_BYTES,
            budget: Some(memory),
        };
        let body = connection::read_body(self.body, limits, deadline).await?;
        let keep_alive = self.metadata.keep_alive_s.map(Duration::from_secs);
        self.target.pool.put(self.connection, keep_alive);
        Ok((self.head, body))
    }

    /// Splits off the body. The returned [`OpenConnection`] keeps the connection open.
    pub fn into_stream(self) -> (http::response::Parts, Incoming, OpenConnection) {
        let connection = OpenConnection {
            connection: self.connection,
            target: self.target,
            keep_alive: self.metadata.keep_alive_s.map(Duration::from_secs),
        };
        (self.head, self.body, connection)
    }
}

/// The connection of a response that is still being read. Dropping it closes the connection, so
/// that the target stops working on the request.
#[derive(Debug)]
pub struct OpenConnection {
    connection: connection::TargetConnection,
    target: rc::Rc<target::TargetState>,
    keep_alive: Option<Duration>,
}

impl OpenConnection {
    /// Returns the connection to the pool. The body must have been read to its end.
    pub fn close(self) {
        self.target.pool.put(self.connection, self.keep_alive);
    }
}

/// Sends a request to a target and waits until `deadline` for the head of the response.
pub async fn exchange<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    target: &rc::Rc<target::TargetState>,
    metadata: &platform::ForwardMetadata<'_>,
    deadline: Instant,
) -> Result<OpenResponse, AttemptFailure> {
    if !target.admit_request(clock::now_ms()) {
        return Err(AttemptFailure::unavailable());
    }
    let grant = limits::take_grant(request, target.hash);
    // A response to another request may have stated the opposite, and the grant may have expired, while
    // this one waited for a connection.
    let may_write = || {
        target.allows_write(clock::now_ms())
            && limits::allows_write(state, target.hash, grant.as_ref())
    };
    if !may_write() {
        return Err(AttemptFailure::unavailable());
    }
    let message = build_message(&state.codec, request, metadata);
    let sent_ms = clock::now_ms();
    let is_run = !matches!(metadata.task, platform::EngineTask::Prefill);
    let sent = is_run.then_some(&request.sent);
    let result = send(target, message, deadline, sent, may_write).await;
    let (response, mut connection) = match result {
        Ok(sent) => sent,
        Err(failure) => {
            match failure.retry {
                RetryReason::TargetUnavailable => {}
                RetryReason::ConnectFailed => {
                    state.record_outcome(target, outlier::TargetOutcome::Unreachable);
                }
                _ => state.record_outcome(target, outlier::TargetOutcome::Failed),
            }
            if failure.retry == RetryReason::ConnectionBroken {
                suspects::confirm_crash(state, request, target, sent_ms);
            }
            return Err(failure);
        }
    };
    let (head, body) = response.into_parts();
    let response_metadata = state.codec.read_response(head.status, &head.headers);
    let echoed_id = response_metadata.attempt_id.as_deref();
    let origin = target::ResponseOrigin {
        connected_unix_ms: connection.connected_unix_ms(),
        sent_ms,
        is_answer: echoed_id.is_some_and(|id| id == request.id),
    };
    target::record_response(state, target, &response_metadata, origin);
    let is_plausible = request.id.is_empty() || connection.record_echo(echoed_id.is_some());
    let is_own = is_plausible && echoed_id.is_none_or(|id| id == request.id);
    check_response(state, target, &head, &response_metadata, is_own)?;
    Ok(OpenResponse {
        head,
        metadata: response_metadata,
        body,
        connection,
        target: rc::Rc::clone(target),
    })
}

/// Builds the message to a target. Every attempt to run a request or a part of it sends this one, so
/// that none of them lacks the team or carries the caller's key.
fn build_message<Codec: platform::MessageCodec>(
    codec: &Codec,
    request: &RelayRequest,
    metadata: &platform::ForwardMetadata<'_>,
) -> http::Request<Full<Bytes>> {
    let mut message = http::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let mut headers = request.headers.clone();
    codec.write_request(&mut headers, request.team_name(), metadata);
    *message.headers_mut() = headers;
    message
}

type SentResponse = (http::Response<Incoming>, connection::TargetConnection);

/// Sends a request on an idle connection, or on a new one if there is none. An idle connection that
/// fails before a byte was written is replaced by the next one. `may_write` tells, once there is a
/// connection, whether the target still accepts the request.
async fn send(
    target: &rc::Rc<target::TargetState>,
    message: http::Request<Full<Bytes>>,
    deadline: Instant,
    sent: Option<&SentSignal>,
    may_write: impl Fn() -> bool,
) -> Result<SentResponse, AttemptFailure> {
    let check_write = || match may_write() {
        true => Ok(()),
        false => Err(AttemptFailure::unavailable()),
    };
    while let Some(connection) = target.pool.take() {
        check_write()?;
        match send_on(connection, message.clone(), deadline, sent).await {
            Err(failure) if failure.retry == RetryReason::NotWritten => {
                sent.inspect(|sent| sent.end(Verdict::NotRun));
            }
            result => return result,
        }
    }
    let timeout = CONNECT_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
    let connected = connection::TargetConnection::connect(target.entry.address, timeout).await;
    let connection =
        connected.map_err(|error| AttemptFailure::unsent(RetryReason::ConnectFailed, error))?;
    check_write()?;
    send_on(connection, message, deadline, sent).await
}

async fn send_on(
    mut connection: connection::TargetConnection,
    message: http::Request<Full<Bytes>>,
    deadline: Instant,
    sent: Option<&SentSignal>,
) -> Result<SentResponse, AttemptFailure> {
    let bytes_before = connection.bytes_written();
    sent.inspect(|sent| sent.start());
    let result = tokio::time::timeout_at(deadline.into(), connection.send(message)).await;
    let is_written = connection.bytes_written() > bytes_before;
    match result {
        Ok(Ok(response)) => Ok((response, connection)),
        Ok(Err(error)) if is_written => Err(AttemptFailure::broken(error)),
        Ok(Err(error)) => Err(AttemptFailure::unsent(RetryReason::NotWritten, error)),
        // No byte was written, and closing the connection writes none.
        Err(_) if !is_written => Err(AttemptFailure::unsent(
            RetryReason::FirstTokenTimeout,
            "the request was not written in time",
        )),
        Err(_) => Err(AttemptFailure {
            retry: RetryReason::FirstTokenTimeout,
            ..AttemptFailure::broken("the target did not respond in time")
        }),
    }
}

fn check_response<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    target: &rc::Rc<target::TargetState>,
    head: &http::response::Parts,
    metadata: &platform::ResponseMetadata,
    is_own: bool,
) -> Result<(), AttemptFailure> {
    if metadata.not_run && is_own {
        // A target that asks for a pause works as intended.
        if metadata.signals.pause_ms.is_none() {
            state.record_outcome(target, outlier::TargetOutcome::Refused);
        }
        back_off(target, metadata);
        return Err(AttemptFailure::refused(head.status));
    }
    if !is_own {
        metrics::counter!("acaciabank_crossed_answers_total").increment(1);
        return Err(AttemptFailure {
            retry: RetryReason::MismatchedResponse,
            ..AttemptFailure::broken("the response belongs to another request")
        });
    }
    Ok(())
}

/// Time for which a target that refused a request is sent no others: it is full or is changing its
/// stage.
const REFUSAL_BACKOFF_MS: u64 = 150;

/// Stops sending to a target that refused a request: for good if another incarnation has taken over
/// its address, otherwise for a short time, because every refusal costs retry budget.
fn back_off(target: &target::TargetState, metadata: &platform::ResponseMetadata) {
    let is_replaced = metadata
        .instance
        .as_ref()
        .is_some_and(|id| *id != target.entry.id);
    if is_replaced {
        target.is_replaced.set(true);
        log::info!(target_id = target.entry.id.as_str(), instance:? = metadata.instance; "target_replaced");
        return;
    }
    let until_ms = clock::now_ms() + REFUSAL_BACKOFF_MS;
    target
        .backoff_until_ms
        .set(target.backoff_until_ms.get().max(until_ms));
}

/// Records a failed attempt and decides whether the request may be retried.
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
    // A retry of a suspect needs a trial of its own.
    let trial = request.trial.take();
    if let Some(trial) = trial.filter(|_| failure.verdict == Verdict::NotRun) {
        trial.was_sent.set(false);
    }
    progress.verdict = progress.verdict.combine(failure.verdict);
    progress.excluded.push(target.hash);
    if failure.retry == RetryReason::TargetRefused {
        progress.refused.push(target.hash);
    }
    progress.runs += u32::from(failure.verdict != Verdict::NotRun);
    let is_expired = request.remaining().is_zero();
    let refuse = |cause| {
        let cause = if is_expired {
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
    if progress.runs >= request.route.max_attempts || is_expired {
        return refuse(failure.cause);
    }
    if progress.sends >= MAX_REFUSALS + progress.runs {
        return refuse(failure.cause);
    }
    telemetry::count_retry(failure.retry);
    Ok(())
}

/// Waits until an attempt may be given up for another one: `time` has passed, another target accepts
/// the request, the process runs long enough for another attempt, and a retry was left in the budget,
/// which is taken for the next attempt: a retry that
/// was only seen could be taken by another silent request meanwhile. Never returns if the request's deadline is
/// not later than `time`.
pub async fn wait_replaceable<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    time: Instant,
    has_other: impl Fn() -> bool,
) {
    if time >= request.deadline {
        std::future::pending().await
    }
    tokio::time::sleep_until(time.into()).await;
    let is_allowed = || stopping::allows_attempt(state, request) && has_other();
    while !(is_allowed() && state.try_spend_retry(&request.service)) {
        tokio::time::sleep(selection::POLL_INTERVAL).await;
    }
}

/// What a call to a target is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Running the request.
    Run,
    /// Only processing the prompt.
    Prefill,
}

/// Takes a retry from the budget for the next call, unless the call is free or its retry has been
/// taken.
pub fn reserve_retry<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    progress: &mut RequestProgress,
    kind: CallKind,
) -> Result<(), RefusalResponse> {
    let is_charged = match kind {
        CallKind::Run => progress.ledger.is_charged(),
        CallKind::Prefill => progress.ledger.is_prefill_charged(),
    };
    if !is_charged || progress.ledger.has_charge() {
        return Ok(());
    }
    if !state.try_spend_retry(&request.service) {
        let cause = RefusalCause::BudgetSpent;
        return Err(RefusalResponse::after(cause, progress.verdict));
    }
    progress.ledger.record_charge();
    Ok(())
}

/// Refunds the retry that was taken for a call which is not made.
pub fn cancel_retry<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    progress: &mut RequestProgress,
) {
    if progress.ledger.cancel_charge() {
        state.refund_retry(&request.service);
    }
}

/// Records the outcome of a call and refunds its retry if the call turned out to be free.
pub fn record_call<Codec: platform::MessageCodec, Store: platform::PlatformStore, Response>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    progress: &mut RequestProgress,
    kind: CallKind,
    result: &Result<Response, AttemptFailure>,
) {
    let outcome = match result {
        Ok(_) => budget::CallOutcome::Accepted,
        Err(failure) if failure.is_unsent() => budget::CallOutcome::Unsent,
        Err(_) => budget::CallOutcome::Failed,
    };
    if kind == CallKind::Run {
        let verdict = result.as_ref().err().map(|failure| failure.verdict);
        request.sent.end(verdict.unwrap_or(Verdict::MayHaveRun));
    }
    let is_refunded = match kind {
        CallKind::Run => progress.ledger.record_run(outcome),
        CallKind::Prefill => progress.ledger.record_prefill(outcome),
    };
    if is_refunded {
        state.refund_retry(&request.service);
    }
    if matches!(result, Err(failure) if failure.has_retry) {
        progress.ledger.record_charge();
    }
}
