//! Summaries of target loads and prefix caches that daemons exchange.

use std::{collections::HashSet, sync::atomic::Ordering, time::Duration};

use acaciabank_core::member::TargetLoad;
use acaciabank_protocol::{ids, settings::EngineRole, wire};

use super::{TargetRegistry, TargetState, WithdrawalCause};

// Bits of `TargetLoad::flags`.
const REACHABLE_FLAG: u8 = 1;
const SWITCHING_FLAG: u8 = 2;
const ROLE_SHIFT: u8 = 2;
/// The sender drains the target for an order that it is about to send.
pub(crate) const ORDER_PENDING_FLAG: u8 = 16;
/// Only the flags of the summary are valid, because the sender does not own the target.
const NOTICE_FLAG: u8 = 32;

/// Changes of a target's prefix cache; corresponds to `PieceSet` in the schema.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceDelta {
    /// Hash of the target's name.
    pub target_hash: u32,
    /// Age of the changes when the delta was created, in milliseconds.
    pub age_ms: u32,
    /// Hashes of the pieces stored.
    pub stored: Vec<u64>,
    /// Hashes of the pieces removed.
    pub removed: Vec<u64>,
    /// Whether all pieces known before are to be discarded first.
    pub reset: bool,
}

impl TargetRegistry {
    /// Applies the summary of a target that another daemon owns.
    pub fn apply_summary(&self, summary: &TargetLoad) {
        let snapshot = self.snapshot();
        let Some(target) = snapshot.by_hash.get(&summary.target_hash) else {
            return;
        };
        let role = role_from_flags(summary.flags);
        target.update_condition(|condition| condition.role = role);
        target.record_load(
            load_from_summary(summary),
            Duration::from_millis(summary.age_ms.into()),
        );
        let is_unreachable = summary.flags & REACHABLE_FLAG == 0;
        target.set_cause(WithdrawalCause::Unreachable, is_unreachable);
        let is_switching = summary.flags & SWITCHING_FLAG != 0;
        target.set_cause(WithdrawalCause::Switching, is_switching);
        self.admission.wake_target(target);
    }

    /// Backs off from the target for `backoff_ms` if the summary announces a pending order. The
    /// sender need not own the target. Returns whether only the flags of the summary are valid.
    pub fn apply_notice(&self, summary: &TargetLoad, backoff_ms: u64) -> bool {
        let snapshot = self.snapshot();
        if summary.flags & ORDER_PENDING_FLAG != 0
            && let Some(target) = snapshot.by_hash.get(&summary.target_hash)
        {
            target.back_off(backoff_ms);
        }
        summary.flags & NOTICE_FLAG != 0
    }

    /// Notices of this daemon's pending orders to targets that it does not own.
    pub fn pending_notices(&self, owns: impl Fn(&ids::TargetId) -> bool) -> Vec<TargetLoad> {
        let snapshot = self.snapshot();
        let pending = snapshot
            .all
            .iter()
            .filter(|target| target.has_cause(WithdrawalCause::OrderPending) && !owns(&target.id));
        let notices = pending.map(|target| TargetLoad {
            target_hash: target.hash,
            flags: ORDER_PENDING_FLAG | NOTICE_FLAG,
            ..TargetLoad::default()
        });
        notices.collect()
    }

    /// Summaries of the targets for which `owns` is true and a report exists.
    pub fn owned_summaries(&self, owns: impl Fn(&ids::TargetId) -> bool) -> Vec<TargetLoad> {
        let snapshot = self.snapshot();
        let owned = snapshot.all.iter().filter(|target| owns(&target.id));
        owned.filter_map(|target| summarize(target)).collect()
    }

    /// Takes the cache changes of owned targets since the last call.
    pub fn take_piece_deltas(&self) -> Vec<PieceDelta> {
        let Ok(mut changes) = self.piece_changes.lock() else {
            return Vec::new();
        };
        changes.drain().map(|(_, delta)| delta).collect()
    }

    /// Applies cache changes of a target to this daemon's index.
    pub fn apply_piece_delta(&self, delta: &PieceDelta) {
        let stored_ms = super::now_ms().saturating_sub(delta.age_ms.into());
        let Ok(mut piece_index) = self.piece_index.write() else {
            return;
        };
        if delta.reset {
            piece_index.reset(delta.target_hash);
        }
        for piece in &delta.removed {
            piece_index.remove(delta.target_hash, *piece);
        }
        for piece in &delta.stored {
            piece_index.store(delta.target_hash, *piece, stored_ms);
        }
    }

    /// Applies polled cache changes to this daemon's index and queues them for the other daemons.
    pub(super) fn record_pieces(&self, delta: PieceDelta) {
        self.apply_piece_delta(&delta);
        let Ok(mut changes) = self.piece_changes.lock() else {
            return;
        };
        let pending = changes.entry(delta.target_hash).or_default();
        if delta.reset {
            *pending = delta;
            return;
        }
        pending.target_hash = delta.target_hash;
        merge(&mut pending.stored, &mut pending.removed, delta.removed);
        merge(&mut pending.removed, &mut pending.stored, delta.stored);
    }
}

/// Adds pieces without duplicates to `added` and removes them from `opposite`, because the later
/// change of a piece replaces the earlier one.
fn merge(opposite: &mut Vec<u64>, added: &mut Vec<u64>, pieces: Vec<u64>) {
    let new: HashSet<u64> = pieces.into_iter().collect();
    opposite.retain(|piece| !new.contains(piece));
    added.retain(|piece| !new.contains(piece));
    added.extend(new);
}

fn role_from_flags(flags: u8) -> EngineRole {
    match (flags >> ROLE_SHIFT) & 3 {
        1 => EngineRole::Prefill,
        2 => EngineRole::Decode,
        _ => EngineRole::Mixed,
    }
}

fn role_flags(role: EngineRole) -> u8 {
    let role = match role {
        EngineRole::Mixed => 0,
        EngineRole::Prefill => 1,
        EngineRole::Decode => 2,
    };
    role << ROLE_SHIFT
}

fn load_from_summary(summary: &TargetLoad) -> wire::EngineLoad {
    wire::EngineLoad {
        running: summary.running.into(),
        waiting: summary.waiting.into(),
        waiting_prefill_tokens: summary.waiting_prefill_tokens.into(),
        running_decode: summary.running_decode.into(),
        slots: summary.slots.into(),
        ..wire::EngineLoad::default()
    }
}

/// Summary of the target's last report; `None` before the first one.
fn summarize(target: &TargetState) -> Option<TargetLoad> {
    let condition = target.condition.load();
    let is_unreachable = target.has_cause(WithdrawalCause::Unreachable);
    if condition.cause == Some(WithdrawalCause::Unknown) {
        return None;
    }
    let mut flags = role_flags(condition.role);
    if !is_unreachable {
        flags |= REACHABLE_FLAG;
    }
    if target.has_cause(WithdrawalCause::Switching) {
        flags |= SWITCHING_FLAG;
    }
    if target.has_cause(WithdrawalCause::OrderPending) {
        flags |= ORDER_PENDING_FLAG;
    }
    let load = &condition.load;
    let saturate = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    Some(TargetLoad {
        target_hash: target.hash,
        age_ms: condition.load_as_of.elapsed().as_millis() as u32,
        running: saturate(load.running),
        waiting: saturate(load.waiting),
        waiting_prefill_tokens: u32::try_from(load.waiting_prefill_tokens).unwrap_or(u32::MAX),
        running_decode: saturate(load.running_decode),
        slots: saturate(load.slots),
        flags,
        state_sequence: target.tracker.state_sequence.load(Ordering::Acquire),
    })
}
