//! Streams that begin here, and those that callers take up.

use std::time::Duration;

use acaciabank_protocol::verdict::Verdict;

use super::{count, recorder, task, with_history};
use crate::{
    clock, config,
    dispatch::{RefusalResponse, RelayRequest},
    platform, state, target,
    telemetry::RefusalCause,
};

/// Time limit for a read of a record.
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);

/// Restricts a request to the version that it has to run at, if any: that of the stream that it takes
/// up, or the base while streams cannot be recorded.
///
/// # Errors
///
/// Returns a refusal if the version of the stream is not known or is not served any more.
pub async fn prepare<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
) -> Result<(), RefusalResponse> {
    if request.route.kind != config::RouteKind::ResumableStream {
        return Ok(());
    }
    if request.metadata.last_event.is_none() {
        let is_unrecorded = clock::now_ms() < state.versions.unrecorded_until_ms.get();
        if is_unrecorded {
            request
                .software
                .set(unrecorded_version(state, &request.service));
        }
        return Ok(());
    }
    let software = find_version(state, request).await?;
    if !is_served(state, &request.service, software) {
        count("gone");
        return Err(RefusalResponse::not_run(RefusalCause::VersionGone));
    }
    request.software.set(Some(software));
    Ok(())
}

/// Returns the version at which the stream began that a request takes up.
async fn find_version<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
) -> Result<u64, RefusalResponse> {
    let named = request.metadata.stream_id().map(state::hash_name);
    if let Some(software) = named.and_then(|key| state.versions.begun_at(key)) {
        count("remembered");
        return Ok(software);
    }
    if !state.versions.is_read.get() {
        task::read_bases(state).await;
    }
    let now_ms = clock::now_ms();
    let take_up = with_history(state, &request.service, |history| history.take_up(now_ms));
    let take_up = take_up.ok_or(RefusalResponse::not_run(RefusalCause::NoTarget))?;
    let unread = take_up.unread.filter(|_| state.versions.is_read.get());
    let unknown = || {
        count("unknown");
        RefusalResponse::not_run(RefusalCause::VersionUnknown)
    };
    let Some(key) = named else {
        // Another try would name no attempt either.
        return unread.ok_or_else(|| RefusalResponse {
            retry_after_ms: None,
            ..unknown()
        });
    };
    let read = tokio::time::timeout(RECORD_TIMEOUT, state.store.read_stream_version(key)).await;
    match read {
        Ok(Ok(Some(software))) => {
            count("record");
            Ok(state::hash_name(&software))
        }
        Ok(Ok(None)) if unread.is_none() && state.versions.may_lack_records(now_ms) => {
            Err(unknown())
        }
        Ok(Ok(None)) => {
            count("base");
            Ok(take_up.without_record)
        }
        Ok(Err(_)) | Err(_) => unread.ok_or_else(unknown),
    }
}

/// Returns the version that streams must begin at while none can be recorded; `None` if they may begin
/// at all: while nobody serves the base, a stream without a record never goes on.
fn unrecorded_version<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    service: &str,
) -> Option<u64> {
    let base = with_history(state, service, |history| history.base());
    base.filter(|base| is_served(state, service, *base))
}

/// Whether a target of a version takes requests, now or after a pause.
fn is_served<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    service: &str,
    software_hash: u64,
) -> bool {
    let targets = state.targets.borrow();
    let mut targets = targets.of_service(service).iter();
    let is_leaving = |target: &target::TargetState| {
        target.is_draining.get() || target.is_leaving() || target.is_replaced.get()
    };
    targets.any(|target| target.software_hash == software_hash && !is_leaving(target))
}

/// Records at which version a stream begins, before its first event goes out.
///
/// # Errors
///
/// Returns a refusal if a stream cannot be recorded that has to be: the write may be done later, so
/// that the request cannot begin at another version instead.
pub async fn record_start<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    engine: &target::TargetState,
) -> Result<(), RefusalResponse> {
    request.software.set(Some(engine.software_hash));
    let is_new = request.metadata.last_event.is_none();
    let is_resumable = request.route.kind == config::RouteKind::ResumableStream;
    // Nobody can name a request without an id.
    if !is_new || !is_resumable || request.id.is_empty() {
        return Ok(());
    }
    let key = state::hash_name(&request.id);
    state
        .versions
        .record_begun(key, engine.software_hash, clock::now_ms());
    let needs_record = with_history(state, &request.service, |history| {
        history.needs_record(engine.software_hash)
    });
    if !needs_record {
        return Ok(());
    }
    let software = engine.entry.software.as_str();
    let record = platform::StreamRecord {
        stream_key: key,
        software: software.to_owned(),
        begun_unix_ms: clock::steady_unix_ms(),
    };
    let Err(error) = recorder::write(state, record).await else {
        count("recorded");
        state.versions.failures.set(0);
        return Ok(());
    };
    count("unrecorded");
    log::info!(id = request.id.as_str(), software = software, error = error.as_str(); "stream_unrecorded");
    state.versions.record_failure(clock::now_ms());
    match unrecorded_version(state, &request.service) {
        // A stream without a record is taken for one of the base, which nobody serves.
        None => Ok(()),
        Some(_) => Err(RefusalResponse::after(
            RefusalCause::StreamUnrecorded,
            Verdict::MayHaveRun,
        )),
    }
}
