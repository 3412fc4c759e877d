//! Limits in the reports between daemons, for those to which the targets have not named them.

use acaciabank_core::{
    rate_limit::{LimitChange, LimitRecord, RateLimit},
    target_signal::LeavingSource,
};
use serde::{Deserialize, Serialize};

use crate::{state, target};

/// Age up to which every report contains a statement, as some reports may be lost.
const RECENT_MS: u64 = 3_000;
/// Largest number of recent statements in a report.
const MAX_RECENT: usize = 64;
/// Largest number of older statements in a report, different ones each time, for daemons that have
/// started since.
const MAX_OLDER: usize = 8;

/// What a target has stated to the sender about its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitEntry {
    /// Hash of the incarnation.
    pub target_hash: u64,
    /// The limit; `None` if the target names none any more.
    pub limit: Option<RateLimit>,
    /// Time since the statement.
    pub age_ms: u64,
}

impl LimitEntry {
    /// Creates the entry of a record.
    pub fn new(target_hash: u64, record: LimitRecord, now_ms: u64) -> Self {
        Self {
            target_hash,
            limit: record.limit,
            age_ms: now_ms.saturating_sub(record.stated_ms),
        }
    }

    fn record(&self, now_ms: u64) -> LimitRecord {
        LimitRecord {
            limit: self.limit,
            stated_ms: now_ms.saturating_sub(self.age_ms),
        }
    }
}

/// Returns the statements for a report: the recent ones, and a selection of the older ones.
pub fn limit_entries<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> Vec<LimitEntry> {
    let known = state.rate_limits.known.borrow();
    let entries = known
        .own_records()
        .map(|(hash, record)| LimitEntry::new(hash, record, now_ms));
    let (mut recent, older): (Vec<_>, Vec<_>) = entries.partition(|entry| entry.age_ms < RECENT_MS);
    recent.truncate(MAX_RECENT);
    let first = rand::random_range(0..older.len().max(1));
    let rotated = older.iter().cycle().skip(first);
    recent.extend(rotated.take(MAX_OLDER.min(older.len())));
    recent
}

/// Adopts the statements of another daemon's report.
pub fn apply_limits<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    entries: &[LimitEntry],
    now_ms: u64,
) {
    for entry in entries {
        let change = state
            .rate_limits
            .merge(entry.target_hash, entry.record(now_ms));
        if change == LimitChange::Unchanged {
            continue;
        }
        let mut targets = state.targets.borrow_mut();
        targets.apply_limit_change(entry.target_hash, change, now_ms, rand::random());
        if let Some(target) = targets.by_hash(entry.target_hash) {
            let source = LeavingSource::Peer;
            target::log_limit(&target.entry.id, change, source, entry.age_ms);
        }
    }
}
