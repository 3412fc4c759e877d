//! Trials of crash suspects over all daemons. One daemon grants them, so that suspects that share a
//! key run one at a time wherever they arrive.

use std::collections::HashMap;

use super::{
    COMMON_FAILURE_MS, SuspectStatus, SuspectTable,
    table::{MAX_TRIAL_DELAY_MS, MAX_TRIALS},
};

/// Time for which a trial keeps other suspects that share a key from running, unless an earlier trial
/// has crashed. A target that a request crashes seldom needs longer, and sound requests must not wait
/// for a long one.
const EXCLUSIVE_MS: u64 = 1_000;
/// Time after which a trial counts as ended if its end was not reported.
const TRIAL_LIFETIME_MS: u64 = 10_000;

/// Answer to a request for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum TrialAnswer {
    /// The request is no suspect.
    Clear,
    /// The request may run as a trial: no other suspect that shares a key runs.
    Granted,
    /// The same within [`COMMON_FAILURE_MS`] of a crash. What caused that one may still end other
    /// targets, so that a crash of this trial belongs to the same moment.
    GrantedAtOnce,
    /// Another suspect that shares a key runs.
    Wait,
    /// The request has a refused key, and no trial of it is due.
    Refused,
}

/// A trial that has been granted and whose end has not been reported.
#[derive(Clone, Debug)]
struct RunningTrial {
    id: u64,
    /// Suspected keys of the request.
    keys: Vec<u64>,
    granted_ms: u64,
    answer: TrialAnswer,
}

impl RunningTrial {
    fn shares_key(&self, keys: &[u64]) -> bool {
        self.keys.iter().any(|key| keys.contains(key))
    }
}

/// Running trials, kept by the daemon that grants them.
#[derive(Clone, Debug, Default)]
pub struct TrialTable {
    running: Vec<RunningTrial>,
    /// Time at which the last trial was granted that was sent to a target, by key.
    granted_ms: HashMap<u64, u64>,
}

impl TrialTable {
    /// Decides whether a request with these keys may run now. `id` is the same when a request asks
    /// again because the answer was lost.
    pub fn request(
        &mut self,
        id: u64,
        keys: &[u64],
        suspects: &SuspectTable,
        now_ms: u64,
    ) -> TrialAnswer {
        self.remove_old(suspects, now_ms);
        if let Some(trial) = self.running.iter().find(|trial| trial.id == id) {
            return trial.answer;
        }
        match suspects.status(keys, now_ms) {
            SuspectStatus::Clear => return TrialAnswer::Clear,
            SuspectStatus::Refused => return TrialAnswer::Refused,
            SuspectStatus::Isolated => {}
        }
        let open = suspects.open_keys(keys, now_ms);
        let crash_ms = open.iter().map(|key| suspects.last_crash_ms(*key)).max();
        let crash_ms = crash_ms.unwrap_or_default();
        // What caused that crash may still end other targets.
        let is_failing = now_ms.saturating_sub(crash_ms) < COMMON_FAILURE_MS;
        if let Some(key) = suspects.refused_key(keys, now_ms)
            && (is_failing || !self.is_due(key, &open, suspects, now_ms))
        {
            return TrialAnswer::Refused;
        }
        let is_repeated = is_failing && self.has_granted_until(crash_ms, &open);
        if is_repeated || self.is_held_back(&open, suspects, now_ms) {
            return TrialAnswer::Wait;
        }
        let answer = match is_failing {
            true => TrialAnswer::GrantedAtOnce,
            false => TrialAnswer::Granted,
        };
        let granted = open.iter().map(|key| (*key, now_ms));
        self.granted_ms.extend(granted);
        self.running.push(RunningTrial {
            id,
            keys: open,
            granted_ms: now_ms,
            answer,
        });
        answer
    }

    /// Records that a trial has ended. What it has shown must be known before. One that `was_sent` to
    /// no target does not delay the next one.
    pub fn end(&mut self, id: u64, was_sent: bool) {
        let ended = self.running.extract_if(.., |trial| trial.id == id);
        for trial in ended.filter(|_| !was_sent) {
            let is_own = |key: &u64, granted_ms: &mut u64| {
                *granted_ms == trial.granted_ms && trial.keys.contains(key)
            };
            self.granted_ms
                .retain(|key, granted_ms| !is_own(key, granted_ms));
        }
    }

    /// Whether a request with a refused key and these open keys may run as the next trial of it. An
    /// earlier one that showed nothing, as its caller has gone, counts for the delay.
    fn is_due(&self, key: u64, open: &[u64], suspects: &SuspectTable, now_ms: u64) -> bool {
        let last_ms = self.granted_ms.get(&key).copied().unwrap_or_default();
        let is_running = self.running.iter().any(|trial| trial.shares_key(open));
        suspects.is_trial_due(key, last_ms, now_ms) && !is_running
    }

    /// Whether a trial of one of these keys was granted until a time.
    fn has_granted_until(&self, until_ms: u64, keys: &[u64]) -> bool {
        let mut granted_ms = keys.iter().filter_map(|key| self.granted_ms.get(key));
        granted_ms.any(|granted_ms| *granted_ms <= until_ms)
    }

    /// Whether a suspect with these open keys has to wait for others that share one.
    fn is_held_back(&self, open: &[u64], suspects: &SuspectTable, now_ms: u64) -> bool {
        let mut others = self.running.iter().filter(|trial| trial.shares_key(open));
        let crashed_trials = open.iter().map(|key| suspects.crashed_trials(*key, now_ms));
        let is_exclusive =
            |trial: &RunningTrial| now_ms.saturating_sub(trial.granted_ms) < EXCLUSIVE_MS;
        // The running trials may crash too: no more of them than may crash in all.
        match crashed_trials.max() {
            None | Some(0) => others.clone().any(is_exclusive) || others.count() + 1 >= MAX_TRIALS,
            Some(_) => others.next().is_some(),
        }
    }

    fn remove_old(&mut self, suspects: &SuspectTable, now_ms: u64) {
        let is_running =
            |trial: &RunningTrial| now_ms.saturating_sub(trial.granted_ms) < TRIAL_LIFETIME_MS;
        self.running.retain(is_running);
        self.granted_ms.retain(|key, granted_ms| {
            now_ms.saturating_sub(*granted_ms) < MAX_TRIAL_DELAY_MS
                && suspects.last_answer_ms(*key) <= Some(*granted_ms)
        });
    }
}
