//! Connects entries to the loads of targets and to crash suspects.

use acaciabank_core::{member, suspect};
use acaciabank_protocol::ids;

use crate::process;

/// Loads of the targets that this daemon owns, and notices of targets that it drains for an order.
pub(super) fn local_loads(state: &process::ProcessState) -> Vec<member::TargetLoad> {
    let owns = |target: &ids::TargetId| state.peers.owns(target);
    let mut loads = state.targets.owned_summaries(owns);
    loads.extend(state.targets.pending_notices(owns));
    loads
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
    let avoid_ms = state.settings.timers.suspect_after_ms;
    for load in &entry.loads {
        if state.targets.apply_notice(load, avoid_ms) {
            continue;
        }
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
