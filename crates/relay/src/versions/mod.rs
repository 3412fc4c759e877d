//! Software versions of targets, and the version that each stream began at.
//!
//! A stream that begins at another version than the base of its service is recorded in the platform's
//! store before its first event goes out. See [`acaciabank_core::stream_version`].

mod recorder;
mod report;
mod streams;
mod task;

pub use recorder::{
    RecordRequest, RecordResponse, handle_request, receive_response, run as run_recorder,
};
pub use report::{BaseEntry, apply_bases, base_entries};
pub use streams::{prepare, record_start};
pub use task::run;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use acaciabank_core::stream_version::{ListedVersion, STREAM_LIFETIME_MS, VersionHistory};

use crate::{clock, state, target};

/// Time after a failed write in which streams begin at versions that need no record. It doubles with
/// each further failure, since a request is lost at each try.
const MIN_UNRECORDED_MS: u64 = 1_000;
/// Largest number of times that it doubles.
const MAX_DOUBLINGS: u32 = 2;

/// A stream that began at this daemon.
#[derive(Clone, Copy, Debug)]
struct BegunStream {
    software_hash: u64,
    begun_ms: u64,
}

/// What this daemon knows of software versions.
#[derive(Debug, Default)]
pub struct VersionState {
    /// Histories by the hash of the service's name.
    histories: RefCell<HashMap<u64, VersionHistory>>,
    /// Whether the bases in the store are known.
    is_read: Cell<bool>,
    /// Streams that began at this daemon, by the hash of their attempt's id.
    begun: RefCell<HashMap<u64, BegunStream>>,
    /// Records that wait to be written.
    records: recorder::RecordQueue,
    /// Names of versions by their hash.
    names: RefCell<HashMap<u64, String>>,
    /// Whether the rows of bases have to be read, as the store may have lost some.
    is_read_due: Cell<bool>,
    /// Records that the store has failed to write since the last one that it wrote.
    failures: Cell<u32>,
    /// Time until which no stream is recorded, as the store has just failed to.
    unrecorded_until_ms: Cell<u64>,
    /// Time of the last return of the store from an older copy.
    returned_ms: Cell<Option<u64>>,
}

impl VersionState {
    /// Records that the store has come back from an older copy, which may lack records of streams.
    pub fn record_return(&self, now_ms: u64) {
        self.returned_ms.set(Some(now_ms));
        self.is_read_due.set(true);
    }

    /// Whether records of streams that may be alive may be lost.
    fn may_lack_records(&self, now_ms: u64) -> bool {
        let is_recent = |returned_ms: u64| now_ms.saturating_sub(returned_ms) < STREAM_LIFETIME_MS;
        self.returned_ms.get().is_some_and(is_recent)
    }

    /// Records that a stream could not be recorded.
    fn record_failure(&self, now_ms: u64) {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        let pause_ms = MIN_UNRECORDED_MS << failures.min(MAX_DOUBLINGS);
        self.unrecorded_until_ms.set(now_ms + pause_ms);
    }

    fn record_begun(&self, stream_key: u64, software_hash: u64, now_ms: u64) {
        let begun = BegunStream {
            software_hash,
            begun_ms: now_ms,
        };
        self.begun.borrow_mut().insert(stream_key, begun);
    }

    fn begun_at(&self, stream_key: u64) -> Option<u64> {
        let begun = self.begun.borrow();
        Some(begun.get(&stream_key)?.software_hash)
    }

    /// Forgets streams that no caller takes up any more.
    fn expire(&self, now_ms: u64) {
        let mut begun = self.begun.borrow_mut();
        begun.retain(|_, stream| now_ms.saturating_sub(stream.begun_ms) < STREAM_LIFETIME_MS);
    }
}

/// Gives access to the history of a service's versions, with what is listed now.
fn with_history<Codec, Store, T>(
    state: &state::RelayState<Codec, Store>,
    service: &str,
    change: impl FnOnce(&mut VersionHistory) -> T,
) -> T {
    let targets = state.targets.borrow();
    let listed = listed_versions(targets.of_service(service));
    let mut histories = state.versions.histories.borrow_mut();
    let history = histories.entry(state::hash_name(service)).or_default();
    history.observe(&listed, clock::now_ms());
    change(history)
}

fn listed_versions(targets: &[std::rc::Rc<target::TargetState>]) -> Vec<ListedVersion> {
    let mut listed: Vec<ListedVersion> = Vec::new();
    for target in targets {
        let born_ms = target.entry.born_ms;
        let mut known = listed.iter_mut();
        match known.find(|known| known.version == target.software_hash) {
            Some(known) => known.oldest_born_ms = known.oldest_born_ms.min(born_ms),
            None => listed.push(ListedVersion {
                version: target.software_hash,
                oldest_born_ms: born_ms,
            }),
        }
    }
    listed
}

fn count(event: &'static str) {
    metrics::counter!("acaciabank_stream_versions_total", "event" => event).increment(1);
}
