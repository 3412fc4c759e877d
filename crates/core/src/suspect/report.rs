//! Reports of crash suspects from one daemon to another.

use rand::{Rng, RngExt};

use super::{PartCrashRecord, PartStartRecord, PartSuspects};

/// Age up to which every report contains a crash, as some reports may be lost, in milliseconds.
const RECENT_CRASH_MS: u64 = 3_000;
/// Largest number of older crashes in a report, different ones each time, for daemons that have
/// started since.
const MAX_OLDER_CRASHES: usize = 4;
/// Largest number of recent crashes with prompt parts in a report.
const MAX_RECENT_PART_CRASHES: usize = 16;

/// Crashes with prompt parts, and when these parts were last answered, as exchanged between daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartReport {
    /// The crashes, the newest first.
    pub crashes: Vec<PartCrashRecord>,
    /// Last answers on the parts of the crashes, for parts that were answered. A daemon that has not
    /// seen an answer would suspect a sound part.
    pub starts: Vec<PartStartRecord>,
}

impl PartReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.starts.is_empty()
    }
}

impl PartSuspects {
    /// Returns the recent crashes and a random selection of older ones for other daemons.
    pub fn report(&mut self, now_ms: u64, rng: &mut impl Rng) -> PartReport {
        let records = self.export_crashes(now_ms);
        let age_ms = |record: &PartCrashRecord| record.age_ms;
        let crashes = select_reported(records, MAX_RECENT_PART_CRASHES, age_ms, rng);
        let parts = crashes.iter().flat_map(|crash| crash.parts.iter().copied());
        let starts = self.export_starts(parts, now_ms);
        PartReport { crashes, starts }
    }

    /// Returns the newest crashes of prompts with any of the given parts, and the last answers.
    pub fn report_on(&mut self, parts: &[u64], now_ms: u64) -> PartReport {
        if parts.is_empty() {
            return PartReport::default();
        }
        let is_concerned =
            |record: &PartCrashRecord| parts.iter().any(|part| record.parts.contains(part));
        let records = self.export_crashes(now_ms).into_iter();
        let concerned = records.filter(is_concerned);
        let crashes: Vec<_> = concerned.take(MAX_RECENT_PART_CRASHES).collect();
        let crashed = crashes.iter().flat_map(|crash| &crash.parts);
        let starts = self.export_starts(parts.iter().chain(crashed).copied(), now_ms);
        PartReport { crashes, starts }
    }

    /// Merges the crashes and answers that another daemon reports.
    pub fn merge_report(&mut self, report: &PartReport, now_ms: u64) {
        for crash in &report.crashes {
            self.merge_crash(crash, now_ms);
        }
        for start in &report.starts {
            self.merge_start(*start, now_ms);
        }
    }
}

/// Selects for a report, from records in the order of their ages, at most `max_recent` recent ones
/// and a random selection of older ones.
pub fn select_reported<Record: Clone>(
    mut records: Vec<Record>,
    max_recent: usize,
    age_ms: impl Fn(&Record) -> u64,
    rng: &mut impl Rng,
) -> Vec<Record> {
    let recent = records.partition_point(|record| age_ms(record) < RECENT_CRASH_MS);
    let older = records.split_off(recent);
    records.truncate(max_recent);
    if !older.is_empty() {
        let first = rng.random_range(0..older.len());
        let rotated = older.iter().cycle().skip(first);
        records.extend(rotated.take(MAX_OLDER_CRASHES.min(older.len())).cloned());
    }
    records
}
