//! Connects entries to the loads of targets.

use acaciabank_core::member;

use crate::process;

/// Loads of the targets that this daemon owns.
pub(super) fn local_loads(_state: &process::ProcessState) -> Vec<member::TargetLoad> {
    Vec::new()
}

/// Takes the loads that another daemon publishes.
pub(super) fn apply_loads(_state: &process::ProcessState, _entry: &member::MemberEntry) {}
