//! What daemons tell each other about the targets that they own.

use std::{collections::HashSet, sync::atomic::Ordering, time::Duration};

use acaciabank_core::member::TargetLoad;
use acaciabank_protocol::{ids, settings::EngineRole, wire};

use super::{TargetRegistry, TargetState, WithdrawalCause};

const REACHABLE_FLAG: u8 = 1;
const SWITCHING_FLAG: u8 = 2;
const ROLE_SHIFT: u8 = 2;
/// An order is pending: the sender drains the target.
pub(crate) const PENDING_FLAG: u8 = 16;
/// The summary carries nothing but its flags, because the sender does not own the target.
const NOTICE_FLAG: u8 = 32;

/// Changes of a target's prefix cache; the fields of `PieceSet` in the schema.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceDelta {
    /// Short name of the target.
    pub target: u32,
    /// Age of the changes when the delta was made.
    pub age_ms: u32,
    /// Pieces stored.
    pub stored: Vec<u64>,
    /// Pieces removed.
    pub removed: Vec<u64>,
    /// Whether everything known before is void.
    pub reset: bool,
}

impl TargetRegistry {
    /// Applies the summary of a target that another daemon owns.
    pub fn update_from_peer(&self, summary: &TargetLoad) {
        let snapshot = self.snapshot();
        let Some(target) = snapshot.by_hash.get(&summary.target_hash) else {
            return;
        };
        let role = role_of(summary.flags);
        target.refresh(|condition| condition.role = role);
        target.record_load(
            load_of(summary),
            Duration::from_millis(summary.age_ms.into()),
        );
        let unreachable = summary.flags & REACHABLE_FLAG == 0;
        target.mark(WithdrawalCause::Unreachable, unreachable);
        let switching = summary.flags & SWITCHING_FLAG != 0;
        target.mark(WithdrawalCause::Switching, switching);
        self.admission.wake_target(target);
    }

    /// Applies the notice of a pending order, from whichever daemon gives orders to the target, and
    /// avoids the target for `avoid_ms`. Returns whether the summary carries nothing else.
    pub fn apply_notice(&self, summary: &TargetLoad, avoid_ms: u64) -> bool {
        let snapshot = self.snapshot();
        if summary.flags & PENDING_FLAG != 0
            && let Some(target) = snapshot.by_hash.get(&summary.target_hash)
        {
            target.back_off(avoid_ms);
        }
        summary.flags & NOTICE_FLAG != 0
    }

    /// Notices of pending orders of this daemon to targets that it does not own.
    pub fn pending_notices(&self, owns: impl Fn(&ids::TargetId) -> bool) -> Vec<TargetLoad> {
        let snapshot = self.snapshot();
        let pending = snapshot
            .all
            .iter()
            .filter(|target| target.has_mark(WithdrawalCause::OrderPending) && !owns(&target.id));
        let notices = pending.map(|target| TargetLoad {
            target_hash: target.hash,
            flags: PENDING_FLAG | NOTICE_FLAG,
            ..TargetLoad::default()
        });
        notices.collect()
    }

    /// Summaries of the targets for which `owns` is true and a report exists.
    pub fn owned_summaries(&self, owns: impl Fn(&ids::TargetId) -> bool) -> Vec<TargetLoad> {
        let snapshot = self.snapshot();
        let owned = snapshot.all.iter().filter(|target| owns(&target.id));
        owned.filter_map(|target| summary_of(target)).collect()
    }

    /// Takes the cache changes of owned targets since the last call.
    pub fn take_piece_deltas(&self) -> Vec<PieceDelta> {
        let Ok(mut changes) = self.piece_changes.lock() else {
            return Vec::new();
        };
        changes.drain().map(|(_, delta)| delta).collect()
    }

    /// Applies the cache changes of a target that another daemon owns.
    pub fn apply_piece_delta(&self, delta: &PieceDelta) {
        let stored_ms = super::now_ms().saturating_sub(delta.age_ms.into());
        let Ok(mut prefixes) = self.prefixes.write() else {
            return;
        };
        if delta.reset {
            prefixes.reset(delta.target);
        }
        for piece in &delta.removed {
            prefixes.remove(delta.target, *piece);
        }
        for piece in &delta.stored {
            prefixes.store(delta.target, *piece, stored_ms);
        }
    }

    /// Records polled cache changes: in the own index, and for the other daemons.
    pub(super) fn record_pieces(&self, delta: PieceDelta) {
        self.apply_piece_delta(&delta);
        let Ok(mut changes) = self.piece_changes.lock() else {
            return;
        };
        let pending = changes.entry(delta.target).or_default();
        if delta.reset {
            *pending = delta;
            return;
        }
        pending.target = delta.target;
        merge(&mut pending.stored, &mut pending.removed, delta.removed);
        merge(&mut pending.removed, &mut pending.stored, delta.stored);
    }
}

/// Adds pieces to `added` and takes them out of the opposite list.
fn merge(opposite: &mut Vec<u64>, added: &mut Vec<u64>, pieces: Vec<u64>) {
    let new: HashSet<u64> = pieces.into_iter().collect();
    opposite.retain(|piece| !new.contains(piece));
    added.retain(|piece| !new.contains(piece));
    added.extend(new);
}

fn role_of(flags: u8) -> EngineRole {
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

fn load_of(summary: &TargetLoad) -> wire::EngineLoad {
    wire::EngineLoad {
        running: summary.running.into(),
        waiting: summary.waiting.into(),
        waiting_prefill_tokens: summary.waiting_prefill_tokens.into(),
        running_decode: summary.running_decode.into(),
        slots: summary.slots.into(),
        ..wire::EngineLoad::default()
    }
}

fn summary_of(target: &TargetState) -> Option<TargetLoad> {
    let condition = target.condition.load();
    let unreachable = target.has_mark(WithdrawalCause::Unreachable);
    if condition.cause == Some(WithdrawalCause::Unknown) {
        return None;
    }
    let mut flags = role_flags(condition.role);
    if !unreachable {
        flags |= REACHABLE_FLAG;
    }
    if target.has_mark(WithdrawalCause::Switching) {
        flags |= SWITCHING_FLAG;
    }
    if target.has_mark(WithdrawalCause::OrderPending) {
        flags |= PENDING_FLAG;
    }
    let load = &condition.load;
    let narrow = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    Some(TargetLoad {
        target_hash: target.hash,
        age_ms: condition.load_as_of.elapsed().as_millis() as u32,
        running: narrow(load.running),
        waiting: narrow(load.waiting),
        waiting_prefill_tokens: u32::try_from(load.waiting_prefill_tokens).unwrap_or(u32::MAX),
        running_decode: narrow(load.running_decode),
        slots: narrow(load.slots),
        flags,
        state_sequence: target.marks.state_sequence.load(Ordering::Acquire),
    })
}
