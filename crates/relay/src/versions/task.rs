//! Keeps the bases of services and removes old records of streams.

use std::time::Duration;

use acaciabank_core::stream_version::BaseVersion;

use super::with_history;
use crate::{clock, platform, scheduler, state, watch};

/// Interval at which the listed versions are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
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
    let mut removal = RecordRemoval::default();
    loop {
        let now_ms = clock::now_ms();
        let rank = scheduler::own_rank(&state, now_ms);
        let versions = &state.versions;
        removal.observe(observe_all(&state), now_ms);
        let is_writer = rank < watch::WATCHER_COUNT;
        if !versions.is_read.get() || (is_writer && versions.is_read_due.get()) {
            read_bases(&state).await;
        }
        if is_writer && versions.is_read.get() && !versions.is_read_due.get() {
            write_bases(&state).await;
        }
        if rank == 0 && removal.is_due(now_ms) {
            remove_records(&state).await;
        }
        versions.expire(now_ms);
        tokio::time::sleep(CHECK_INTERVAL).await;
        if state.phase.get() == state::RelayPhase::Draining {
            return;
        }
    }
}

/// When old records are removed.
#[derive(Debug, Default)]
struct RecordRemoval {
    /// Time from which there are no records.
    until_ms: u64,
    /// Time of the next removal.
    next_ms: u64,
}

impl RecordRemoval {
    fn observe(&mut self, may_have_records: bool, now_ms: u64) {
        if may_have_records {
            self.until_ms = now_ms + RECORD_TTL_MS + 2 * REMOVAL_INTERVAL_MS;
        }
    }

    /// Whether a removal is due; the next one is due an interval later.
    fn is_due(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms < self.until_ms && now_ms >= self.next_ms;
        if is_due {
            self.next_ms = now_ms + REMOVAL_INTERVAL_MS;
        }
        is_due
    }
}

/// Observes the versions of all services; returns whether streams of one may have records.
fn observe_all<Codec, Store>(state: &state::RelayState<Codec, Store>) -> bool {
    learn_names(state);
    let now_ms = clock::now_ms();
    let mut may_have_records = false;
    for service in services(state) {
        may_have_records |=
            with_history(state, &service, |history| history.may_have_records(now_ms));
    }
    may_have_records
}

/// Keeps the names of listed versions, which may have to be written when they are no longer listed.
fn learn_names<Codec, Store>(state: &state::RelayState<Codec, Store>) {
    let targets = state.targets.borrow();
    let mut names = state.versions.names.borrow_mut();
    for target in targets.iter() {
        let name = names.entry(target.software_hash);
        name.or_insert_with(|| target.entry.software.clone());
    }
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
    let versions = &state.versions;
    versions.is_read.set(true);
    versions.is_read_due.set(false);
    for (service_hash, history) in versions.histories.borrow_mut().iter_mut() {
        let mut services = rows.rows.iter().map(|row| state::hash_name(&row.service));
        if services.all(|listed| listed != *service_hash) {
            history.record_absent(rows.version);
        }
    }
    for row in &rows.rows {
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
    let version = state::hash_name(software);
    history.adopt(BaseVersion { version, stored });
    let mut names = state.versions.names.borrow_mut();
    names.entry(version).or_insert_with(|| software.to_owned());
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
        let Some(next) = next else {
            continue;
        };
        let software = state.versions.names.borrow().get(&next).cloned();
        let Some(software) = software else {
            log::info!(service = service.as_str(), error = "unknown name"; "base_version_failed");
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
