//! Decides which daemons read the platform's store, and keeps what they read for the others.
//!
//! The rate of calls to the store is limited for all daemons together, so [`WATCHER_COUNT`] of them
//! poll it and report changes to the others. A daemon that gets no fresh reports reads the store
//! itself, and every daemon does so once a minute to correct what lost reports may have left wrong.

mod pauses;

pub use pauses::PauseDetector;

use std::cell::{Cell, RefCell};

use acaciabank_core::store_version::StoreVersion;

use crate::platform;

/// Number of daemons that poll the store continuously: two, so that a failure of one delays no
/// change.
pub const WATCHER_COUNT: usize = 2;
/// Age of the known state from which a daemon reads the store itself: every change must be known
/// two seconds after the store has acknowledged it.
const STALE_AFTER_MS: u64 = 1_300;
/// Age of a daemon's last read from which it reads the store again regardless of reports. Lost
/// reports are noticed by their versions, so this only bounds the effect of incorrect reports.
const MAX_READ_AGE_MS: u64 = 60_000;
/// Time for which changes are repeated in reports, as some reports may be lost.
const RETENTION_MS: u64 = 1_500;
/// Maximum number of present and of absent targets in a report. If there are more, the report is
/// marked as truncated and the other daemons read the store.
const MAX_REPORTED_CHANGES: usize = 64;

/// How current this daemon's copy of one part of the store is.
#[derive(Debug, Default)]
pub struct DataFreshness {
    /// Time of this daemon's last read, unless changes may have been missed since.
    store_read_ms: Cell<Option<u64>>,
    /// Latest time at which the copy is known to have matched the store.
    fresh_ms: Cell<u64>,
    /// Latest time at which the copy is proven to have matched the store; `None` if it never was.
    /// Unlike `fresh_ms`, it takes no message for new that waited while this process was paused.
    confirmed_ms: Cell<Option<u64>>,
    /// Version of the store up to which the copy includes all changes.
    version: Cell<StoreVersion>,
}

impl DataFreshness {
    /// Records a read of the store, sent at the given time, that returned all changes up to a
    /// version.
    pub fn record_store_read(&self, sent_ms: u64, version: StoreVersion) {
        self.store_read_ms.set(Some(sent_ms));
        self.version.set(self.version.get().max(version));
        self.record_fresh(sent_ms);
    }

    /// Records that another daemon has reported all changes after one version up to another, which
    /// it read from the store at `fresh_ms`. Changes before `after` may have been missed, unless
    /// this daemon has a fresher copy already. All changes of a new era may have been missed until
    /// this daemon has read the store in it.
    pub fn record_peer_changes(&self, fresh_ms: u64, after: StoreVersion, version: StoreVersion) {
        let known = self.version.get();
        if fresh_ms <= self.fresh_ms.get() || version.era < known.era {
            return;
        }
        if after > known {
            self.record_gap();
            return;
        }
        self.version.set(known.max(version));
        self.record_fresh(fresh_ms);
    }

    /// Records that the copy matches what another daemon read from the store at `fresh_ms`.
    pub fn record_fresh(&self, fresh_ms: u64) {
        self.fresh_ms.set(self.fresh_ms.get().max(fresh_ms));
    }

    /// Records that the copy is proven to have matched the store at a time.
    pub fn record_confirmed(&self, confirmed_ms: u64) {
        self.confirmed_ms
            .set(self.confirmed_ms.get().max(Some(confirmed_ms)));
    }

    /// Returns the time since the copy is proven to have matched the store; `None` if it never was.
    pub fn confirmed_age_ms(&self, now_ms: u64) -> Option<u64> {
        let confirmed_ms = self.confirmed_ms.get();
        confirmed_ms.map(|confirmed_ms| now_ms.saturating_sub(confirmed_ms))
    }

    /// Records that changes may have been missed, so that the store is read again regardless of
    /// what other daemons report.
    pub fn record_gap(&self) {
        self.store_read_ms.set(None);
    }

    /// Returns the age of this daemon's last read of the store; `None` before the first one and
    /// after a gap.
    pub fn store_read_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.store_read_ms
            .get()
            .map(|store_read_ms| now_ms.saturating_sub(store_read_ms))
    }

    /// Whether a daemon of the given rank among all daemons should read the store now.
    pub fn is_due(&self, rank: usize, now_ms: u64) -> bool {
        let has_recent_read = self
            .store_read_age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < MAX_READ_AGE_MS);
        let is_fresh = now_ms.saturating_sub(self.fresh_ms.get()) < STALE_AFTER_MS;
        rank < WATCHER_COUNT || !is_fresh || !has_recent_read
    }
}

/// Freshness of this daemon's copy of the store, and the changes to report to other daemons.
#[derive(Debug, Default)]
pub struct StoreWatch {
    /// Freshness of the configuration.
    pub config: DataFreshness,
    /// Freshness of the list of targets.
    pub targets: DataFreshness,
    /// Pauses of this process.
    pub pauses: PauseDetector,
    retained: RefCell<Vec<RetainedChanges>>,
}

/// Changes of targets from one response of the store.
#[derive(Debug)]
struct RetainedChanges {
    /// Time until which reports repeat them.
    expires_ms: u64,
    /// Version after which they are complete.
    after: StoreVersion,
    changes: platform::TargetChanges,
}

/// Recent changes of targets, as the next report contains them.
#[derive(Clone, Debug, Default)]
pub struct RecentChanges {
    /// The changes, and the version up to which they are known.
    pub changes: platform::TargetChanges,
    /// Version after which they are complete.
    pub after: StoreVersion,
    /// Whether some were left out, or the store has not responded recently.
    pub is_truncated: bool,
}

impl StoreWatch {
    /// Keeps what the store returned as changes after a version for the next reports; returns
    /// whether anything has changed. A complete list is not retained: hundreds of daemons that
    /// start together would fill their links with lists that each of them reads anyway.
    pub fn record_changes(
        &self,
        after: StoreVersion,
        changes: &platform::TargetChanges,
        now_ms: u64,
    ) -> bool {
        if changes.is_complete {
            self.retained.borrow_mut().clear();
            return false;
        }
        self.retained.borrow_mut().push(RetainedChanges {
            expires_ms: now_ms + RETENTION_MS,
            after,
            changes: changes.clone(),
        });
        !changes.present.is_empty() || !changes.absent.is_empty()
    }

    /// Returns the changes for the next report.
    pub fn recent_changes(&self, now_ms: u64) -> RecentChanges {
        let mut retained = self.retained.borrow_mut();
        retained.retain(|entry| entry.expires_ms > now_ms);
        let mut recent = RecentChanges {
            after: retained
                .iter()
                .map(|entry| entry.after)
                .min()
                .unwrap_or(StoreVersion::MAX),
            ..RecentChanges::default()
        };
        let all = &mut recent.changes;
        for entry in retained.iter() {
            all.present.extend(entry.changes.present.iter().cloned());
            all.absent.extend(entry.changes.absent.iter().cloned());
            all.version = all.version.max(entry.changes.version);
        }
        recent.is_truncated = retained.is_empty()
            || all.present.len() > MAX_REPORTED_CHANGES
            || all.absent.len() > MAX_REPORTED_CHANGES;
        all.present.truncate(MAX_REPORTED_CHANGES);
        all.absent.truncate(MAX_REPORTED_CHANGES);
        recent
    }
}
