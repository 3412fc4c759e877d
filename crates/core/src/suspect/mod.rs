//! Crash suspects: fingerprints of requests that were in flight when the connection to a target
//! broke. A request that is suspected of crashing targets is isolated and then refused.

mod parts;
mod report;
mod turns;

use std::collections::HashMap;

pub use parts::{
    PartCrashRecord, PartStartRecord, PartSuspects, REFUSE_MIN_ANSWERED_CRASHES,
    REFUSE_MIN_PART_CRASHES,
};
pub use report::{PartReport, select_reported};
pub use turns::{TurnStamp, TurnTable, TurnTicket};

/// Number of crashes at which the requests of a fingerprint are refused.
pub const REFUSE_MIN_CRASHES: usize = 2;
/// Time for which a fingerprint stays a suspect after its last crash, in milliseconds.
pub const SUSPECT_LIFETIME_MS: u64 = 600_000;
/// Broken connections to one target within this time count as one crash. It covers the time that a
/// daemon needs to detect that an unresponsive target has crashed.
const CRASH_DEDUP_MS: u64 = 1_000;
/// The same for crashes that another daemon reports; it also covers the delay of the report.
const REPORTED_CRASH_DEDUP_MS: u64 = 3_000;
/// Crashes kept per fingerprint; further ones would not change its status.
const MAX_CRASHES: usize = REFUSE_MIN_CRASHES * 2;
/// Fingerprints kept; the oldest is dropped first. Bounds memory when a whole zone fails.
const MAX_SUSPECTS: usize = 10_000;

/// What is done with requests of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// Not seen in a crash: runs anywhere.
    Clear,
    /// Seen in fewer than [`REFUSE_MIN_CRASHES`] crashes: runs only at a target without other
    /// suspects.
    Isolated,
    /// Seen in at least [`REFUSE_MIN_CRASHES`] crashes: not run.
    Refused,
}

/// A crash that a fingerprint was seen in, as exchanged between daemons. It identifies the target,
/// so that a crash seen by several daemons counts once and crashes of different targets add up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectRecord {
    /// Fingerprint of the request that was in flight.
    pub fingerprint: u64,
    /// Hash of the crashed target's name.
    pub target_hash: u32,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// A crash of a target at the time when it was detected.
#[derive(Clone, Copy, Debug)]
struct SeenCrash {
    target_hash: u32,
    seen_ms: u64,
}

/// Crash suspects known to one daemon, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<u64, Vec<SeenCrash>>,
}

impl SuspectTable {
    /// Records a crash of a target while a request with this fingerprint was in flight there.
    /// Several such requests at one crash count once.
    pub fn record_crash(&mut self, fingerprint: u64, target_hash: u32, now_ms: u64) {
        let crash = SeenCrash {
            target_hash,
            seen_ms: now_ms,
        };
        self.insert(fingerprint, crash, CRASH_DEDUP_MS);
    }

    /// Status of a fingerprint at `now_ms`.
    pub fn status(&self, fingerprint: u64, now_ms: u64) -> SuspectStatus {
        let crashes = self.suspects.get(&fingerprint).map_or(0, |crashes| {
            let recent = crashes.iter().filter(|crash| is_recent(crash, now_ms));
            recent.count()
        });
        match crashes {
            0 => SuspectStatus::Clear,
            crashes if crashes < REFUSE_MIN_CRASHES => SuspectStatus::Isolated,
            _ => SuspectStatus::Refused,
        }
    }

    /// Merges a crash that another daemon reports, unless it has expired.
    pub fn merge(&mut self, record: SuspectRecord, now_ms: u64) {
        if record.age_ms >= SUSPECT_LIFETIME_MS {
            return;
        }
        let crash = SeenCrash {
            target_hash: record.target_hash,
            seen_ms: now_ms.saturating_sub(record.age_ms),
        };
        self.insert(record.fingerprint, crash, REPORTED_CRASH_DEDUP_MS);
    }

    /// Removes expired crashes and returns the remaining ones of all suspects.
    pub fn export(&mut self, now_ms: u64) -> Vec<SuspectRecord> {
        self.suspects.retain(|_, crashes| {
            crashes.retain(|crash| is_recent(crash, now_ms));
            !crashes.is_empty()
        });
        let fingerprints = self.suspects.keys();
        fingerprints
            .flat_map(|fingerprint| self.records(*fingerprint, now_ms))
            .collect()
    }

    /// Returns the crashes of one fingerprint that have not expired.
    pub fn records(&self, fingerprint: u64, now_ms: u64) -> Vec<SuspectRecord> {
        let crashes = self.suspects.get(&fingerprint).into_iter().flatten();
        let recent = crashes.filter(|crash| is_recent(crash, now_ms));
        recent
            .map(|crash| SuspectRecord {
                fingerprint,
                target_hash: crash.target_hash,
                age_ms: now_ms.saturating_sub(crash.seen_ms),
            })
            .collect()
    }

    fn insert(&mut self, fingerprint: u64, crash: SeenCrash, dedup_ms: u64) {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            self.drop_oldest();
        }
        let crashes = self.suspects.entry(fingerprint).or_default();
        let is_known = crashes.iter().any(|known| {
            known.target_hash == crash.target_hash
                && known.seen_ms.abs_diff(crash.seen_ms) < dedup_ms
        });
        if is_known {
            return;
        }
        if crashes.len() >= MAX_CRASHES {
            crashes.remove(0);
        }
        crashes.push(crash);
    }

    fn drop_oldest(&mut self) {
        let last_seen = |crashes: &[SeenCrash]| crashes.iter().map(|crash| crash.seen_ms).max();
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, crashes)| last_seen(crashes));
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&oldest);
        }
    }
}

fn is_recent(crash: &SeenCrash, now_ms: u64) -> bool {
    now_ms.saturating_sub(crash.seen_ms) < SUSPECT_LIFETIME_MS
}
