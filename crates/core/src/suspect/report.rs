//! Reports of crash suspects from one daemon to another.

use rand::{Rng, RngExt};

use super::{AnswerRecord, CrashRecord, SuspectTable};

/// Age up to which every report contains a crash or an answer that cleared a suspect, as some reports
/// may be lost, in milliseconds.
pub(super) const RECENT_MS: u64 = 3_000;
/// Largest number of older crashes in a report, different ones each time, for daemons that have
/// started since.
const MAX_OLDER_CRASHES: usize = 4;
/// Largest number of recent crashes in a report.
const MAX_RECENT_CRASHES: usize = 16;

/// Crashes, and when the keys in them were last answered, as exchanged between daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SuspectReport {
    /// The crashes, the newest first.
    pub crashes: Vec<CrashRecord>,
    /// Last answers to the keys of the crashes, for keys that were answered. A daemon that has not
    /// seen an answer would suspect a sound key.
    pub answers: Vec<AnswerRecord>,
}

impl SuspectReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answers.is_empty()
    }
}

impl SuspectTable {
    /// Returns the recent crashes and a random selection of older ones for other daemons.
    pub fn report(&mut self, now_ms: u64, rng: &mut impl Rng) -> SuspectReport {
        let records = self.export_crashes(now_ms);
        let age_ms = |record: &CrashRecord| record.age_ms;
        let crashes = select_reported(records, MAX_RECENT_CRASHES, age_ms, rng);
        let keys = crashes.iter().flat_map(|crash| crash.keys.iter().copied());
        let keys = keys.chain(self.recently_cleared(now_ms));
        let answers = self.export_answers(keys, now_ms);
        SuspectReport { crashes, answers }
    }

    /// Returns the newest crashes of requests with any of the given keys, and the last answers.
    pub fn report_on(&mut self, keys: &[u64], now_ms: u64) -> SuspectReport {
        if keys.is_empty() {
            return SuspectReport::default();
        }
        let is_concerned = |record: &CrashRecord| keys.iter().any(|key| record.keys.contains(key));
        let records = self.export_crashes(now_ms).into_iter();
        let concerned = records.filter(is_concerned);
        let crashes: Vec<_> = concerned.take(MAX_RECENT_CRASHES).collect();
        let crashed = crashes.iter().flat_map(|crash| &crash.keys);
        let answers = self.export_answers(keys.iter().chain(crashed).copied(), now_ms);
        SuspectReport { crashes, answers }
    }

    /// Merges the crashes and answers that another daemon reports.
    pub fn merge_report(&mut self, report: &SuspectReport, now_ms: u64) {
        for crash in &report.crashes {
            self.merge_crash(crash, now_ms);
        }
        for answer in &report.answers {
            self.merge_answer(*answer, now_ms);
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
    let recent = records.partition_point(|record| age_ms(record) < RECENT_MS);
    let older = records.split_off(recent);
    records.truncate(max_recent);
    if !older.is_empty() {
        let first = rng.random_range(0..older.len());
        let rotated = older.iter().cycle().skip(first);
        records.extend(rotated.take(MAX_OLDER_CRASHES.min(older.len())).cloned());
    }
    records
}
