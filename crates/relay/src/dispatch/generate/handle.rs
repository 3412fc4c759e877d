//! KV caches that one engine hands to another.

use std::{
    rc,
    time::{Duration, Instant},
};

use acaciabank_core::judge;
use acaciabank_protocol::{reason::RetryReason, verdict::Verdict};

use super::MAX_URGENCY;
use crate::{
    dispatch::{
        attempt::{self, AttemptFailure},
        engines,
        request::RelayRequest,
    },
    platform, state, target,
    telemetry::RefusalCause,
};

/// Time to release a KV cache that is not used.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A KV cache that an engine keeps for another one. It is released when dropped unused.
pub struct KvHandle {
    /// The engine that keeps it.
    pub engine: rc::Rc<target::TargetState>,
    /// Its name there.
    pub name: String,
    path: Option<String>,
}

impl KvHandle {
    /// The KV cache was taken.
    pub fn close(mut self) {
        self.path = None;
    }
}

impl Drop for KvHandle {
    fn drop(&mut self) {
        let Some(path) = self.path.take() else {
            return;
        };
        let engine = rc::Rc::clone(&self.engine);
        tokio::task::spawn_local(async move {
            let method = http::Method::DELETE;
            if let Err(error) = engine.call(method, &path, RELEASE_TIMEOUT).await {
                // The engine drops the KV cache by itself after its lifetime.
                log::info!(target_id = engine.entry.id.as_str(), error = error.as_str(); "release_failed");
            }
        });
    }
}

/// Has an engine process the prompt. A prompt that was processed has not run.
pub async fn prefill<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    plan: &engines::EnginePlan,
    engine: &rc::Rc<target::TargetState>,
    until: Instant,
) -> Result<KvHandle, AttemptFailure> {
    let work = plan.start_work(state, &request.parts, false);
    let terms = platform::ForwardMetadata {
        target_id: &engine.entry.id,
        deadline_ms: request.time_left_ms(),
        urgency: Some(request.route.priority.min(MAX_URGENCY)),
        task: platform::EngineTask::Prefill,
        fetch_from: plan.source_address(),
        last_event: None,
    };
    let not_run = |failure: AttemptFailure| AttemptFailure {
        verdict: Verdict::NotRun,
        ..failure
    };
    let answer = attempt::exchange(state, request, engine, &terms, until)
        .await
        .map_err(not_run)?;
    let record = |outcome| state.record_outcome(engine, outcome);
    let failed = |message: &str| AttemptFailure {
        verdict: Verdict::NotRun,
        retry: RetryReason::ConnectionBroken,
        cause: RefusalCause::TargetFailed,
        message: message.to_owned(),
    };
    match answer.collect(until).await {
        Ok((head, body)) if head.status == http::StatusCode::OK => {
            work.end_prefill(state, &request.parts);
            record(judge::TargetOutcome::Answered);
            let name = state
                .codec
                .read_kv_handle(&body)
                .ok_or(failed("no handle in the answer"))?;
            Ok(KvHandle {
                engine: rc::Rc::clone(engine),
                path: Some(state.codec.kv_handle_path(&name)),
                name,
            })
        }
        Ok((head, _)) => {
            record(judge::TargetOutcome::Failed);
            Err(failed(&format!("prefill: status {}", head.status)))
        }
        Err(error) => {
            record(judge::TargetOutcome::Failed);
            Err(failed(&format!("prefill: {error:?}")))
        }
    }
}
