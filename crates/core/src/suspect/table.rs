//! Table of crash suspects: whole requests, and prompt parts that several requests share. Either may
//! crash every target that begins to answer, and each is named by a key.
//!
//! Each crash is recorded with the keys of a request that waited for its first output there. An
//! answer that begins clears the keys of its request of all earlier crashes. A key is refused after
//! [`REFUSE_MIN_CRASHES`] crashes in a row; one of a trial, during which no other suspect with the
//! key ran, counts twice if the key was never answered. Keys that were seen together in nearly all of
//! their crashes cannot be told apart: they are refused together, while a request with only one of
//! them runs and shows which one it is. A refused key is tried again after seconds, as no other
//! request shows that it is sound.

use std::{cmp::Reverse, collections::HashMap};

use super::{
    COMMON_FAILURE_MS, SUSPECT_LIFETIME_MS, SuspectStatus,
    answers::AnswerTable,
    attribution::{self, OpenCrashes},
    report::RECENT_MS,
};

/// Number of crashes in a row after which requests with a key are refused. Requests that wait at the
/// same target are suspected along with the one that crashes it, but hardly ever three times without
/// one answer in between.
pub const REFUSE_MIN_CRASHES: usize = 3;
/// The same for a key that was answered earlier, which is less likely to crash targets.
pub const REFUSE_MIN_ANSWERED_CRASHES: usize = 5;
/// Largest number of trials of a key that crash their target.
pub(super) const MAX_TRIALS: usize = 3;
/// Times after the last crash at which one request with a refused key is tried, by the number of
/// trials that have crashed their target.
const TRIAL_DELAYS_MS: [u64; MAX_TRIALS] = [3_000, 3_000, MAX_TRIAL_DELAY_MS];
/// The longest of these times.
pub(super) const MAX_TRIAL_DELAY_MS: u64 = 20_000;
/// Crashes kept; the oldest is dropped first. Bounds memory when a whole zone fails. Their keys must
/// not fill a generation of the table of answers.
const MAX_CRASHES: usize = 128;
/// Keys of a request that are kept for a crash: first those that have never been answered. Prompts
/// that share all kept parts are refused together, even if a later part causes the crashes.
const MAX_KEYS: usize = 16;
/// Cleared suspects kept for reports to other daemons. Others are reported with their crashes only.
const MAX_CLEARED: usize = 64;
/// Records of requests with the same keys at the same target within this time belong to one crash:
/// a target needs longer to crash again.
pub(super) const CRASH_DEDUP_MS: u64 = 2_000;
/// Difference by which a reported time has to exceed the known one to be a later answer. Each
/// daemon that passes a report on adds its delay.
const REPORT_TOLERANCE_MS: u64 = 500;

/// A crash of a target while a request waited for its first output there, as exchanged between
/// daemons.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashRecord {
    /// Random id, by which every daemon recognizes the record.
    pub id: u64,
    /// Keys of the request: its own, and those of the prompt parts that other requests may share.
    pub keys: Vec<u64>,
    /// Hash of the crashed target.
    pub target_hash: u32,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Time from the sending of the request to the crash, in milliseconds.
    pub in_flight_ms: u64,
    /// Whether the request ran as a trial.
    pub is_trial: bool,
}

/// A key of a crash suspect that has been answered, as exchanged between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AnswerRecord {
    /// The key.
    pub key: u64,
    /// Time since the last answer began, in milliseconds.
    pub age_ms: u64,
}

/// A crash by the clock of this daemon.
#[derive(Clone, Debug)]
pub(super) struct SeenCrash {
    pub(super) id: u64,
    pub(super) keys: Vec<u64>,
    pub(super) target_hash: u32,
    pub(super) sent_ms: u64,
    pub(super) seen_ms: u64,
    pub(super) is_trial: bool,
}

impl SeenCrash {
    /// Whether two records are of requests with the same keys that one crash ended, at most one of
    /// which ran as a trial. Each trial counts.
    fn is_alike(&self, other: &Self) -> bool {
        let are_trials = self.is_trial && other.is_trial;
        !are_trials
            && self.target_hash == other.target_hash
            && self.seen_ms.abs_diff(other.seen_ms) < CRASH_DEDUP_MS
            && self.keys == other.keys
    }
}

/// Crash suspects, as known to one daemon.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    /// Crashes in the order in which they were seen.
    crashes: Vec<SeenCrash>,
    /// Time of the last of `crashes` by key.
    last_crashes: HashMap<u64, u64>,
    answers: AnswerTable,
    /// Keys of suspects that an answer of this daemon has cleared, with the time.
    cleared: Vec<(u64, u64)>,
    /// Whether other daemons report crashes some time after they have seen them, and no trial of a
    /// key begins within [`COMMON_FAILURE_MS`] of the crash of the last one.
    awaits_reports: bool,
}

impl SuspectTable {
    /// Creates a table for a daemon whose trials are granted by a [`super::TrialTable`]. Within
    /// [`COMMON_FAILURE_MS`] of a crash, other daemons may still report requests that waited at the
    /// same target, so that it does not show yet which of two keys explains more crashes.
    pub fn awaiting_reports() -> Self {
        Self {
            awaits_reports: true,
            ..Self::default()
        }
    }

    /// Records a crash of a target while a request with these keys waited for its first output there
    /// since `sent_ms`.
    pub fn record_crash(&mut self, keys: &[u64], target_hash: u32, sent_ms: u64, now_ms: u64) {
        let crash = SeenCrash {
            id: rand::random(),
            keys: keys.to_vec(),
            target_hash,
            sent_ms,
            seen_ms: now_ms,
            is_trial: false,
        };
        self.insert(crash);
    }

    /// The same for a trial of these keys: no other request ran that was suspected for one of them.
    /// For the other keys of the request, [`Self::record_crash`] is called too.
    pub fn record_trial_crash(
        &mut self,
        keys: &[u64],
        target_hash: u32,
        sent_ms: u64,
        now_ms: u64,
    ) {
        let crash = SeenCrash {
            id: rand::random(),
            keys: keys.to_vec(),
            target_hash,
            sent_ms,
            seen_ms: now_ms,
            is_trial: true,
        };
        self.insert(crash);
    }

    /// The same for a trial that was granted within [`COMMON_FAILURE_MS`] of an earlier crash
    /// ([`super::TrialAnswer::GrantedAtOnce`]): the request counts as one that was in flight then, as
    /// the failure of several targets may have caused both.
    pub fn record_at_once_crash(
        &mut self,
        keys: &[u64],
        target_hash: u32,
        granted_ms: u64,
        now_ms: u64,
    ) {
        let sent_ms = granted_ms.saturating_sub(COMMON_FAILURE_MS);
        self.record_crash(keys, target_hash, sent_ms, now_ms);
    }

    /// Records that an answer to a request with these keys has begun. Returns whether it cleared a
    /// suspect, so that other daemons should hear of it at once.
    pub fn record_answer(&mut self, keys: &[u64], now_ms: u64) -> bool {
        let open = self.open_keys(keys, now_ms);
        for key in keys {
            self.insert_answer(*key, now_ms);
        }
        let free = MAX_CLEARED.saturating_sub(self.cleared.len());
        let cleared = open.iter().take(free).map(|key| (*key, now_ms));
        self.cleared.extend(cleared);
        !open.is_empty()
    }

    /// Removes old entries from the suspects that an answer of this daemon has cleared; returns the
    /// keys of the others.
    pub(super) fn recently_cleared(&mut self, now_ms: u64) -> Vec<u64> {
        let is_recent = |cleared_ms: u64| now_ms.saturating_sub(cleared_ms) < RECENT_MS;
        self.cleared
            .retain(|(_, cleared_ms)| is_recent(*cleared_ms));
        self.cleared.iter().map(|(key, _)| *key).collect()
    }

    /// Whether no crash is kept.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Whether a key was seen in a crash that is kept.
    pub fn is_known(&self, key: u64) -> bool {
        self.last_crashes.contains_key(&key)
    }

    /// Returns what is done with a request with these keys. One with a refused key is isolated when a
    /// trial is due.
    pub fn status(&self, keys: &[u64], now_ms: u64) -> SuspectStatus {
        if !keys.iter().any(|key| self.is_open(*key, now_ms)) {
            return SuspectStatus::Clear;
        }
        match self.refused_key(keys, now_ms) {
            Some(key) if !self.is_trial_due(key, 0, now_ms) => SuspectStatus::Refused,
            _ => SuspectStatus::Isolated,
        }
    }

    /// Returns the key for which a request with these keys is refused, or runs as a trial only: it
    /// was seen in enough crashes, and it explains them better than each other suspect that the
    /// request does not have. Of several keys, one that was never answered is returned.
    pub fn refused_key(&self, keys: &[u64], now_ms: u64) -> Option<u64> {
        let is_answered = |key| self.answers.last_ms(key).is_some();
        let is_suspected =
            |key: &u64| self.is_open(*key, now_ms) && self.is_suspected(*key, keys, now_ms);
        let mut suspected = keys.iter().copied().filter(is_suspected).peekable();
        suspected.peek()?;
        let crashes = self.open_crashes(now_ms);
        let refused = suspected.filter(|key| crashes.explains_all(*key, keys, is_answered));
        refused.min_by_key(|key| self.answers.last_ms(*key))
    }

    /// Returns those of a request's keys, at most [`MAX_KEYS`], that may have caused a crash: they
    /// have not been answered since.
    pub fn open_keys(&self, keys: &[u64], now_ms: u64) -> Vec<u64> {
        let open = keys.iter().filter(|key| self.is_open(**key, now_ms));
        open.take(MAX_KEYS).copied().collect()
    }

    /// Returns the time of the last crash that a key was seen in; 0 if there is none.
    pub fn last_crash_ms(&self, key: u64) -> u64 {
        self.last_crashes.get(&key).copied().unwrap_or_default()
    }

    /// Returns the time of the last answer to a request with a key.
    pub(super) fn last_answer_ms(&self, key: u64) -> Option<u64> {
        self.answers.last_ms(key)
    }

    /// Number of targets that crashed on requests with a key since it was last answered.
    pub fn crashed_targets(&self, key: u64, now_ms: u64) -> usize {
        if !self.is_open(key, now_ms) {
            return 0;
        }
        let crashes = self.crashes_of(key, now_ms);
        let mut targets: Vec<u32> = crashes.map(|crash| crash.target_hash).collect();
        targets.sort_unstable();
        targets.dedup();
        targets.len()
    }

    /// Merges a crash that another daemon reports, unless it has expired.
    pub fn merge_crash(&mut self, record: &CrashRecord, now_ms: u64) {
        if record.age_ms >= SUSPECT_LIFETIME_MS {
            return;
        }
        let seen_ms = now_ms.saturating_sub(record.age_ms);
        let crash = SeenCrash {
            id: record.id,
            keys: record.keys.clone(),
            target_hash: record.target_hash,
            sent_ms: seen_ms.saturating_sub(record.in_flight_ms),
            seen_ms,
            is_trial: record.is_trial,
        };
        self.insert(crash);
    }

    /// Merges an answer that another daemon reports.
    pub fn merge_answer(&mut self, record: AnswerRecord, now_ms: u64) {
        let answer_ms = now_ms.saturating_sub(record.age_ms);
        let known_ms = self.answers.last_ms(record.key);
        if known_ms.is_none_or(|known_ms| answer_ms > known_ms + REPORT_TOLERANCE_MS) {
            self.insert_answer(record.key, answer_ms);
        }
    }

    /// Removes expired crashes and returns the others, the newest first.
    pub fn export_crashes(&mut self, now_ms: u64) -> Vec<CrashRecord> {
        let count = self.crashes.len();
        self.crashes.retain(|crash| is_recent(crash, now_ms));
        if self.crashes.len() < count {
            self.index_crashes();
        }
        let newest_first = self.crashes.iter().rev();
        newest_first
            .map(|crash| CrashRecord {
                id: crash.id,
                keys: crash.keys.clone(),
                target_hash: crash.target_hash,
                age_ms: now_ms.saturating_sub(crash.seen_ms),
                in_flight_ms: crash.seen_ms.saturating_sub(crash.sent_ms),
                is_trial: crash.is_trial,
            })
            .collect()
    }

    /// Returns when answers to requests with these keys last began, for those that were answered. A
    /// daemon that has not seen an answer would suspect a sound key.
    pub fn export_answers(
        &self,
        keys: impl IntoIterator<Item = u64>,
        now_ms: u64,
    ) -> Vec<AnswerRecord> {
        let mut keys: Vec<u64> = keys.into_iter().collect();
        keys.sort_unstable();
        keys.dedup();
        let answers = keys.into_iter().filter_map(|key| {
            let answer_ms = self.answers.last_ms(key)?;
            let age_ms = now_ms.saturating_sub(answer_ms);
            Some(AnswerRecord { key, age_ms })
        });
        answers.collect()
    }

    /// Adds a crash in the order of the times, unless it is known.
    fn insert(&mut self, mut crash: SeenCrash) {
        if crash.keys.len() > MAX_KEYS {
            // The sort is stable, so that the keys otherwise stay in their order.
            let is_answered = |key: &u64| self.answers.last_ms(*key).is_some();
            crash.keys.sort_by_key(is_answered);
            crash.keys.truncate(MAX_KEYS);
        }
        if let Some(position) = self.position_of(&crash) {
            if !self.replaces(&crash, position) {
                return;
            }
            self.crashes.remove(position);
            self.index_crashes();
        }
        if crash.keys.is_empty() {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.drop_crash();
        }
        for key in &crash.keys {
            let last_ms = self.last_crashes.entry(*key).or_default();
            *last_ms = (*last_ms).max(crash.seen_ms);
        }
        let position = self
            .crashes
            .partition_point(|known| known.seen_ms <= crash.seen_ms);
        self.crashes.insert(position, crash);
    }

    /// Returns the position of a known record that is the same as, or of the same crash and keys as, a
    /// new one.
    fn position_of(&self, crash: &SeenCrash) -> Option<usize> {
        let same = |known: &SeenCrash| known.id == crash.id;
        let position = self.crashes.iter().position(same);
        position.or_else(|| self.crashes.iter().position(|known| known.is_alike(crash)))
    }

    /// Whether a record tells more than the known one at a position: it is of a trial, or is a report
    /// that took less time. No report makes a crash earlier than it was.
    fn replaces(&self, crash: &SeenCrash, position: usize) -> bool {
        let known = &self.crashes[position];
        match known.id == crash.id {
            true => crash.seen_ms < known.seen_ms,
            false => crash.is_trial,
        }
    }

    fn insert_answer(&mut self, key: u64, answer_ms: u64) {
        let kept = self.crashes.iter().flat_map(|crash| &crash.keys);
        self.answers.record(key, answer_ms, kept.copied());
    }

    /// Drops a crash all keys of which have been answered since, or else the oldest of the target with
    /// the most, so that what was in flight when many targets failed does not push out the rest. Those
    /// of trials are dropped last.
    fn drop_crash(&mut self) {
        let answered = |crash: &SeenCrash| self.suspects_of(crash).is_empty();
        let position = self.crashes.iter().position(answered);
        let position = position.or_else(|| self.position_of_many());
        self.crashes.remove(position.unwrap_or(0));
        self.index_crashes();
    }

    /// Returns the position of the oldest crash that is not that of a trial, of the target with the
    /// most such crashes.
    fn position_of_many(&self) -> Option<usize> {
        let mut by_target: HashMap<u32, (usize, usize)> = HashMap::new();
        let crashes = self.crashes.iter().enumerate();
        for (position, crash) in crashes.filter(|(_, crash)| !crash.is_trial) {
            let (count, _) = by_target.entry(crash.target_hash).or_insert((0, position));
            *count += 1;
        }
        let oldest_first = |(count, position): &(usize, usize)| (*count, Reverse(*position));
        let most = by_target.into_values().max_by_key(oldest_first);
        most.map(|(_, position)| position)
    }

    /// Computes `last_crashes` again after crashes have been removed.
    fn index_crashes(&mut self) {
        self.last_crashes.clear();
        for crash in &self.crashes {
            // The crashes are in the order of their times.
            let entries = crash.keys.iter().map(|key| (*key, crash.seen_ms));
            self.last_crashes.extend(entries);
        }
    }

    /// Whether a key was seen in enough crashes to refuse a request with these keys. For one that was
    /// answered earlier, those crashes count once that a key explains which never was, and those
    /// trials that a key explains which the request does not have.
    fn is_suspected(&self, key: u64, keys: &[u64], now_ms: u64) -> bool {
        let crashes = self.crashes_of(key, now_ms);
        let is_answered = |key| self.answers.last_ms(key).is_some();
        if !is_answered(key) || !attribution::is_suspected(crashes.clone(), true) {
            return attribution::is_suspected(crashes, is_answered(key));
        }
        let trials: Vec<_> = crashes.clone().filter(|crash| crash.is_trial).collect();
        let trials = attribution::once_by_cause(&trials, |other| !keys.contains(&other));
        if attribution::is_suspected(trials.into_iter(), true) {
            return true;
        }
        let mut known: HashMap<u64, bool> = HashMap::new();
        let is_cause = |other: u64| {
            let is_suspected = || attribution::is_suspected(self.crashes_of(other, now_ms), false);
            !is_answered(other) && *known.entry(other).or_insert_with(is_suspected)
        };
        let crashes: Vec<_> = crashes.filter(|crash| !crash.is_trial).collect();
        let crashes = attribution::once_by_cause(&crashes, is_cause);
        attribution::is_suspected(crashes.into_iter(), true)
    }

    /// Whether a trial of a refused key may begin, given when the last one began.
    pub(super) fn is_trial_due(&self, key: u64, last_trial_ms: u64, now_ms: u64) -> bool {
        let Some(delay_ms) = TRIAL_DELAYS_MS.get(self.crashed_trials(key, now_ms)) else {
            return false;
        };
        let last_ms = last_trial_ms.max(self.last_crash_ms(key));
        now_ms.saturating_sub(last_ms) >= *delay_ms
    }

    /// Number of trials that crashed their targets since a key of theirs was last answered.
    pub(super) fn crashed_trials(&self, key: u64, now_ms: u64) -> usize {
        let crashes = self.crashes_of(key, now_ms);
        crashes.filter(|crash| crash.is_trial).count()
    }

    /// Returns the crashes that a key was seen in since it was last answered.
    fn crashes_of(&self, key: u64, now_ms: u64) -> impl Iterator<Item = &SeenCrash> + Clone {
        let answer_ms = self.answers.last_ms(key);
        self.crashes.iter().filter(move |crash| {
            is_recent(crash, now_ms)
                && answer_ms <= Some(crash.seen_ms)
                && crash.keys.contains(&key)
        })
    }

    /// Whether a key was seen in a crash and not answered since.
    fn is_open(&self, key: u64, now_ms: u64) -> bool {
        self.last_crashes.get(&key).is_some_and(|crash_ms| {
            now_ms.saturating_sub(*crash_ms) < SUSPECT_LIFETIME_MS
                && self.answers.last_ms(key) <= Some(*crash_ms)
        })
    }

    /// Returns the crashes that some key may have caused.
    fn open_crashes(&self, now_ms: u64) -> OpenCrashes<'_> {
        let recent = self.crashes.iter().filter(|crash| is_recent(crash, now_ms));
        let suspected = recent.map(|crash| (crash, self.suspects_of(crash)));
        let reported_ms = match self.awaits_reports {
            true => now_ms.saturating_sub(COMMON_FAILURE_MS),
            false => u64::MAX,
        };
        OpenCrashes::new(suspected.collect(), reported_ms)
    }

    /// Returns the keys of one request that have not been answered since a crash.
    fn suspects_of(&self, crash: &SeenCrash) -> Vec<u64> {
        let is_open = |key: &u64| self.answers.last_ms(*key) <= Some(crash.seen_ms);
        crash.keys.iter().copied().filter(is_open).collect()
    }
}

fn is_recent(crash: &SeenCrash, now_ms: u64) -> bool {
    now_ms.saturating_sub(crash.seen_ms) < SUSPECT_LIFETIME_MS
}
