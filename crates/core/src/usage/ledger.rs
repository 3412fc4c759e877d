//! Settled windows and their reports to the platform.

use std::collections::BTreeMap;

use super::{UsageCheckpoint, window_at, window_end_ms};
use crate::store_version::StoreVersion;

/// Shortest time between the end of a window and its settling, in which the last counts arrive.
const MIN_SETTLE_MS: u64 = 400;
/// Time after the end of a window at which it is settled in any case. A successor, which acts 6 to
/// 8 s after the holder's last renewal, then still settles it within 10 s.
const MAX_SETTLE_MS: u64 = 3_500;
/// Time after the end of a window until which its report is repeated.
const REPORT_TTL_MS: u64 = 60_000;
/// Time after the end of a window after which its row is deleted.
const ROW_TTL_MS: u64 = 120_000;
/// Largest number of windows in one transaction, which bounds its size.
const MAX_WRITES: usize = 8;
/// Number of settled windows that the holder's reports to other daemons repeat.
const MAX_ANNOUNCED: usize = 3;
/// How often the holder's reports contain a settled window. A window takes up to 9 KB.
const MAX_ANNOUNCEMENTS: u8 = 2;
/// Shortest and longest time until a report is repeated.
const MIN_RETRY_MS: u64 = 300;
const MAX_RETRY_MS: u64 = 1_000;

/// What the store holds about usage.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredUsage {
    /// Era of the store at the time of the read.
    pub era: u64,
    /// Last checkpoint; `None` if there is none.
    pub checkpoint: Option<UsageCheckpoint>,
    /// Counts of the settled windows by the names of the teams.
    pub settled: BTreeMap<u64, BTreeMap<String, u64>>,
}

/// What a daemon knows when it has read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Time of the read.
    pub unix_ms: u64,
    /// Start of the run that has been up for the longest time, of all daemons.
    pub first_start_unix_ms: u64,
    /// Whether the daemon has held the lease without a gap since it last read the store.
    pub is_continuous: bool,
}

/// What the holder does next about its reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportStep {
    /// Send the report of a window.
    Send(u64),
    /// Wait until the given time.
    WaitUntil(u64),
    /// Wait until a window is settled.
    Wait,
}

#[derive(Clone, Debug, Default)]
struct LedgerEntry {
    counts: BTreeMap<String, u64>,
    /// Whether the store holds the row.
    is_stored: bool,
    is_reported: bool,
    is_given_up: bool,
    sends: u32,
    retry_ms: u64,
    announcements: u8,
}

/// Settled windows, of which the counts never change again, and the progress of their reports.
#[derive(Clone, Debug)]
pub struct ReportLedger {
    window_ms: u64,
    entries: BTreeMap<u64, LedgerEntry>,
    /// First window that is not settled; `None` until the store has been read.
    next: Option<u64>,
    /// Windows whose rows are to be deleted.
    expired: Vec<u64>,
}

impl ReportLedger {
    /// Creates the ledger of a daemon that has not read the store.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms: window_ms.max(1),
            entries: BTreeMap::new(),
            next: None,
            expired: Vec::new(),
        }
    }

    /// Returns the first window that is not settled; `None` until the store has been read.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Takes over a settled window from the report of the holder.
    pub fn learn(&mut self, window: u64, counts: BTreeMap<String, u64>) {
        self.entries.entry(window).or_insert(LedgerEntry {
            counts,
            ..LedgerEntry::default()
        });
    }

    /// Takes over what the store holds and decides which window is settled next. Windows that a
    /// former holder may have reported with counts that are known nowhere are left out: a missing
    /// report costs less than two different ones.
    pub fn resume(&mut self, stored: &StoredUsage, point: ResumePoint) {
        for entry in self.entries.values_mut() {
            entry.is_stored = false;
        }
        for (window, counts) in &stored.settled {
            let entry = self.entries.entry(*window).or_default();
            entry.counts.clone_from(counts);
            entry.is_stored = true;
        }
        let checkpoint = stored.checkpoint.as_ref();
        for window in checkpoint
            .iter()
            .flat_map(|checkpoint| &checkpoint.reported)
        {
            if let Some(entry) = self.entries.get_mut(window) {
                entry.is_reported = true;
            }
        }
        let current = window_at(point.unix_ms, self.window_ms);
        let after_known = self.entries.keys().next_back().map_or(0, |last| last + 1);
        let is_after_return = StoreVersion::new(stored.era, 0).is_after_return();
        let next = match (self.next.filter(|_| point.is_continuous), checkpoint) {
            (Some(next), _) => next,
            (None, Some(checkpoint)) if checkpoint.era == stored.era => checkpoint.next,
            (None, _) if is_after_return => current,
            (None, Some(checkpoint)) => checkpoint.next,
            (None, None) if after_known > 0 => after_known,
            (None, None) => window_at(point.first_start_unix_ms, self.window_ms),
        };
        let oldest = window_at(point.unix_ms.saturating_sub(REPORT_TTL_MS), self.window_ms);
        self.next = Some(next.max(after_known).max(oldest));
    }

    /// Returns the windows that are to be settled now, in their order.
    pub fn due(&self, unix_ms: u64, is_complete: impl Fn(u64) -> bool) -> Vec<u64> {
        let Some(next) = self.next else {
            return Vec::new();
        };
        let is_due = |window: &u64| {
            let elapsed_ms = unix_ms.checked_sub(window_end_ms(*window, self.window_ms));
            elapsed_ms.is_some_and(|elapsed_ms| {
                elapsed_ms >= MAX_SETTLE_MS || (elapsed_ms >= MIN_SETTLE_MS && is_complete(*window))
            })
        };
        (next..).take(MAX_WRITES).take_while(is_due).collect()
    }

    /// Returns the time at which the next window may be due, if that is later than the given one.
    pub fn next_due_unix_ms(&self, unix_ms: u64) -> Option<u64> {
        let end_ms = window_end_ms(self.next?, self.window_ms);
        Some(end_ms + MIN_SETTLE_MS).filter(|due_ms| *due_ms > unix_ms)
    }

    /// Returns the settled windows whose rows the store does not hold: they are written again
    /// unchanged.
    pub fn unstored(&self) -> Vec<(u64, &BTreeMap<String, u64>)> {
        let unstored = self.entries.iter().filter(|(_, entry)| !entry.is_stored);
        let unstored = unstored.map(|(window, entry)| (*window, &entry.counts));
        unstored.take(MAX_WRITES).collect()
    }

    /// Records that the store holds the counts of a window, which are final from now on.
    pub fn record_stored(&mut self, window: u64, counts: BTreeMap<String, u64>) {
        let entry = self.entries.entry(window).or_default();
        entry.counts = counts;
        entry.is_stored = true;
        self.next = self.next.map(|next| next.max(window + 1));
    }

    /// Returns the counts of a settled window.
    pub fn counts(&self, window: u64) -> Option<&BTreeMap<String, u64>> {
        self.entries.get(&window).map(|entry| &entry.counts)
    }

    /// Returns what to do next about the reports. First attempts are made in the order of the
    /// windows; a report that gets no answer does not hold up the others.
    pub fn next_step(&self, now_ms: u64, unix_ms: u64) -> ReportStep {
        let is_open = |window: u64, entry: &LedgerEntry| {
            let ttl_ms = window_end_ms(window, self.window_ms) + REPORT_TTL_MS;
            entry.is_stored && !entry.is_reported && unix_ms < ttl_ms
        };
        let open = self.entries.iter();
        let open = open.filter(|(window, entry)| is_open(**window, entry));
        let due = open.clone().filter(|(_, entry)| entry.retry_ms <= now_ms);
        let first = due.min_by_key(|(window, entry)| (entry.sends, **window));
        if let Some((window, _)) = first {
            return ReportStep::Send(*window);
        }
        let retry_ms = open.map(|(_, entry)| entry.retry_ms).min();
        retry_ms.map_or(ReportStep::Wait, ReportStep::WaitUntil)
    }

    /// Records that the report of a window was sent; returns whether it had been sent before.
    /// `random` spreads the repetitions.
    pub fn record_sent(
        &mut self,
        window: u64,
        now_ms: u64,
        is_accepted: bool,
        random: u64,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&window) else {
            return false;
        };
        entry.sends += 1;
        entry.is_reported |= is_accepted;
        entry.retry_ms = now_ms + MIN_RETRY_MS + random % (MAX_RETRY_MS - MIN_RETRY_MS);
        entry.sends > 1
    }

    /// Removes old windows; returns those whose reports are given up now.
    pub fn expire(&mut self, unix_ms: u64) -> Vec<u64> {
        let mut given_up = Vec::new();
        let window_ms = self.window_ms;
        let age_ms = |window: u64| unix_ms.saturating_sub(window_end_ms(window, window_ms));
        for (window, entry) in &mut self.entries {
            let is_open = !entry.is_reported && !entry.is_given_up;
            if is_open && age_ms(*window) >= REPORT_TTL_MS {
                entry.is_given_up = true;
                given_up.push(*window);
            }
        }
        let expired = &mut self.expired;
        self.entries.retain(|window, entry| {
            let is_kept = age_ms(*window) < ROW_TTL_MS;
            if !is_kept && entry.is_stored {
                expired.push(*window);
            }
            is_kept
        });
        given_up
    }

    /// Removes old windows that were learned from the holder.
    pub fn expire_learned(&mut self, unix_ms: u64) {
        self.expire(unix_ms);
        self.expired.clear();
    }

    /// Returns the windows whose rows are to be deleted with the next transaction.
    pub fn expired(&self) -> Vec<u64> {
        self.expired.iter().take(MAX_WRITES).copied().collect()
    }

    /// Records that rows were deleted.
    pub fn record_deleted(&mut self, windows: &[u64]) {
        self.expired.retain(|window| !windows.contains(window));
    }

    /// Returns a settled window for the next report to the standbys, if there is one that they may
    /// not know.
    pub fn announce(&mut self) -> Option<(u64, &BTreeMap<String, u64>)> {
        let latest = self.entries.iter_mut().rev().take(MAX_ANNOUNCED);
        let mut unknown =
            latest.filter(|(_, entry)| entry.is_stored && entry.announcements < MAX_ANNOUNCEMENTS);
        let (window, entry) = unknown.next()?;
        entry.announcements += 1;
        Some((*window, &entry.counts))
    }

    /// Adds what a successor needs to the counts of a checkpoint; `None` until the store has been
    /// read.
    pub fn complete_checkpoint(
        &self,
        era: u64,
        counts: UsageCheckpoint,
    ) -> Option<UsageCheckpoint> {
        let reported = self.entries.iter().filter(|(_, entry)| entry.is_reported);
        Some(UsageCheckpoint {
            era,
            next: self.next?,
            reported: reported.map(|(window, _)| *window).collect(),
            ..counts
        })
    }
}
