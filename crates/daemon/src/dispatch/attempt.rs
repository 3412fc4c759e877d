//! A single attempt at a target up to the head of its response, and the verdict if it fails.

use std::{
    future::Future,
    sync,
    time::{Duration, Instant},
};

use acaciabank_protocol::{ids, reason, verdict::Verdict, wire};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::{process, target};
use acaciabank_relay::connection::{self, WriteDeadline};

/// Why an attempt failed.
#[derive(Debug)]
pub(super) struct AttemptFailure {
    pub(super) verdict: Verdict,
    pub(super) retry: reason::RetryReason,
    pub(super) refusal: reason::RefusalReason,
    pub(super) message: String,
    /// Whether the target may have crashed while it ran the request.
    pub(super) may_have_crashed: bool,
}

impl AttemptFailure {
    pub(super) fn new(
        verdict: Verdict,
        retry: reason::RetryReason,
        message: impl Into<String>,
    ) -> Self {
        Self {
            verdict,
            retry,
            refusal: reason::RefusalReason::TargetFailed,
            message: message.into(),
            may_have_crashed: false,
        }
    }

    /// Creates the failure of an attempt whose target exceeded a timeout.
    pub(super) fn timeout(verdict: Verdict, message: &str) -> Self {
        Self {
            refusal: reason::RefusalReason::TargetTimeout,
            ..Self::new(verdict, reason::RetryReason::FirstTokenTimeout, message)
        }
    }

    /// Creates the failure of an attempt whose connection broke after the request was written.
    pub(super) fn broken(message: impl Into<String>) -> Self {
        Self {
            may_have_crashed: true,
            ..Self::new(
                Verdict::MayHaveRun,
                reason::RetryReason::ConnectionBroken,
                message,
            )
        }
    }
}

/// A response whose head has arrived and whose body is being read.
pub(super) struct OpenResponse {
    pub(super) response: http::Response<Incoming>,
    target: sync::Arc<target::TargetState>,
    connection: connection::TargetConnection,
}

impl OpenResponse {
    /// Returns the next part of the body, or `None` at its end, waiting until `deadline`.
    pub(super) async fn next_part(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Bytes>, AttemptFailure> {
        loop {
            let frame = self.response.body_mut().frame();
            let frame = match tokio::time::timeout_at(deadline.into(), frame).await {
                Ok(frame) => frame,
                Err(_) => {
                    return Err(AttemptFailure::timeout(
                        Verdict::MayHaveRun,
                        "the target went silent",
                    ));
                }
            };
            match frame {
                None => return Ok(None),
                Some(Err(error)) => return Err(AttemptFailure::broken(error.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(part) = frame.into_data() {
                        return Ok(Some(part));
                    }
                }
            }
        }
    }

    /// Returns the connection to the target's pool. The body must have been read to its end.
    pub(super) fn release_connection(self) {
        self.target.tracker.idle_pool.put(self.connection, None);
    }
}

/// Sends a request to a target and waits for the head of the response.
pub(super) async fn open(
    state: &process::ProcessState,
    target: &sync::Arc<target::TargetState>,
    attempt: &ids::AttemptId,
    write_deadline: Option<WriteDeadline>,
    mut request: http::Request<Full<Bytes>>,
) -> Result<OpenResponse, AttemptFailure> {
    let headers = request.headers_mut();
    let host = header_value(&target.address.to_string())?;
    headers.insert(http::header::HOST, host);
    headers.insert(wire::REQUEST_ID_HEADER, header_value(attempt.as_str())?);
    let mut opened = exchange(state, target, write_deadline, &request).await?;
    check_request_id(&mut opened, attempt)?;
    check_not_run(target, &opened.response)?;
    Ok(opened)
}

fn header_value(text: &str) -> Result<http::HeaderValue, AttemptFailure> {
    http::HeaderValue::from_str(text).map_err(|error| {
        AttemptFailure::new(
            Verdict::NotRun,
            reason::RetryReason::NotWritten,
            error.to_string(),
        )
    })
}

/// Tries pooled connections first; one that turns out to be closed before a byte was written is
/// replaced.
async fn exchange(
    state: &process::ProcessState,
    target: &sync::Arc<target::TargetState>,
    write_deadline: Option<WriteDeadline>,
    request: &http::Request<Full<Bytes>>,
) -> Result<OpenResponse, AttemptFailure> {
    while let Some(connection) = target.tracker.idle_pool.take() {
        connection.set_write_deadline(write_deadline);
        match exchange_on(state, target, connection, request.clone()).await {
            Err(failure) if failure.verdict == Verdict::NotRun => continue,
            result => return result,
        }
    }
    let connection = connect(state, target).await?;
    connection.set_write_deadline(write_deadline);
    exchange_on(state, target, connection, request.clone()).await
}

async fn connect(
    state: &process::ProcessState,
    target: &target::TargetState,
) -> Result<connection::TargetConnection, AttemptFailure> {
    let timers = &state.settings.timers;
    let timeout = Duration::from_millis(timers.connect_timeout_ms);
    let connected = connection::TargetConnection::connect(target.address, timeout).await;
    connected.map_err(|error| {
        target.back_off(timers.target_backoff_ms);
        AttemptFailure::new(
            Verdict::NotRun,
            reason::RetryReason::ConnectFailed,
            error.to_string(),
        )
    })
}

/// Distinguishes a crash of the target from a broken connection, such as one that the target closed
/// while it was idle: a target that responds and is not known to have restarted did not crash.
pub(super) async fn confirm_crash(
    state: &process::ProcessState,
    target: &sync::Arc<target::TargetState>,
    failure: AttemptFailure,
) -> AttemptFailure {
    if !failure.may_have_crashed {
        return failure;
    }
    let timeout = Duration::from_millis(state.settings.timers.connect_timeout_ms);
    let fetched = with_timeout(timeout, fetch_boot_id(state, target)).await;
    let known = target.condition.load().state.clone();
    let may_have_crashed = match fetched {
        Some(Ok(boot_id)) => {
            known.is_some_and(|known| boot_id.is_some_and(|boot_id| known.boot_id != boot_id))
        }
        Some(Err(_)) | None => true,
    };
    AttemptFailure {
        may_have_crashed,
        ..failure
    }
}

/// Asks a target for its boot id; `None` if its response does not contain one.
async fn fetch_boot_id(
    state: &process::ProcessState,
    target: &sync::Arc<target::TargetState>,
) -> Result<Option<String>, AttemptFailure> {
    let broken = |error: hyper::Error| AttemptFailure::broken(error.to_string());
    let mut connection = connect(state, target).await?;
    let mut request = http::Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static("/admin/state");
    let host = header_value(&target.address.to_string())?;
    request.headers_mut().insert(http::header::HOST, host);
    let response = connection.send(request).await.map_err(broken)?;
    let timeout = Duration::from_millis(state.settings.timers.connect_timeout_ms);
    let (limits, deadline) = (connection::BodyLimits::DOCUMENT, Instant::now() + timeout);
    let body = connection::read_body(response.into_body(), limits, deadline).await;
    let body = body.map_err(|error| AttemptFailure::broken(error.to_string()))?;
    let report = serde_json::from_slice::<wire::EngineState>(&body);
    Ok(report.ok().map(|report| report.boot_id))
}

async fn exchange_on(
    state: &process::ProcessState,
    target: &sync::Arc<target::TargetState>,
    mut connection: connection::TargetConnection,
    request: http::Request<Full<Bytes>>,
) -> Result<OpenResponse, AttemptFailure> {
    let before = connection.bytes_written();
    let timeout = Duration::from_millis(state.settings.timers.first_byte_timeout_ms);
    let result = with_timeout(timeout, connection.send(request)).await;
    let was_written = connection.bytes_written() > before;
    match result {
        Some(Ok(response)) => Ok(OpenResponse {
            response,
            target: sync::Arc::clone(target),
            connection,
        }),
        Some(Err(error)) if was_written => Err(AttemptFailure::broken(error.to_string())),
        Some(Err(error)) => Err(AttemptFailure::new(
            Verdict::NotRun,
            reason::RetryReason::NotWritten,
            error.to_string(),
        )),
        None if was_written => Err(AttemptFailure::timeout(
            Verdict::MayHaveRun,
            "no answer in time",
        )),
        // The connection may still write the request while it is being closed, so the request may
        // have run.
        None => Err(AttemptFailure::timeout(
            Verdict::MayHaveRun,
            "not written in time",
        )),
    }
}

async fn with_timeout<F: Future>(timeout: Duration, work: F) -> Option<F::Output> {
    tokio::time::timeout(timeout, work).await.ok()
}

/// Rejects a response that carries the id of another attempt, or none although the target has
/// echoed ids on the connection before.
fn check_request_id(
    opened: &mut OpenResponse,
    attempt: &ids::AttemptId,
) -> Result<(), AttemptFailure> {
    let echoed = opened.response.headers().get(wire::REQUEST_ID_HEADER);
    let is_plausible = opened.connection.record_echo(echoed.is_some());
    let is_own = echoed.is_none_or(|echoed| echoed.as_bytes() == attempt.as_str().as_bytes());
    if is_own && is_plausible {
        return Ok(());
    }
    metrics::counter!("acaciabank_crossed_answers_total").increment(1);
    log::warn!("attempt {attempt}: dropped a response that belongs to another attempt");
    Err(AttemptFailure::new(
        Verdict::MayHaveRun,
        reason::RetryReason::MismatchedResponse,
        "the target answered another request",
    ))
}

/// Recognizes a response whose target states that it refused the request before running it.
fn check_not_run(
    target: &target::TargetState,
    response: &http::Response<Incoming>,
) -> Result<(), AttemptFailure> {
    let status = response.status().as_u16();
    let marker = response.headers().get(wire::VERDICT_HEADER);
    let is_marked = marker.is_some_and(|marker| marker.as_bytes() == b"not_run");
    if !matches!(status, 409 | 429 | 503) || !is_marked {
        return Ok(());
    }
    if status == 429 {
        target.adapt_limit(true);
    }
    Err(AttemptFailure::new(
        Verdict::NotRun,
        reason::RetryReason::TargetRefused,
        format!("the target refused with status {status}"),
    ))
}
