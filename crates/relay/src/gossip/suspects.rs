//! Crash suspects in reports.

use acaciabank_core::suspect;

use super::{AnswerEntry, CrashEntry, PeerReport};
use crate::state;

/// Returns the crashes for a report, and when suspects were last answered.
pub fn report<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> (Vec<CrashEntry>, Vec<AnswerEntry>) {
    let mut suspects = state.suspects.borrow_mut();
    let report = suspects.report(now_ms, &mut rand::rng());
    let crashes = report.crashes.into_iter().map(CrashEntry::from);
    let answers = report.answers.into_iter().map(|record| AnswerEntry {
        key: record.key,
        age_ms: record.age_ms,
    });
    (crashes.collect(), answers.collect())
}

/// Merges the crash suspects of a report.
pub fn apply<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    report: &PeerReport,
    now_ms: u64,
) {
    let mut suspects = state.suspects.borrow_mut();
    for entry in &report.crashes {
        suspects.merge_crash(&entry.into(), now_ms);
    }
    for entry in &report.answers {
        let record = suspect::AnswerRecord {
            key: entry.key,
            age_ms: entry.age_ms,
        };
        suspects.merge_answer(record, now_ms);
    }
}

impl From<suspect::CrashRecord> for CrashEntry {
    fn from(record: suspect::CrashRecord) -> Self {
        Self {
            keys: record.keys,
            target_hash: record.target_hash,
            age_ms: record.age_ms,
            in_flight_ms: record.in_flight_ms,
            is_trial: record.is_trial,
        }
    }
}

impl From<&CrashEntry> for suspect::CrashRecord {
    fn from(entry: &CrashEntry) -> Self {
        Self {
            keys: entry.keys.clone(),
            target_hash: entry.target_hash,
            age_ms: entry.age_ms,
            in_flight_ms: entry.in_flight_ms,
            is_trial: entry.is_trial,
        }
    }
}
