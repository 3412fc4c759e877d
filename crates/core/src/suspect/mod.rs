//! Crash suspects: fingerprints of requests that were in flight when a target's connection broke.

use std::collections::HashMap;

/// Crashes after which a fingerprint is refused.
pub const REFUSED_CRASHES: usize = 2;
/// Time for which a fingerprint stays a suspect after its last crash.
pub const SUSPECT_LIFETIME_MS: u64 = 600_000;
/// Time in which broken connections to one target belong to the same crash. It covers the time in
/// which a daemon finds out that a silent target has crashed.
const SAME_CRASH_MS: u64 = 1_000;
/// The same for crashes that another daemon reports; covers the time under way of its message.
const SAME_REPORTED_CRASH_MS: u64 = 3_000;
/// Crashes kept for each fingerprint; more change nothing.
const MAX_CRASHES: usize = REFUSED_CRASHES * 2;
/// Fingerprints kept at most; the oldest is dropped first. Bounds memory when a whole zone fails.
const MAX_SUSPECTS: usize = 10_000;

/// Standing of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// Not seen in a crash.
    Clear,
    /// Seen in one crash: runs at a target that runs no other suspect.
    Isolated,
    /// Seen in [`REFUSED_CRASHES`] crashes.
    Refused,
}

/// One crash that a fingerprint was seen in, as daemons exchange it. It names the target, so that a
/// crash that several daemons saw counts once and crashes of different targets add up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectRecord {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Short form of the crashed target's name.
    pub target: u32,
    /// Time since the crash.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct SeenCrash {
    target: u32,
    seen_ms: u64,
}

/// Suspects known to one daemon.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<u64, Vec<SeenCrash>>,
}

impl SuspectTable {
    /// Counts a crash of a target for a fingerprint. Several requests with the same fingerprint in
    /// flight at one crash count once.
    pub fn record_crash(&mut self, fingerprint: u64, target: u32, now_ms: u64) {
        let crash = SeenCrash {
            target,
            seen_ms: now_ms,
        };
        self.insert(fingerprint, crash, SAME_CRASH_MS);
    }

    /// Standing of a fingerprint.
    pub fn status(&self, fingerprint: u64, now_ms: u64) -> SuspectStatus {
        let crashes = self.suspects.get(&fingerprint).map_or(0, |crashes| {
            let recent = crashes.iter().filter(|crash| is_recent(crash, now_ms));
            recent.count()
        });
        match crashes {
            0 => SuspectStatus::Clear,
            crashes if crashes < REFUSED_CRASHES => SuspectStatus::Isolated,
            _ => SuspectStatus::Refused,
        }
    }

    /// Merges a crash that another daemon knows of.
    pub fn merge(&mut self, record: SuspectRecord, now_ms: u64) {
        if record.age_ms >= SUSPECT_LIFETIME_MS {
            return;
        }
        let crash = SeenCrash {
            target: record.target,
            seen_ms: now_ms.saturating_sub(record.age_ms),
        };
        self.insert(record.fingerprint, crash, SAME_REPORTED_CRASH_MS);
    }

    /// Current crashes of all suspects; expired ones are dropped.
    pub fn export(&mut self, now_ms: u64) -> Vec<SuspectRecord> {
        self.suspects.retain(|_, crashes| {
            crashes.retain(|crash| is_recent(crash, now_ms));
            !crashes.is_empty()
        });
        let mut records = Vec::new();
        for (fingerprint, crashes) in &self.suspects {
            records.extend(crashes.iter().map(|crash| SuspectRecord {
                fingerprint: *fingerprint,
                target: crash.target,
                age_ms: now_ms.saturating_sub(crash.seen_ms),
            }));
        }
        records
    }

    fn insert(&mut self, fingerprint: u64, crash: SeenCrash, same_ms: u64) {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            self.drop_oldest();
        }
        let crashes = self.suspects.entry(fingerprint).or_default();
        let is_known = crashes.iter().any(|known| {
            known.target == crash.target && known.seen_ms.abs_diff(crash.seen_ms) < same_ms
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
