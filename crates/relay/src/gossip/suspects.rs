//! Crash suspects in reports: requests and prompt parts.

use acaciabank_core::suspect;

use super::{PartCrashEntry, PartStartEntry, PeerReport, SuspectEntry};
use crate::state;

/// Largest number of recent crash suspects in a report.
const MAX_RECENT_SUSPECTS: usize = 64;

/// Returns the suspected requests for a report.
pub fn report_requests<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> Vec<SuspectEntry> {
    let mut records = state.suspects.borrow_mut().export(now_ms);
    records.sort_by_key(|record| record.age_ms);
    let age_ms = |record: &suspect::SuspectRecord| record.age_ms;
    let rng = &mut rand::rng();
    let selected = suspect::select_reported(records, MAX_RECENT_SUSPECTS, age_ms, rng);
    let entries = selected.into_iter().map(|record| SuspectEntry {
        fingerprint: record.fingerprint,
        target_hash: record.target_hash,
        age_ms: record.age_ms,
    });
    entries.collect()
}

/// Returns the crashes with suspected prompt parts for a report, and when these parts were last
/// answered.
pub fn report_parts<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> (Vec<PartCrashEntry>, Vec<PartStartEntry>) {
    let mut suspects = state.part_suspects.borrow_mut();
    let report = suspects.report(now_ms, &mut rand::rng());
    let crashes = report.crashes.into_iter().map(|record| PartCrashEntry {
        parts: record.parts,
        target_hash: record.target_hash,
        age_ms: record.age_ms,
        in_flight_ms: record.in_flight_ms,
    });
    let starts = report.starts.into_iter().map(|start| PartStartEntry {
        part: start.part,
        age_ms: start.age_ms,
    });
    (crashes.collect(), starts.collect())
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
