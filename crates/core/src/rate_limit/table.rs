//! What a daemon knows of the limits that targets name, by its own responses and by reports.

use std::collections::HashMap;

use super::RateLimit;

/// Time for which the end of a limit is kept, so that older reports do not bring the limit back.
const END_TTL_MS: u64 = 10_000;
/// Time for which a limit is kept for an incarnation that the platform does not list.
const UNLISTED_TTL_MS: u64 = 60_000;

/// Times of a response of a target, by the daemon's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTimes {
    /// Time at which its request was sent.
    pub sent_ms: u64,
    /// Time at which its head was received.
    pub received_ms: u64,
}

/// What a target said about its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRecord {
    /// The limit; `None` if the target names none any more.
    pub limit: Option<RateLimit>,
    /// Time of the statement. A response may be late, so that a limit counts as stated when it was
    /// received, and a higher one or its end when the request was sent: that is the latest time that
    /// can be meant in the one case, the earliest in the other.
    pub stated_ms: u64,
}

/// What a statement changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing.
    Unchanged,
    /// The target names a limit and did not before.
    Named(RateLimit),
    /// The target names another limit.
    Changed(RateLimit),
    /// The target names no limit any more.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    record: LimitRecord,
    /// Time of the last statement to this daemon of what `record` says; `None` if only others have
    /// been told.
    own_ms: Option<u64>,
}

/// Limits by hash of the target's incarnation.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    known: HashMap<u64, KnownLimit>,
}

impl LimitTable {
    /// Whether nothing is known of any target.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the limit of a target.
    pub fn limit_of(&self, target_hash: u64) -> Option<RateLimit> {
        self.known.get(&target_hash)?.record.limit
    }

    /// Returns what is known of a target's limit.
    pub fn record_of(&self, target_hash: u64) -> Option<LimitRecord> {
        Some(self.known.get(&target_hash)?.record)
    }

    /// Records what a response to this daemon says about a target's limit.
    pub fn record_answer(
        &mut self,
        target_hash: u64,
        limit: Option<RateLimit>,
        times: AnswerTimes,
    ) -> LimitChange {
        let known = self.limit_of(target_hash);
        let is_relaxed = match (known, limit) {
            // There is nothing to end.
            (None, None) => return LimitChange::Unchanged,
            (None, Some(_)) => false,
            (Some(known), limit) => limit.is_none_or(|limit| limit > known),
        };
        let stated_ms = match is_relaxed {
            true => times.sent_ms,
            false => times.received_ms,
        };
        let record = LimitRecord { limit, stated_ms };
        let change = self.merge(target_hash, record);
        if let Some(entry) = self.known.get_mut(&target_hash)
            && entry.record.limit == limit
        {
            entry.own_ms = entry.own_ms.max(Some(stated_ms));
        }
        change
    }

    /// Adopts a statement if it is newer than the known one.
    pub fn merge(&mut self, target_hash: u64, record: LimitRecord) -> LimitChange {
        let Some(entry) = self.known.get_mut(&target_hash) else {
            let own_ms = None;
            self.known
                .insert(target_hash, KnownLimit { record, own_ms });
            return record
                .limit
                .map_or(LimitChange::Unchanged, LimitChange::Named);
        };
        if record.stated_ms <= entry.record.stated_ms {
            return LimitChange::Unchanged;
        }
        let before = entry.record.limit;
        entry.record = record;
        if before == record.limit {
            return LimitChange::Unchanged;
        }
        entry.own_ms = None;
        match (before, record.limit) {
            (_, None) => LimitChange::Ended,
            (None, Some(limit)) => LimitChange::Named(limit),
            (Some(_), Some(limit)) => LimitChange::Changed(limit),
        }
    }

    /// Returns what targets have stated to this daemon itself, by hash. Reports contain nothing
    /// else: what daemons repeat of each other would seem newer each time.
    pub fn own_records(&self) -> impl Iterator<Item = (u64, LimitRecord)> {
        self.known.iter().filter_map(|(hash, entry)| {
            let stated_ms = entry.own_ms?;
            let limit = entry.record.limit;
            Some((*hash, LimitRecord { limit, stated_ms }))
        })
    }

    /// Forgets ends that are over, and limits of incarnations that have not been listed for long.
    pub fn expire(&mut self, now_ms: u64, is_listed: impl Fn(u64) -> bool) {
        self.known.retain(|hash, entry| {
            let age_ms = now_ms.saturating_sub(entry.record.stated_ms);
            match entry.record.limit {
                None => age_ms < END_TTL_MS,
                Some(_) => is_listed(*hash) || age_ms < UNLISTED_TTL_MS,
            }
        });
    }
}
