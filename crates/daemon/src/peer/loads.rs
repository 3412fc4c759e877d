//! Connects entries to the loads of targets and to crash suspects.

use acaciabank_core::{member, suspect};

use crate::process;

/// Loads of the targets that this daemon owns.
pub(super) fn local_loads(state: &process::ProcessState) -> Vec<member::TargetLoad> {
    state
        .targets
        .owned_summaries(|target| state.peers.owns(target))
}

/// Crash suspects that this daemon knows.
pub(super) fn local_suspects(state: &process::ProcessState) -> Vec<member::SuspectReport> {
    let to_report = |record: suspect::SuspectRecord| member::SuspectReport {
        fingerprint: record.fingerprint,
        crashes: record.crashes,
        age_ms: u32::try_from(record.age_ms).unwrap_or(u32::MAX),
    };
    state
        .targets
        .export_suspects()
        .into_iter()
        .map(to_report)
        .collect()
}

/// Takes the loads and suspects that another daemon publishes. Loads of targets that this daemon
/// polls itself are ignored: its own reports are newer.
pub(super) fn apply_entry(state: &process::ProcessState, entry: &member::MemberEntry) {
    let snapshot = state.targets.snapshot();
    for load in &entry.loads {
        let target = snapshot.by_hash.get(&load.target);
        if target.is_some_and(|target| !state.peers.owns(&target.id)) {
            state.targets.update_from_peer(load);
        }
    }
    for report in &entry.suspects {
        state.targets.merge_suspect(suspect::SuspectRecord {
            fingerprint: report.fingerprint,
            crashes: report.crashes,
            age_ms: report.age_ms.into(),
        });
    }
}
