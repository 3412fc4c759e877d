//! Trials of crash suspects over all daemons. One daemon grants them, so that suspects that share a
//! key run one at a time wherever they arrive.

use std::collections::HashMap;

use super::{COMMON_FAILURE_MS, SuspectStatus, SuspectTable, table::MAX_TRIALS};

/// Time for which a trial keeps other suspects that share a key from running. A target that a
/// request crashes seldom needs longer, and sound requests must not wait for a long one.
const EXCLUSIVE_MS: u64 = 1_000;
/// Time after which a trial counts as ended if its end was not reported.
const TRIAL_LIFETIME_MS: u64 = 10_000;

/// Answer to a request for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialAnswer {
    /// The request is no suspect.
    Clear,
    /// The request may run as a trial: no other suspect that shares a key runs.
    Granted,
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
    /// Time at which the last trial was granted by key, for those of a moment ago.
    granted_ms: HashMap<u64, u64>,
}

impl TrialTable {
    /// Decides whether a request with these keys may run now. `id` is the same when a request asks
    /// again because the answer was lost.
    pub fn request(
        &mut self,
        id: u64,
        keys: &[u64],
        suspects: &mut SuspectTable,
        now_ms: u64,
    ) -> TrialAnswer {
        let is_running =
            |trial: &RunningTrial| now_ms.saturating_sub(trial.granted_ms) < TRIAL_LIFETIME_MS;
        self.running.retain(is_running);
        if self.running.iter().any(|trial| trial.id == id) {
            return TrialAnswer::Granted;
        }
        match suspects.status(keys, now_ms) {
            SuspectStatus::Clear => return TrialAnswer::Clear,
            SuspectStatus::Refused => return TrialAnswer::Refused,
            SuspectStatus::Isolated => {}
        }
        let open = suspects.open_keys(keys, now_ms);
        let refused = suspects.refused_key(keys, now_ms);
        let others = self.running.iter().filter(|trial| trial.shares_key(&open));
        let is_exclusive =
            |trial: &RunningTrial| now_ms.saturating_sub(trial.granted_ms) < EXCLUSIVE_MS;
        // The failure that ended the target of the last trial may still end others.
        let is_failing = |key: &u64| {
            let crash_ms = suspects.last_crash_ms(*key);
            let is_recent = now_ms.saturating_sub(crash_ms) < COMMON_FAILURE_MS;
            is_recent
                && self.granted_ms.get(key) <= Some(&crash_ms)
                && self.granted_ms.contains_key(key)
        };
        let is_held_back = open.iter().any(is_failing)
            || others.clone().any(is_exclusive)
            || others.clone().count() + 1 >= MAX_TRIALS
            || refused.is_some() && others.count() > 0;
        if is_held_back {
            return TrialAnswer::Wait;
        }
        if let Some(key) = refused {
            suspects.begin_trial(key, now_ms);
        }
        let is_recent = |granted_ms: u64| now_ms.saturating_sub(granted_ms) < TRIAL_LIFETIME_MS;
        self.granted_ms
            .retain(|_, granted_ms| is_recent(*granted_ms));
        self.granted_ms
            .extend(open.iter().map(|key| (*key, now_ms)));
        self.running.push(RunningTrial {
            id,
            keys: open,
            granted_ms: now_ms,
        });
        TrialAnswer::Granted
    }

    /// Records that a trial has ended. What it has shown must be known before.
    pub fn end(&mut self, id: u64) {
        self.running.retain(|trial| trial.id != id);
    }
}
