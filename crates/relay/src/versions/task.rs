//! Keeps the bases of services and removes old records of streams.

use std::time::Duration;

use acaciabank_core::stream_version::BaseVersion;

use super::with_history;
use crate::{clock, platform, scheduler, state, watch};

/// Interval at which the listed versions are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reads of the bases by the daemons that write them, while there may be several
/// versions.
const READ_INTERVAL_MS: u64 = 5_000;
/// Interval between removals of old records.
const REMOVAL_INTERVAL_MS: u64 = 15_000;
/// Age from which a record is removed: far longer than streams last, as clocks of hosts differ.
const RECORD_TTL_MS: u64 = 60_000;
/// Time limit for a read of the bases.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Looks at the listed versions until the process ends.
pub async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) {
    let (mut read_ms, mut removed_ms) = (0, clock::now_ms());
    loop {
        let now_ms = clock::now_ms();
        let rank = scheduler::own_rank(&state, now_ms);
        let has_several = observe_all(&state);
        let is_due = now_ms.saturating_sub(read_ms) >= READ_INTERVAL_MS;
        let is_writer = rank < watch::WATCHER_COUNT;
        if !state.versions.is_read.get() || (is_writer && has_several && is_due) {
            read_bases(&state).await;
            read_ms = now_ms;
        }
        if is_writer && state.versions.is_read.get() {
            write_bases(&state).await;
        }
        let is_due = now_ms.saturating_sub(removed_ms) >= REMOVAL_INTERVAL_MS;
        if rank == 0 && has_several && is_due {
            remove_records(&state).await;
            removed_ms = now_ms;
        }
        state.versions.expire(now_ms);
        tokio::time::sleep(CHECK_INTERVAL).await;
        if state.phase.get() == state::RelayPhase::Draining {
            return;
        }
    }
}

/// Observes the versions of all services; returns whether streams of one may have records.
fn observe_all<Codec, Store>(state: &state::RelayState<Codec, Store>) -> bool {
    let mut has_several = false;
    for service in services(state) {
        has_several |= with_history(state, &service, |history| history.may_have_records());
    }
    has_several
}

fn services<Codec, Store>(state: &state::RelayState<Codec, Store>) -> Vec<String> {
    let targets = state.targets.borrow();
    let engines = targets.iter().filter(|target| target.entry.stage.is_some());
    let mut services: Vec<String> = engines.map(|target| target.entry.service.clone()).collect();
    services.sort();
    services.dedup();
    services
}

/// Reads the bases from the store.
pub(super) async fn read_bases<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) {
    let read = tokio::time::timeout(READ_TIMEOUT, state.store.read_base_versions()).await;
    let rows = match read {
        Ok(Ok(rows)) => rows,
        Ok(Err(error)) => return log::info!(error:% = error; "base_versions_unread"),
        Err(_) => return log::info!(error = "no response in time"; "base_versions_unread"),
    };
    state.versions.is_read.set(true);
    for row in &rows {
        adopt(state, &row.service, &row.software, row.stored);
    }
}

fn adopt<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    service: &str,
    software: &str,
    stored: acaciabank_core::store_version::StoreVersion,
) {
    let mut histories = state.versions.histories.borrow_mut();
    let history = histories.entry(state::hash_name(service)).or_default();
    history.adopt(BaseVersion {
        version: state::hash_name(software),
        stored,
    });
}

/// Writes the bases that have to be written.
async fn write_bases<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) {
    for service in services(state) {
        let now_ms = clock::now_ms();
        let (next, known) = with_history(state, &service, |history| {
            (history.next_base(now_ms), history.stored())
        });
        let software = next.and_then(|version| software_name(state, &service, version));
        let Some(software) = software else {
            continue;
        };
        let condition = known.map(|known| known.stored);
        let write = state
            .store
            .write_base_version(&service, &software, condition);
        match write.await {
            Ok(Some(stored)) => {
                log::info!(
                    service = service.as_str(), software = software.as_str(), stored:% = stored;
                    "base_version"
                );
                adopt(state, &service, &software, stored);
                state.report_now.notify_one();
            }
            // Another daemon has written it, or the store has come back from an older copy.
            Ok(None) => read_bases(state).await,
            Err(error) => {
                log::info!(service = service.as_str(), error:% = error; "base_version_failed");
            }
        }
    }
}

fn software_name<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    service: &str,
    software_hash: u64,
) -> Option<String> {
    let targets = state.targets.borrow();
    let mut targets = targets.of_service(service).iter();
    let target = targets.find(|target| target.software_hash == software_hash)?;
    Some(target.entry.software.clone())
}

async fn remove_records<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) {
    let before_ms = clock::steady_unix_ms().saturating_sub(RECORD_TTL_MS);
    match state.store.remove_stream_versions(before_ms).await {
        Ok(0) => {}
        Ok(removed) => log::info!(records = removed; "stream_versions_removed"),
        Err(error) => log::info!(error:% = error; "stream_versions_kept"),
    }
}
