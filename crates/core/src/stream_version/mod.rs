//! Software versions of a service's targets, and which of them a stream began at.
//!
//! A stream goes on only at the version that began it. One version of a service is its base. Streams
//! that begin at another one are recorded in the platform's store, so that a stream without a record
//! began at the base, also for a daemon that has just started.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::stream_version::{ListedVersion, TakeUp, VersionHistory};
//!
//! let listed = |version, born_ms| ListedVersion { version, oldest_born_ms: born_ms };
//! let mut history = VersionHistory::default();
//! history.observe(&[listed(1, 100)], 0);
//! assert!(!history.needs_record(1));
//! let both = [listed(1, 100), listed(2, 9_000)];
//! history.observe(&both, 10_000);
//! assert!(history.needs_record(2));
//! let take_up = TakeUp { without_record: 1, unread: None };
//! assert_eq!(history.take_up(10_000), Some(take_up));
//! ```

use std::collections::HashMap;

use crate::store_version::StoreVersion;

/// Longest time from the beginning of a stream until a caller may take it up.
pub const STREAM_LIFETIME_MS: u64 = 20_000;

/// A version that targets of the service are listed with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedVersion {
    /// Hash of the version's name.
    pub version: u64,
    /// Start of the oldest of these targets, in Unix milliseconds.
    pub oldest_born_ms: u64,
}

/// The base of a service as the platform's store has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BaseVersion {
    /// Hash of the version's name.
    pub version: u64,
    /// Version of the row.
    pub stored: StoreVersion,
}

/// At which version a stream goes on that began at another daemon. Its record is read in any case:
/// a version that is new may have been listed to that daemon first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeUp {
    /// Version of a stream without a record.
    pub without_record: u64,
    /// Version of a stream whose record cannot be read; `None` if other versions than the base may
    /// have begun it, as far as this daemon knows.
    pub unread: Option<u64>,
}

/// What a daemon knows of the versions of one service.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Versions listed at the last observation, the one with the oldest target first.
    listed: Vec<ListedVersion>,
    /// Time of the last observation with a version listed.
    last_listed_ms: HashMap<u64, u64>,
    /// Time of the first observation.
    since_ms: Option<u64>,
    /// The base according to the store.
    stored: Option<BaseVersion>,
    /// The base without a row in the store.
    assumed: Option<u64>,
    /// The base whose row the store has lost.
    lost: Option<u64>,
}

impl VersionHistory {
    /// Records the versions that are listed now.
    pub fn observe(&mut self, listed: &[ListedVersion], now_ms: u64) {
        if listed.is_empty() && self.since_ms.is_none() {
            return;
        }
        self.since_ms.get_or_insert(now_ms);
        self.listed = listed.to_vec();
        self.listed
            .sort_by_key(|listed| (listed.oldest_born_ms, listed.version));
        for listed in &self.listed {
            self.last_listed_ms.insert(listed.version, now_ms);
        }
        self.last_listed_ms
            .retain(|_, seen_ms| now_ms.saturating_sub(*seen_ms) < STREAM_LIFETIME_MS);
        let is_alive = |version: u64| self.last_listed_ms.contains_key(&version);
        if !self.assumed.is_some_and(is_alive) {
            self.assumed = self.listed.first().map(|oldest| oldest.version);
        }
    }

    /// Adopts the base according to the store, or to a daemon that has read it, unless a newer row is
    /// known.
    pub fn adopt(&mut self, base: BaseVersion) {
        if self.stored.is_none_or(|known| known.stored < base.stored) {
            self.stored = Some(base);
            self.lost = None;
        }
    }

    /// Records that the store had no row at a version of it. It has lost a row that was written before.
    pub fn record_absent(&mut self, version: StoreVersion) {
        let lost = self.stored.take_if(|known| known.stored < version);
        if let Some(lost) = lost {
            self.lost = Some(lost.version);
        }
    }

    /// Returns the base according to the store.
    pub fn stored(&self) -> Option<BaseVersion> {
        self.stored
    }

    /// Returns the base.
    pub fn base(&self) -> Option<u64> {
        let stored = self.stored.map(|stored| stored.version);
        stored.or(self.lost).or(self.assumed)
    }

    /// Whether a version is listed.
    pub fn is_listed(&self, version: u64) -> bool {
        self.listed.iter().any(|listed| listed.version == version)
    }

    /// Whether a stream that begins at a version has to be recorded.
    pub fn needs_record(&self, version: u64) -> bool {
        self.base() != Some(version)
    }

    /// Whether streams that may be alive may have records.
    pub fn may_have_records(&self, now_ms: u64) -> bool {
        !self.is_base_alone() || (self.stored.is_some() && !self.has_watched(now_ms))
    }

    /// Returns the base that has to be written to the store, if any.
    pub fn next_base(&self, now_ms: u64) -> Option<u64> {
        let base = self.base()?;
        if self.has_watched(now_ms) && !self.last_listed_ms.contains_key(&base) {
            return self.listed.first().map(|oldest| oldest.version);
        }
        let is_needed = self.lost.is_some() || !self.is_base_alone();
        (self.stored.is_none() && is_needed).then_some(base)
    }

    /// Tells at which version a stream goes on that a caller takes up; `None` if no version is known.
    pub fn take_up(&self, now_ms: u64) -> Option<TakeUp> {
        let base = self.base()?;
        let is_certain = !self.may_have_records(now_ms);
        Some(TakeUp {
            without_record: base,
            unread: is_certain.then_some(base),
        })
    }

    /// Whether no other version than the base has been listed for as long as streams last.
    fn is_base_alone(&self) -> bool {
        let base = self.base();
        let mut versions = self.last_listed_ms.keys();
        versions.all(|version| Some(*version) == base)
    }

    /// Whether this daemon has seen all versions of streams that may be alive.
    fn has_watched(&self, now_ms: u64) -> bool {
        let since_ms = self.since_ms.unwrap_or(now_ms);
        now_ms.saturating_sub(since_ms) >= STREAM_LIFETIME_MS
    }
}
