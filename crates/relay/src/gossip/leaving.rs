//! Reports of targets that leave, for daemons to which they have not said so.

use acaciabank_core::target_signal::{LeavingMark, LeavingSource};
use serde::{Deserialize, Serialize};

use crate::{state, target};

/// Age up to which every report contains a mark, as some reports may be lost.
const RECENT_MARK_MS: u64 = 3_000;
/// Largest number of recent marks in a report.
const MAX_RECENT_MARKS: usize = 64;
/// Largest number of older marks in a report, different ones each time, for daemons that have
/// started since.
const MAX_OLDER_MARKS: usize = 8;

/// An incarnation of a target that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingEntry {
    /// Hash of the incarnation.
    pub target_hash: u64,
    /// Time since the target stated that it leaves.
    pub age_ms: u64,
}

/// Returns the marks for a report: the recent ones, and a random selection of the older ones that
/// the platform still lists as ready.
pub fn leaving_entries<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> Vec<LeavingEntry> {
    let targets = state.targets.borrow();
    let is_listed_ready = |hash: u64| {
        let target = targets.by_hash(hash);
        target.is_some_and(|target| !target.is_draining.get())
    };
    let marks = targets.leaving_marks();
    let entries = marks.map(|(target_hash, mark)| LeavingEntry {
        target_hash,
        age_ms: now_ms.saturating_sub(mark.since_ms),
    });
    let (mut recent, older): (Vec<_>, Vec<_>) =
        entries.partition(|entry| entry.age_ms < RECENT_MARK_MS);
    recent.truncate(MAX_RECENT_MARKS);
    let older = older.into_iter();
    let older: Vec<_> = older
        .filter(|entry| is_listed_ready(entry.target_hash))
        .collect();
    let first = rand::random_range(0..older.len().max(1));
    let rotated = older.iter().cycle().skip(first);
    recent.extend(rotated.take(MAX_OLDER_MARKS.min(older.len())));
    recent
}

/// Records the marks of another daemon's report.
pub fn apply_leaving<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    entries: &[LeavingEntry],
    now_ms: u64,
) {
    let mut targets = state.targets.borrow_mut();
    for entry in entries {
        let mark = LeavingMark {
            source: LeavingSource::Peer,
            since_ms: now_ms.saturating_sub(entry.age_ms),
        };
        let is_new = targets.record_leaving(entry.target_hash, mark, now_ms);
        if let Some(target) = targets.by_hash(entry.target_hash).filter(|_| is_new) {
            target::log_leaving(&target.entry.id, mark.source, entry.age_ms);
        }
    }
}
