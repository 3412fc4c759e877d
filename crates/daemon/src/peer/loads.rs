//! Loads of targets and crash suspects in the entries that daemons exchange.

use std::collections;

use acaciabank_core::member;
use acaciabank_protocol::ids;

use crate::{process, target};

/// Number of targets in a region up to which loads are reported in every tick. With more targets
/// the interval grows, so that the traffic stays about constant.
const TARGETS_PER_TICK: usize = 48;

/// Largest number of ticks between two reports; routing by older loads is worse than without them.
const MAX_REPORT_TICKS: usize = 10;

/// Returns the ticks between two load reports in a region with the given number of targets.
pub(super) fn report_interval_ticks(targets: usize) -> u32 {
    let ticks = targets.div_ceil(TARGETS_PER_TICK);
    ticks.clamp(1, MAX_REPORT_TICKS) as u32
}

/// Returns the loads of the targets that this daemon polls, and notices of targets that it drains
/// for an order.
pub(super) fn local_loads(state: &process::ProcessState) -> Vec<member::TargetLoad> {
    let owns = |target: &ids::TargetId| state.peers.owns(target);
    let mut loads = state.targets.owned_summaries(owns);
    loads.extend(state.targets.pending_notices(owns));
    loads
}

/// Applies the loads that another daemon publishes. Loads of targets that this daemon polls itself
/// are ignored, because its own reports are newer.
pub(super) fn apply_loads(state: &process::ProcessState, loads: &[member::TargetLoad]) {
    let snapshot = state.targets.snapshot();
    let backoff_ms = state.settings.timers.suspect_after_ms;
    for load in loads {
        if state.targets.apply_notice(load, backoff_ms) {
            continue;
        }
        let target = snapshot.by_hash.get(&load.target_hash);
        if target.is_some_and(|target| !state.peers.owns(&target.id)) {
            state.targets.apply_summary(load);
        }
    }
}

/// Applies the cache changes of a target if another daemon polls it.
pub(super) fn apply_pieces(state: &process::ProcessState, delta: &target::PieceDelta) {
    let snapshot = state.targets.snapshot();
    let target = snapshot.by_hash.get(&delta.target_hash);
    if target.is_some_and(|target| !state.peers.owns(&target.id)) {
        let pieces = delta.stored.len() + delta.removed.len();
        metrics::counter!("acaciabank_piece_changes_received_total").increment(pieces as u64);
        state.targets.apply_piece_delta(delta);
    }
}

/// Tracks which targets' states have changed since they were published.
#[derive(Debug, Default)]
pub(super) struct PublishedStates {
    /// Published flags and state sequence, by the target's hash.
    states: collections::HashMap<u32, (u8, u32)>,
}

impl PublishedStates {
    /// Returns the hashes of the targets whose state differs from the published one. Their loads
    /// are sent at once, so that a withdrawal does not wait for the next report. A target that is
    /// drained for an order is listed in every tick, because receivers back off from it for a
    /// limited time only.
    pub(super) fn take_changed(&mut self, loads: &[member::TargetLoad]) -> Vec<u32> {
        let mut changed = Vec::new();
        let states = loads
            .iter()
            .map(|load| (load.target_hash, (load.flags, load.state_sequence)));
        let states: collections::HashMap<_, _> = states.collect();
        for (target_hash, target_state) in &states {
            let is_pending = target_state.0 & target::ORDER_PENDING_FLAG != 0;
            if is_pending || self.states.get(target_hash) != Some(target_state) {
                changed.push(*target_hash);
            }
        }
        self.states = states;
        changed
    }
}
