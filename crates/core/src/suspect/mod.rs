//! Crash suspects: fingerprints of requests that were in flight when a target's connection broke.

use std::collections::HashMap;

/// Crashes after which a fingerprint is refused.
pub const REFUSED_CRASHES: u8 = 2;
/// Time for which a fingerprint stays a suspect after its last crash.
pub const SUSPECT_LIFETIME_MS: u64 = 600_000;
/// Time in which broken connections to one target belong to the same crash. It covers the time in
/// which a daemon finds out that a silent target has crashed.
const SAME_CRASH_MS: u64 = 1_000;
/// Fingerprints kept at most; the oldest is dropped first. Bounds memory when a whole zone fails.
const MAX_SUSPECTS: usize = 10_000;

/// Standing of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStanding {
    /// Not seen in a crash.
    Clear,
    /// Seen in one crash: runs at a target that runs no other suspect.
    Isolated,
    /// Seen in [`REFUSED_CRASHES`] crashes.
    Refused,
}

/// A suspect, as daemons exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectRecord {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Crashes seen.
    pub crashes: u8,
    /// Time since the last crash.
    pub age_ms: u64,
}

/// Suspects known to one daemon.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<u64, (u8, u64)>,
    /// Target and time of the last crash that this daemon saw, by fingerprint.
    seen_here: HashMap<u64, (u32, u64)>,
}

impl SuspectTable {
    /// Counts a crash of a target for a fingerprint. Several requests with the same fingerprint in
    /// flight at one crash count once.
    pub fn record_crash(&mut self, fingerprint: u64, target: u32, now_ms: u64) {
        let earlier = self.seen_here.insert(fingerprint, (target, now_ms));
        let is_same = earlier.is_some_and(|(earlier, seen_ms)| {
            earlier == target && now_ms.saturating_sub(seen_ms) < SAME_CRASH_MS
        });
        if is_same {
            return;
        }
        let crashes = self.crashes(fingerprint, now_ms).saturating_add(1);
        self.insert(fingerprint, crashes, now_ms);
    }

    /// Standing of a fingerprint.
    pub fn standing(&self, fingerprint: u64, now_ms: u64) -> SuspectStanding {
        match self.crashes(fingerprint, now_ms) {
            0 => SuspectStanding::Clear,
            crashes if crashes < REFUSED_CRASHES => SuspectStanding::Isolated,
            _ => SuspectStanding::Refused,
        }
    }

    /// Merges another daemon's record; the higher count and the later crash are kept.
    pub fn merge(&mut self, record: SuspectRecord, now_ms: u64) {
        if record.age_ms >= SUSPECT_LIFETIME_MS {
            return;
        }
        let known = self.crashes(record.fingerprint, now_ms);
        let seen_ms = now_ms.saturating_sub(record.age_ms);
        let seen_ms = match self.suspects.get(&record.fingerprint) {
            Some((_, known_ms)) => seen_ms.max(*known_ms),
            None => seen_ms,
        };
        self.insert(record.fingerprint, known.max(record.crashes), seen_ms);
    }

    /// Current suspects; expired ones are dropped.
    pub fn export(&mut self, now_ms: u64) -> Vec<SuspectRecord> {
        self.suspects
            .retain(|_, (_, seen_ms)| now_ms.saturating_sub(*seen_ms) < SUSPECT_LIFETIME_MS);
        let suspects = &self.suspects;
        self.seen_here
            .retain(|fingerprint, _| suspects.contains_key(fingerprint));
        self.suspects
            .iter()
            .map(|(fingerprint, (crashes, seen_ms))| SuspectRecord {
                fingerprint: *fingerprint,
                crashes: *crashes,
                age_ms: now_ms.saturating_sub(*seen_ms),
            })
            .collect()
    }

    fn crashes(&self, fingerprint: u64, now_ms: u64) -> u8 {
        match self.suspects.get(&fingerprint) {
            Some((crashes, seen_ms)) if now_ms.saturating_sub(*seen_ms) < SUSPECT_LIFETIME_MS => {
                *crashes
            }
            _ => 0,
        }
    }

    fn insert(&mut self, fingerprint: u64, crashes: u8, seen_ms: u64) {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            let oldest = self.suspects.iter().min_by_key(|(_, (_, seen))| *seen);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.suspects.remove(&oldest);
                self.seen_here.remove(&oldest);
            }
        }
        self.suspects.insert(fingerprint, (crashes, seen_ms));
    }
}
