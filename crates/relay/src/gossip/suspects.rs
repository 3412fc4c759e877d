//! Crash suspects in reports: requests and prompt parts.

use acaciabank_core::suspect;

use super::{PartCrashEntry, PartStartEntry, PeerReport, SuspectEntry};
use crate::state;

/// Age up to which every report contains a crash, as some reports may be lost.
const RECENT_CRASH_MS: u64 = 3_000;
/// Largest number of older crashes in a report, different ones each time, for daemons that have
/// started since.
const MAX_OLDER_CRASHES: usize = 4;
/// Largest number of recent crash suspects in a report.
const MAX_RECENT_SUSPECTS: usize = 64;
/// Largest number of recent crashes with prompt parts in a report.
const MAX_RECENT_PART_CRASHES: usize = 16;

/// Returns the suspected requests for a report.
pub fn report_requests<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> Vec<SuspectEntry> {
    let mut records = state.suspects.borrow_mut().export(now_ms);
    records.sort_by_key(|record| record.age_ms);
    let selected = select(records, MAX_RECENT_SUSPECTS, |record| record.age_ms);
    let entries = selected.into_iter().map(|record| SuspectEntry {
        fingerprint: record.fingerprint,
        target_hash: record.target_hash,
        age_ms: record.age_ms,
    });
    entries.collect()
}

/// Returns the crashes with suspected prompt parts for a report.
pub fn report_crashes<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> Vec<PartCrashEntry> {
    let records = state.part_suspects.borrow_mut().export_crashes(now_ms);
    let selected = select(records, MAX_RECENT_PART_CRASHES, |record| record.age_ms);
    let entries = selected.into_iter().map(|record| PartCrashEntry {
        parts: record.parts,
        target_hash: record.target_hash,
        age_ms: record.age_ms,
        in_flight_ms: record.in_flight_ms,
    });
    entries.collect()
}

/// Returns when the parts of reported crashes were last answered.
pub fn report_starts<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    crashes: &[PartCrashEntry],
    now_ms: u64,
) -> Vec<PartStartEntry> {
    let parts = crashes.iter().flat_map(|crash| crash.parts.iter().copied());
    let starts = state.part_suspects.borrow().export_starts(parts, now_ms);
    let entries = starts.into_iter().map(|start| PartStartEntry {
        part: start.part,
        age_ms: start.age_ms,
    });
    entries.collect()
}

/// Merges the crash suspects of a report.
pub fn apply<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    report: &PeerReport,
    now_ms: u64,
) {
    let mut suspects = state.suspects.borrow_mut();
    for entry in &report.suspects {
        let record = suspect::SuspectRecord {
            fingerprint: entry.fingerprint,
            target_hash: entry.target_hash,
            age_ms: entry.age_ms,
        };
        suspects.merge(record, now_ms);
    }
    let mut part_suspects = state.part_suspects.borrow_mut();
    for entry in &report.part_crashes {
        let record = suspect::PartCrashRecord {
            parts: entry.parts.clone(),
            target_hash: entry.target_hash,
            age_ms: entry.age_ms,
            in_flight_ms: entry.in_flight_ms,
        };
        part_suspects.merge_crash(&record, now_ms);
    }
    for entry in &report.part_starts {
        let record = suspect::PartStartRecord {
            part: entry.part,
            age_ms: entry.age_ms,
        };
        part_suspects.merge_start(record, now_ms);
    }
}

/// Selects from records in the order of their ages the recent ones and a random selection of older
/// ones.
fn select<Record: Clone>(
    mut records: Vec<Record>,
    max_recent: usize,
    age_ms: impl Fn(&Record) -> u64,
) -> Vec<Record> {
    let recent = records.partition_point(|record| age_ms(record) < RECENT_CRASH_MS);
    let older = records.split_off(recent);
    records.truncate(max_recent);
    if !older.is_empty() {
        let first = rand::random_range(0..older.len());
        let rotated = older.iter().cycle().skip(first);
        records.extend(rotated.take(MAX_OLDER_CRASHES.min(older.len())).cloned());
    }
    records
}
