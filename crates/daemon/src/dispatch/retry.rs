//! The run of a request over its attempts.

use std::{
    future::Future,
    sync,
    time::{Duration, Instant},
};

use acaciabank_core::suspect;
use acaciabank_protocol::{ids, reason, verdict::Verdict};
use bytes::Bytes;
use http_body_util::Full;

use super::{
    CallerRequest, RequestWork, WriteLimit, admission, attempt, completion, service, sink, slot,
};
use crate::{process, target};

/// Attempts that ended as not run, for each attempt that `max_attempts` allows. They cost a target
/// nothing, but their number must have an end.
const NOT_RUN_ATTEMPTS_FACTOR: u32 = 4;

/// Time to tell other daemons of a crash at most.
const MAX_ANNOUNCE_WAIT: Duration = Duration::from_millis(200);

/// What is known of a request over all of its attempts.
pub(super) struct AttemptHistory {
    pub(super) verdict: Verdict,
    /// Whether any part of the answer has been received from a target.
    pub(super) received: bool,
    attempts: u32,
    /// Attempts that processed the prompt for another target.
    prefills: u32,
    not_run_attempts: u32,
    avoided: Vec<u32>,
}

impl AttemptHistory {
    fn new() -> Self {
        Self {
            verdict: Verdict::NotRun,
            received: false,
            attempts: 0,
            prefills: 0,
            not_run_attempts: 0,
            avoided: Vec::new(),
        }
    }

    /// Id of the next attempt. Until it ends the request may have run.
    fn begin(&mut self, request: &ids::RequestId) -> ids::AttemptId {
        self.attempts += 1;
        request.attempt(self.attempts)
    }
}

/// What a run needs in every attempt.
pub(super) struct AttemptContext<'a> {
    pub(super) state: &'a process::SharedState,
    pub(super) request: &'a CallerRequest,
    pub(super) target: &'a sync::Arc<target::TargetState>,
    pub(super) slot: &'a slot::TargetSlot,
    pub(super) attempt: ids::AttemptId,
    pub(super) request_start: Instant,
    /// When this attempt began.
    pub(super) attempt_start: Instant,
}

impl AttemptContext<'_> {
    /// Sends a request as this attempt and waits for the head of the answer.
    pub(super) async fn open(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<attempt::OpenResponse, attempt::AttemptFailure> {
        let limit = self.request.write_limit;
        attempt::open(self.state, self.target, &self.attempt, limit, request).await
    }
}

/// Runs a request to its end and delivers its answer.
pub(super) async fn run(
    state: process::SharedState,
    request: CallerRequest,
    mut sink: sink::CallerSink,
) {
    state
        .targets
        .admission
        .record_request(state.settings.limits.retry_percent);
    let mut history = AttemptHistory::new();
    let mut in_attempt = false;
    let deadline = tokio::time::Instant::from_std(request.deadline);
    let work = attempts(&state, &request, &mut sink, &mut history, &mut in_attempt);
    let result = match tokio::time::timeout_at(deadline, work).await {
        Ok(result) => result,
        Err(_) => {
            if in_attempt {
                history.verdict = history.verdict.and(Verdict::MayHaveRun);
            }
            Err(reason::Refusal::with_verdict(
                reason::RefusalReason::DeadlinePassed,
                history.verdict,
                "the deadline passed",
            ))
        }
    };
    match result {
        Ok(()) => sink.finish(),
        Err(refusal) => {
            log::debug!("request {}: {refusal}", request.id);
            sink.fail(refusal).await;
        }
    }
}

async fn attempts(
    state: &process::SharedState,
    request: &CallerRequest,
    sink: &mut sink::CallerSink,
    history: &mut AttemptHistory,
    in_attempt: &mut bool,
) -> Result<(), reason::Refusal> {
    let request_start = Instant::now();
    let mut placement = admission::RequestPlacement::new(state, request);
    let mut stream = completion::CompletionRun::new(request);
    let outcome = (&*sink, &mut *history);
    prefill(
        state,
        request,
        &mut placement,
        &mut stream,
        outcome,
        in_attempt,
    )
    .await?;
    loop {
        let place = placement.place(request, &history.avoided);
        let placed = before_write_limit(request.write_limit, place).await;
        let slot = placed.map_err(|refusal| reason::Refusal {
            verdict: refusal.verdict.and(history.verdict),
            ..refusal
        })?;
        let context = AttemptContext {
            state,
            request,
            target: &slot.target,
            slot: &slot,
            attempt: history.begin(&request.id),
            request_start,
            attempt_start: Instant::now(),
        };
        *in_attempt = true;
        let result = match &request.work {
            RequestWork::Completion { .. } => stream.attempt(&context, sink, history).await,
            RequestWork::Service { .. } => service::attempt(&context, sink, history).await,
        };
        *in_attempt = false;
        match result {
            Ok(()) => {
                count_attempt(Verdict::Ran);
                slot.target.adapt_limit(false);
                placement.record_service(context.attempt_start.elapsed());
                return Ok(());
            }
            Err(failure) => {
                let failure = attempt::confirm_crash(state, &slot.target, failure).await;
                if failure.may_have_crashed {
                    record_crash(&context).await;
                }
                decide_retry(&context, sink, history, failure)?;
            }
        }
        // The transferred cache is for one attempt; a later one processes the prompt itself.
        stream.clear_kv_transfer();
        placement.skip_prompt(false);
    }
}

/// Lets a prefill target process the prompt where that pays. Its KV cache then passes to the target
/// of the first attempt. When it fails, the first attempt runs the whole request.
async fn prefill(
    state: &process::SharedState,
    request: &CallerRequest,
    placement: &mut admission::RequestPlacement,
    stream: &mut completion::CompletionRun,
    (sink, history): (&sink::CallerSink, &mut AttemptHistory),
    in_attempt: &mut bool,
) -> Result<(), reason::Refusal> {
    let RequestWork::Completion { body, .. } = &request.work else {
        return Ok(());
    };
    // The prefill call generates a token, so the request would run twice. A caller that manages
    // transfers itself keeps its own parameters.
    if !request.idempotent || body.contains_key("kv_transfer_params") {
        return Ok(());
    }
    let Some(slot) = placement.place_prefill() else {
        return Ok(());
    };
    let now = Instant::now();
    let context = AttemptContext {
        state,
        request,
        target: &slot.target,
        slot: &slot,
        attempt: history.begin(&request.id),
        request_start: now,
        attempt_start: now,
    };
    *in_attempt = true;
    let result = stream.prefill(&context).await;
    *in_attempt = false;
    match result {
        Ok(is_transferable) => {
            count_attempt(Verdict::Ran);
            history.verdict = Verdict::MayHaveRun;
            history.prefills += 1;
            placement.skip_prompt(is_transferable);
            Ok(())
        }
        Err(failure) => {
            let failure = attempt::confirm_crash(state, &slot.target, failure).await;
            if failure.may_have_crashed {
                record_crash(&context).await;
            }
            decide_retry(&context, sink, history, failure)
        }
    }
}

/// Waits for a slot until the request may no longer be written.
async fn before_write_limit<T>(
    limit: Option<WriteLimit>,
    place: impl Future<Output = Result<T, reason::Refusal>>,
) -> Result<T, reason::Refusal> {
    let Some(limit) = limit else {
        return place.await;
    };
    let expired = reason::Refusal::not_run(
        reason::RefusalReason::DeadlinePassed,
        "no target was free before the key's intent expired",
    );
    let remaining = limit.remaining();
    if remaining.is_zero() {
        return Err(expired);
    }
    let placed = tokio::time::timeout(remaining, place).await;
    placed.unwrap_or(Err(expired))
}

fn count_attempt(verdict: Verdict) {
    metrics::counter!("acaciabank_attempts_total", "verdict" => verdict.as_str()).increment(1);
}

/// Counts a crash for the request. Other daemons learn of it before the request is tried again or
/// its caller is answered, because the caller may send it again through any of them.
async fn record_crash(context: &AttemptContext<'_>) {
    let admission = &context.state.targets.admission;
    admission.record_crash(context.request.fingerprint, context.target.hash);
    context
        .state
        .peers
        .announce_and_wait(MAX_ANNOUNCE_WAIT)
        .await;
}

/// Records a failed attempt; returns the refusal when there must be no other attempt.
fn decide_retry(
    context: &AttemptContext<'_>,
    sink: &sink::CallerSink,
    history: &mut AttemptHistory,
    failure: attempt::AttemptFailure,
) -> Result<(), reason::Refusal> {
    let (state, request) = (context.state, context.request);
    log::info!(
        "attempt {} at target {} failed ({}): {}",
        context.attempt,
        context.target.id,
        failure.verdict.as_str(),
        failure.message
    );
    count_attempt(failure.verdict);
    if failure.may_have_crashed {
        context
            .target
            .back_off(state.settings.timers.target_poll_ms);
    }
    if failure.retry == reason::RetryReason::TargetRefused {
        context
            .target
            .back_off(state.settings.timers.target_poll_ms);
    }
    history.verdict = history.verdict.and(failure.verdict);
    history.avoided.push(context.target.hash);
    let refuse = |reason, message: &str| {
        Err(reason::Refusal::with_verdict(
            reason,
            history.verdict,
            message,
        ))
    };
    let is_service = matches!(request.work, RequestWork::Service { .. });
    if !history.verdict.allows_retry(request.idempotent) || (is_service && sink.is_head_sent()) {
        return refuse(failure.refusal, &failure.message);
    }
    if sink.is_abandoned() {
        return refuse(failure.refusal, "the caller left");
    }
    let standing = state.targets.admission.standing(request.fingerprint);
    if failure.may_have_crashed && standing == suspect::SuspectStanding::Refused {
        let message = "targets crashed while they ran this request";
        return refuse(reason::RefusalReason::SuspectRequest, message);
    }
    let max_attempts = state.settings.limits.max_attempts;
    let is_not_run = failure.verdict == Verdict::NotRun;
    history.not_run_attempts += u32::from(is_not_run);
    let counted_attempts = history.attempts - history.not_run_attempts - history.prefills;
    if counted_attempts >= max_attempts
        || history.not_run_attempts >= max_attempts * NOT_RUN_ATTEMPTS_FACTOR
    {
        return refuse(failure.refusal, &failure.message);
    }
    // The budget limits repeated work. An attempt that did not run repeats none, and a resumed
    // stream must end: its caller has been promised the whole answer.
    let repeats_work = !is_not_run && !history.received;
    if repeats_work && !state.targets.admission.try_spend_retry() {
        return refuse(
            reason::RefusalReason::RetryBudgetSpent,
            "the retry budget is spent",
        );
    }
    let cause = match failure.retry {
        reason::RetryReason::ConnectionBroken if history.received => {
            reason::RetryReason::StreamResumed
        }
        cause => cause,
    };
    metrics::counter!("acaciabank_retries_total", "reason" => cause.as_str()).increment(1);
    Ok(())
}
