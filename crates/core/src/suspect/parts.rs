//! Crash suspects by prompt part. A part that several requests share may crash every target that
//! begins to answer one of them, although no two of the requests are alike.
//!
//! Each crash is recorded with the parts of a request that waited for its first output there. An
//! answer that begins clears the parts of its prompt of all earlier crashes, and parts that have
//! been answered before are only suspected where no new part is. A part is refused after
//! [`REFUSE_MIN_PART_CRASHES`] crashes in a row. Parts that were seen together in nearly all of
//! their crashes cannot be told apart: they are refused together, while a request with only one of
//! them runs and shows which one it is.

use std::collections::HashMap;

use super::SUSPECT_LIFETIME_MS;

/// Number of crashes in a row after which requests with a prompt part are refused. Requests that
/// wait at the same target are suspected along with the one that crashes it, but hardly ever
/// three times without one answer in between.
pub const REFUSE_MIN_PART_CRASHES: usize = 3;
/// Crashes kept; the oldest is dropped first. Bounds memory when a whole zone fails. Their parts must
/// not fill a generation of [`MAX_STARTS`].
const MAX_CRASHES: usize = 128;
/// Parts of a request that are kept for a crash: first those that have never been answered. Prompts
/// that share all kept parts are refused together, even if a later part causes the crashes.
const MAX_PARTS: usize = 16;
/// Parts known to have been answered in each of the two generations that are kept.
const MAX_STARTS: usize = 4_096;
/// Records of requests with the same parts at the same target within this time belong to one
/// crash. It covers the delay of a report, and a target needs longer to crash again.
const CRASH_DEDUP_MS: u64 = 2_000;

/// A crash of a target while a request waited for its first output there, as exchanged between
/// daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartCrashRecord {
    /// Keys of the parts of the request that other requests may share.
    pub parts: Vec<u64>,
    /// Hash of the crashed target's name.
    pub target_hash: u32,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Time from the sending of the request to the crash, in milliseconds.
    pub in_flight_ms: u64,
}

/// A part of a suspect's prompt that has been answered, as exchanged between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartStartRecord {
    /// Key of the part.
    pub part: u64,
    /// Time since the last answer began, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Debug)]
struct SeenCrash {
    parts: Vec<u64>,
    target_hash: u32,
    sent_ms: u64,
    seen_ms: u64,
}

/// Times at which answers on prompts with a part last began, by part. Holds the parts of the last
/// one to two generations of [`MAX_STARTS`] parts, and of those before the parts of kept crashes.
#[derive(Clone, Debug, Default)]
struct StartTable {
    newer: HashMap<u64, u64>,
    older: HashMap<u64, u64>,
}

impl StartTable {
    /// Records a start; a new generation begins with the starts of the crashes' parts.
    fn record(&mut self, part: u64, start_ms: u64, crashes: &[SeenCrash]) {
        if self.newer.len() >= MAX_STARTS && !self.newer.contains_key(&part) {
            let suspected = crashes.iter().flat_map(|crash| &crash.parts);
            let starts = suspected.filter_map(|part| Some((*part, self.last_ms(*part)?)));
            let newer = starts.collect();
            self.older = std::mem::replace(&mut self.newer, newer);
        }
        let known_ms = self.newer.entry(part).or_default();
        *known_ms = (*known_ms).max(start_ms);
    }

    fn last_ms(&self, part: u64) -> Option<u64> {
        let (newer, older) = (self.newer.get(&part), self.older.get(&part));
        newer.max(older).copied()
    }
}

/// A crash with the parts that may have caused it.
struct OpenCrash<'a> {
    crash: &'a SeenCrash,
    suspects: Vec<u64>,
}

/// Crash suspects by prompt part, as known to one daemon.
#[derive(Clone, Debug, Default)]
pub struct PartSuspects {
    /// Crashes in the order in which they were seen.
    crashes: Vec<SeenCrash>,
    starts: StartTable,
}

impl PartSuspects {
    /// Records a crash of a target while a request with these shared parts waited for its first
    /// output there since `sent_ms`.
    pub fn record_crash(&mut self, parts: &[u64], target_hash: u32, sent_ms: u64, now_ms: u64) {
        self.insert(SeenCrash {
            parts: parts.to_vec(),
            target_hash,
            sent_ms,
            seen_ms: now_ms,
        });
    }

    /// Records that an answer on a prompt with these shared parts has begun.
    pub fn record_start(&mut self, parts: &[u64], now_ms: u64) {
        for part in parts {
            self.starts.record(*part, now_ms, &self.crashes);
        }
    }

    /// Returns the part for which a request with these shared parts is refused.
    pub fn refused_part(&self, parts: &[u64], now_ms: u64) -> Option<u64> {
        let mut parts_to_check = parts.iter().copied();
        parts_to_check.find(|part| self.is_refused(*part, parts, now_ms))
    }

    /// Whether a request with the given parts is refused for one of them: it was seen in enough
    /// crashes, and it explains more of them than each other suspect that the request does not
    /// have.
    fn is_refused(&self, part: u64, parts: &[u64], now_ms: u64) -> bool {
        let crashes = self.open_crashes(part, now_ms);
        if count_in_a_row(crashes.iter()) < REFUSE_MIN_PART_CRASHES {
            return false;
        }
        let others = crashes.iter().flat_map(|open| &open.suspects);
        let mut absent = others.filter(|other| !parts.contains(other));
        absent.all(|other| {
            let own_crashes = count_without(&crashes, *other);
            own_crashes > count_without(&self.open_crashes(*other, now_ms), part)
        })
    }

    /// Merges a crash that another daemon reports, unless it has expired.
    pub fn merge_crash(&mut self, record: &PartCrashRecord, now_ms: u64) {
        if record.age_ms >= SUSPECT_LIFETIME_MS {
            return;
        }
        let seen_ms = now_ms.saturating_sub(record.age_ms);
        self.insert(SeenCrash {
            parts: record.parts.clone(),
            target_hash: record.target_hash,
            sent_ms: seen_ms.saturating_sub(record.in_flight_ms),
            seen_ms,
        });
    }

    /// Merges the start of an answer that another daemon reports.
    pub fn merge_start(&mut self, record: PartStartRecord, now_ms: u64) {
        let start_ms = now_ms.saturating_sub(record.age_ms);
        self.starts.record(record.part, start_ms, &self.crashes);
    }

    /// Removes expired crashes and returns the others, the newest first.
    pub fn export_crashes(&mut self, now_ms: u64) -> Vec<PartCrashRecord> {
        self.crashes.retain(|crash| is_recent(crash, now_ms));
        let newest_first = self.crashes.iter().rev();
        newest_first
            .map(|crash| PartCrashRecord {
                parts: crash.parts.clone(),
                target_hash: crash.target_hash,
                age_ms: now_ms.saturating_sub(crash.seen_ms),
                in_flight_ms: crash.seen_ms.saturating_sub(crash.sent_ms),
            })
            .collect()
    }

    /// Returns when answers last began on these parts, for those that were answered. A daemon that
    /// has not seen an answer would suspect a sound part.
    pub fn export_starts(
        &self,
        parts: impl IntoIterator<Item = u64>,
        now_ms: u64,
    ) -> Vec<PartStartRecord> {
        let mut parts: Vec<u64> = parts.into_iter().collect();
        parts.sort_unstable();
        parts.dedup();
        let starts = parts.into_iter().filter_map(|part| {
            let start_ms = self.starts.last_ms(part)?;
            let age_ms = now_ms.saturating_sub(start_ms);
            Some(PartStartRecord { part, age_ms })
        });
        starts.collect()
    }

    /// Adds a crash in the order of the times, unless it is known.
    fn insert(&mut self, mut crash: SeenCrash) {
        if crash.parts.len() > MAX_PARTS {
            // The sort is stable, so that the parts otherwise stay in the order of the prompt.
            let is_answered = |part: &u64| self.starts.last_ms(*part).is_some();
            crash.parts.sort_by_key(is_answered);
            crash.parts.truncate(MAX_PARTS);
        }
        let is_known = self.crashes.iter().any(|known| {
            known.target_hash == crash.target_hash
                && known.seen_ms.abs_diff(crash.seen_ms) < CRASH_DEDUP_MS
                && known.parts == crash.parts
        });
        if is_known || crash.parts.is_empty() {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        let position = self
            .crashes
            .partition_point(|known| known.seen_ms <= crash.seen_ms);
        self.crashes.insert(position, crash);
    }

    /// Returns the crashes that a part may have caused.
    fn open_crashes(&self, part: u64, now_ms: u64) -> Vec<OpenCrash<'_>> {
        let crashes = self.crashes.iter();
        let crashes =
            crashes.filter(|crash| crash.parts.contains(&part) && is_recent(crash, now_ms));
        let crashes = crashes.filter(|crash| self.suspects_of(crash).contains(&part));
        let open = crashes.map(|crash| OpenCrash {
            suspects: self.suspects_at(crash),
            crash,
        });
        open.collect()
    }

    /// Returns the parts that may have caused a crash according to all requests that waited at the
    /// target.
    fn suspects_at(&self, crash: &SeenCrash) -> Vec<u64> {
        let same = self.crashes.iter().filter(|other| {
            other.target_hash == crash.target_hash
                && other.seen_ms.abs_diff(crash.seen_ms) < CRASH_DEDUP_MS
        });
        same.flat_map(|other| self.suspects_of(other)).collect()
    }

    /// Returns the parts of one request that may have caused a crash: those that have never been answered, or
    /// else those that have not been answered since.
    fn suspects_of(&self, crash: &SeenCrash) -> Vec<u64> {
        let is_new = |part: &u64| self.starts.last_ms(*part).is_none();
        let new: Vec<u64> = crash.parts.iter().copied().filter(is_new).collect();
        if !new.is_empty() {
            return new;
        }
        let is_open = |part: &u64| self.starts.last_ms(*part) <= Some(crash.seen_ms);
        crash.parts.iter().copied().filter(is_open).collect()
    }
}

/// Counts crashes that a part cannot have caused.
fn count_without(crashes: &[OpenCrash<'_>], part: u64) -> usize {
    let without = crashes.iter().filter(|open| !open.suspects.contains(&part));
    count_in_a_row(without)
}

/// Counts crashes in the order of their times. Those of requests that were in flight at the same
/// time count once, as one failure of many targets breaks them all.
fn count_in_a_row<'a>(crashes: impl Iterator<Item = &'a OpenCrash<'a>>) -> usize {
    let mut counted_ms = 0;
    let mut count = 0;
    for open in crashes {
        if open.crash.sent_ms >= counted_ms {
            counted_ms = open.crash.seen_ms;
            count += 1;
        }
    }
    count
}

fn is_recent(crash: &SeenCrash, now_ms: u64) -> bool {
    now_ms.saturating_sub(crash.seen_ms) < SUSPECT_LIFETIME_MS
}
