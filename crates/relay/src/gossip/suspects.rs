//! Crash suspects in messages between daemons.

use acaciabank_core::suspect;
use serde::{Deserialize, Serialize};

use crate::state;

/// A crash of a target while a request waited for its first output there; see
/// `acaciabank_core::suspect`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEntry {
    /// Keys of the request and of its prompt parts that other requests may share.
    pub keys: Vec<u64>,
    /// Hash of the crashed target.
    pub target_hash: u32,
    /// Time since the crash.
    pub age_ms: u64,
    /// Time from the sending of the request to the crash.
    pub in_flight_ms: u64,
    /// Whether the request ran as a trial.
    pub is_trial: bool,
}

/// A key of a crash suspect that has been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerEntry {
    /// The key.
    pub key: u64,
    /// Time since the last answer began.
    pub age_ms: u64,
}

/// What a daemon reports on crash suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntries {
    /// Crashes.
    pub crashes: Vec<CrashEntry>,
    /// When the keys of `crashes`, and suspects that were cleared a moment ago, were last answered.
    pub answers: Vec<AnswerEntry>,
}

impl From<suspect::SuspectReport> for SuspectEntries {
    fn from(report: suspect::SuspectReport) -> Self {
        let crashes = report.crashes.into_iter().map(|record| CrashEntry {
            keys: record.keys,
            target_hash: record.target_hash,
            age_ms: record.age_ms,
            in_flight_ms: record.in_flight_ms,
            is_trial: record.is_trial,
        });
        let answers = report.answers.into_iter().map(|record| AnswerEntry {
            key: record.key,
            age_ms: record.age_ms,
        });
        Self {
            crashes: crashes.collect(),
            answers: answers.collect(),
        }
    }
}

impl From<&SuspectEntries> for suspect::SuspectReport {
    fn from(entries: &SuspectEntries) -> Self {
        let crashes = entries.crashes.iter().map(|entry| suspect::CrashRecord {
            keys: entry.keys.clone(),
            target_hash: entry.target_hash,
            age_ms: entry.age_ms,
            in_flight_ms: entry.in_flight_ms,
            is_trial: entry.is_trial,
        });
        let answers = entries.answers.iter().map(|entry| suspect::AnswerRecord {
            key: entry.key,
            age_ms: entry.age_ms,
        });
        Self {
            crashes: crashes.collect(),
            answers: answers.collect(),
        }
    }
}

/// Returns the crash suspects for a report.
pub fn report<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> SuspectEntries {
    let mut suspects = state.suspects.borrow_mut();
    suspects.report(now_ms, &mut rand::rng()).into()
}

/// Merges the crash suspects that another daemon reports.
pub fn apply<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    entries: &SuspectEntries,
    now_ms: u64,
) {
    let report = suspect::SuspectReport::from(entries);
    if report.is_empty() {
        return;
    }
    state.suspects.borrow_mut().merge_report(&report, now_ms);
    state.trials.wake_waiting();
}
