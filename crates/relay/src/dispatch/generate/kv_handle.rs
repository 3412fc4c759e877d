//! Prefill on one engine, and the KV cache that it hands over to another.

use std::{
    rc,
    time::{Duration, Instant},
};

use acaciabank_core::outlier;
use acaciabank_protocol::{reason::RetryReason, verdict::Verdict};
use futures::{FutureExt, future::LocalBoxFuture};

use super::MAX_URGENCY;
use crate::{
    clock,
    dispatch::{
        attempt::{self, AttemptFailure},
        engines,
        request::RelayRequest,
        suspects,
    },
    platform, state, target,
    telemetry::RefusalCause,
};

/// Timeout of the call that releases an unused KV cache.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A KV cache that an engine keeps for another one. Dropping it releases the KV cache unless
/// `close` was called.
pub struct KvHandle {
    /// Engine that keeps the KV cache.
    pub engine: rc::Rc<target::TargetState>,
    /// Handle of the KV cache at that engine.
    pub name: String,
    /// Releases the KV cache; `None` once it was taken.
    release: Option<LocalBoxFuture<'static, ()>>,
}

impl KvHandle {
    /// Marks the KV cache as taken by another engine, so that it is not released.
    pub fn close(mut self) {
        self.release = None;
    }
}

impl Drop for KvHandle {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            tokio::task::spawn_local(release);
        }
    }
}

/// Releases an unused KV cache, after the pause of an engine that wants no requests.
async fn release<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
    engine: rc::Rc<target::TargetState>,
    path: String,
) {
    let now_ms = clock::now_ms();
    if let Some(until_ms) = engine.paused_until_ms(now_ms) {
        tokio::time::sleep(Duration::from_millis(until_ms - now_ms)).await;
    }
    let method = http::Method::DELETE;
    let released = target::call(&state, &engine, method, &path, RELEASE_TIMEOUT).await;
    if let Err(error) = released {
        // The engine drops the KV cache itself when its lifetime ends.
        log::info!(target_id = engine.entry.id.as_str(), error = error.as_str(); "release_failed");
    }
}

/// Has an engine process the prompt. Processing a prompt does not count as running the request, so
/// that a failure allows a retry of any request.
pub async fn prefill<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    plan: &engines::EnginePlan,
    engine: &rc::Rc<target::TargetState>,
    deadline: Instant,
) -> Result<KvHandle, AttemptFailure> {
    let work = plan.start_work(state, &request.parts, request.priority, false);
    let metadata = platform::ForwardMetadata {
        target_id: &engine.entry.id,
        deadline_ms: request.remaining_ms(),
        urgency: Some(request.priority.min(MAX_URGENCY)),
        task: platform::EngineTask::Prefill,
        fetch_from: plan.source_address(),
        last_event: None,
    };
    let not_run = |failure: AttemptFailure| AttemptFailure {
        verdict: Verdict::NotRun,
        ..failure
    };
    let sent_ms = clock::now_ms();
    let response = attempt::exchange(state, request, engine, &metadata, deadline)
        .await
        .map_err(not_run)?;
    let record = |outcome| state.record_outcome(engine, outcome);
    let failed = |message: &str| AttemptFailure {
        verdict: Verdict::NotRun,
        retry: RetryReason::ConnectionBroken,
        cause: RefusalCause::TargetFailed,
        has_retry: false,
        message: message.to_owned(),
    };
    match response.collect(&state.memory, deadline).await {
        Ok((head, body)) if head.status == http::StatusCode::OK => {
            work.end_prefill(state, &request.parts);
            record(outlier::TargetOutcome::Answered);
            let name = state
                .codec
                .read_kv_handle(&body)
                .ok_or(failed("the prefill response has no KV cache handle"))?;
            let path = state.codec.kv_handle_path(&name);
            let release = release(rc::Rc::clone(state), rc::Rc::clone(engine), path);
            Ok(KvHandle {
                engine: rc::Rc::clone(engine),
                release: Some(release.boxed_local()),
                name,
            })
        }
        Ok((head, _)) => {
            record(outlier::TargetOutcome::Failed);
            Err(failed(&format!(
                "the engine responded to the prefill with status {}",
                head.status
            )))
        }
        Err(error) => {
            record(outlier::TargetOutcome::Failed);
            suspects::confirm_crash(state, request, engine, sent_ms);
            Err(failed(&format!(
                "cannot read the prefill response: {error:?}"
            )))
        }
    }
}
