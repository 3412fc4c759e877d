//! Who reads the store, and how what was read spreads.
//!
//! Calls to the store are limited for all daemons together, so two of them watch it closely and tell
//! the others what has changed. A daemon that hears no fresh news from them reads the store itself,
//! and every daemon does so now and then to make up for news that were lost.

use std::cell::{Cell, RefCell};

use crate::edge;

/// Daemons that watch the store closely: one more than may be lost without notice.
pub const WATCHER_COUNT: usize = 2;
/// Age of the news from which a daemon reads the store itself: what changes has to be known two
/// seconds after the store has acknowledged it.
const STALE_MS: u64 = 1_300;
/// Time after which a daemon reads the store whatever it hears. News that were lost are noticed by
/// their versions, so this only bounds the effect of a fault in the news themselves.
const RECHECK_MS: u64 = 60_000;
/// Time for which changes are repeated in reports, so that some may be lost.
const REPEAT_MS: u64 = 1_500;
/// Changes in a report at most; what is left out is read from the store by the others.
const MAX_NEWS: usize = 64;

/// One kind of what the store holds.
#[derive(Debug, Default)]
pub struct DataFreshness {
    /// Time of the last answer of the store to this daemon.
    direct_ms: Cell<Option<u64>>,
    /// Time of the newest answer of the store that this daemon knows the content of.
    fresh_ms: Cell<u64>,
    /// Version of the store up to which this daemon knows the content.
    version: Cell<u64>,
}

impl DataFreshness {
    /// The store has answered a question that was sent at the given time, with all up to a version.
    pub fn record_store_read(&self, sent_ms: u64, version: u64) {
        self.direct_ms.set(Some(sent_ms));
        self.version.set(self.version.get().max(version));
        self.record_fresh(sent_ms);
    }

    /// Another daemon has told all that changed after one version up to another, as the store
    /// answered at the given time. What changed before may have been missed, unless this daemon has
    /// newer news already.
    pub fn record_peer_changes(&self, fresh_ms: u64, after: u64, version: u64) {
        if fresh_ms <= self.fresh_ms.get() {
            return;
        }
        if after > self.version.get() {
            self.record_gap();
            return;
        }
        self.version.set(self.version.get().max(version));
        self.record_fresh(fresh_ms);
    }

    /// Another daemon has told what the store answered at the given time.
    pub fn record_fresh(&self, fresh_ms: u64) {
        self.fresh_ms.set(self.fresh_ms.get().max(fresh_ms));
    }

    /// Changes may have been missed: the store is read again whatever others tell.
    pub fn record_gap(&self) {
        self.direct_ms.set(None);
    }

    /// Age of what this daemon has read itself.
    pub fn store_read_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.direct_ms
            .get()
            .map(|direct_ms| now_ms.saturating_sub(direct_ms))
    }

    /// Whether this daemon, at the given position among all, reads the store now.
    pub fn is_due(&self, rank: usize, now_ms: u64) -> bool {
        let is_rechecked = self
            .store_read_age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < RECHECK_MS);
        let is_fresh = now_ms.saturating_sub(self.fresh_ms.get()) < STALE_MS;
        rank < WATCHER_COUNT || !is_fresh || !is_rechecked
    }
}

/// What this daemon knows of the store.
#[derive(Debug, Default)]
pub struct StoreWatch {
    /// Configuration.
    pub config: DataFreshness,
    /// Targets.
    pub targets: DataFreshness,
    news: RefCell<Vec<RetainedChanges>>,
}

/// One answer of the store about targets.
#[derive(Debug)]
struct RetainedChanges {
    /// Time until which it is repeated.
    until_ms: u64,
    /// Version that it follows.
    after: u64,
    changes: edge::TargetChanges,
}

/// Changes of targets for a report.
#[derive(Clone, Debug, Default)]
pub struct RecentChanges {
    /// The changes, and the version up to which they are known.
    pub changes: edge::TargetChanges,
    /// Version after which they are complete.
    pub after: u64,
    /// Whether some were left out, or the store has not answered lately.
    pub is_truncated: bool,
}

impl StoreWatch {
    /// Keeps an answer of the store about what changed after a version for the next reports; tells
    /// whether anything has changed. A whole list is no news: hundreds of daemons that start together
    /// would fill their links with lists that each of them reads anyway.
    pub fn record_changes(&self, after: u64, changes: &edge::TargetChanges, now_ms: u64) -> bool {
        if changes.is_complete {
            self.news.borrow_mut().clear();
            return false;
        }
        self.news.borrow_mut().push(RetainedChanges {
            until_ms: now_ms + REPEAT_MS,
            after,
            changes: changes.clone(),
        });
        !changes.present.is_empty() || !changes.absent.is_empty()
    }

    /// Changes that the next report repeats.
    pub fn recent_changes(&self, now_ms: u64) -> RecentChanges {
        let mut kept = self.news.borrow_mut();
        kept.retain(|news| news.until_ms > now_ms);
        let mut recent = RecentChanges {
            after: kept.iter().map(|news| news.after).min().unwrap_or(u64::MAX),
            ..RecentChanges::default()
        };
        let all = &mut recent.changes;
        for news in kept.iter() {
            all.present.extend(news.changes.present.iter().cloned());
            all.absent.extend(news.changes.absent.iter().cloned());
            all.version = all.version.max(news.changes.version);
        }
        recent.is_truncated =
            kept.is_empty() || all.present.len() > MAX_NEWS || all.absent.len() > MAX_NEWS;
        all.present.truncate(MAX_NEWS);
        all.absent.truncate(MAX_NEWS);
        recent
    }
}
