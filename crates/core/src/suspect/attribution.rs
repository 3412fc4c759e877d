//! Attribution of crashes to the keys of the requests that were in flight.

use std::{
    collections::{HashMap, HashSet},
    rc,
};

use super::{
    COMMON_FAILURE_MS, REFUSE_MIN_ANSWERED_CRASHES, REFUSE_MIN_CRASHES,
    table::{CRASH_DEDUP_MS, MAX_TRIALS, SeenCrash},
};

/// Number of crashes that the crash of a trial counts for in addition. No other suspect with the key
/// was in flight, and the trial was sent after the earlier crash had been noticed.
const TRIAL_BONUS: usize = 1;

/// A crash as one request saw it.
struct OpenCrash<'a> {
    crash: &'a SeenCrash,
    /// Suspected keys of all requests that waited at the target, in order.
    all: rc::Rc<[u64]>,
    /// Whether other daemons may still report requests that waited at the target.
    awaits_reports: bool,
}

impl OpenCrash<'_> {
    /// Whether a key of a request that waited at the target may have caused the crash.
    fn involves(&self, key: u64) -> bool {
        self.all.binary_search(&key).is_ok()
    }
}

/// Crashes that some key may have caused.
pub struct OpenCrashes<'a> {
    crashes: Vec<OpenCrash<'a>>,
    /// Positions in `crashes` by suspected key.
    by_key: HashMap<u64, Vec<usize>>,
}

impl<'a> OpenCrashes<'a> {
    /// Groups crashes, in the order of their times, that come with the keys that were not answered
    /// since. Other daemons may still report what waited at the targets of those after
    /// `reported_ms`.
    pub fn new(suspected: Vec<(&'a SeenCrash, Vec<u64>)>, reported_ms: u64) -> Self {
        // Records of one target with close times belong to one crash.
        let mut last_crash: HashMap<u32, (u64, usize)> = HashMap::new();
        let mut groups: Vec<Vec<u64>> = Vec::new();
        let mut group_of = Vec::with_capacity(suspected.len());
        for (crash, suspects) in &suspected {
            let known = last_crash.get(&crash.target_hash);
            let group = match known {
                Some((seen_ms, group)) if crash.seen_ms - seen_ms < CRASH_DEDUP_MS => *group,
                _ => {
                    groups.push(Vec::new());
                    let group = groups.len() - 1;
                    last_crash.insert(crash.target_hash, (crash.seen_ms, group));
                    group
                }
            };
            groups[group].extend(suspects);
            group_of.push(group);
        }
        let groups = groups.into_iter().map(|mut all| {
            all.sort_unstable();
            all.dedup();
            rc::Rc::from(all)
        });
        let groups: Vec<rc::Rc<[u64]>> = groups.collect();
        let mut by_key: HashMap<u64, Vec<usize>> = HashMap::new();
        let mut crashes = Vec::with_capacity(suspected.len());
        for (position, ((crash, own), group)) in suspected.into_iter().zip(group_of).enumerate() {
            for key in &own {
                by_key.entry(*key).or_default().push(position);
            }
            crashes.push(OpenCrash {
                crash,
                all: rc::Rc::clone(&groups[group]),
                awaits_reports: crash.seen_ms > reported_ms,
            });
        }
        Self { crashes, by_key }
    }

    /// Whether a key explains its crashes better than each other suspect that a request with the given
    /// keys does not have. `is_answered` tells whether a key was answered at any time.
    pub fn explains_all(
        &self,
        key: u64,
        keys: &[u64],
        is_answered: impl Fn(u64) -> bool + Copy,
    ) -> bool {
        let others = self.of_key(key).flat_map(|open| open.all.iter().copied());
        let mut others: Vec<u64> = others.collect();
        others.sort_unstable();
        others.dedup();
        let mut absent = others.into_iter().filter(|other| !keys.contains(other));
        absent.all(|other| self.explains_more(key, other, is_answered))
    }

    /// Whether a key was seen in the crash of a trial without another one, or else in more crashes
    /// without it than the other way round. Of two keys that cannot be told apart, one that was never
    /// answered explains more; once all its trials have crashed it does so in any case. That the other
    /// one was not in a crash is known once all reports on it have come.
    fn explains_more(&self, key: u64, other: u64, is_answered: impl Fn(u64) -> bool) -> bool {
        let own = self.of_key(key).filter(|open| !open.awaits_reports);
        let own_crashes = count_without(own, other);
        let other_crashes = count_without(self.of_key(other), key);
        let is_newer = !is_answered(key) && is_answered(other);
        self.has_trial_without(key, other)
            || own_crashes > other_crashes
            || is_newer && (own_crashes == other_crashes || self.count_trials(key) >= MAX_TRIALS)
    }

    /// Whether a trial of a key crashed at a target where no request with another one waited.
    fn has_trial_without(&self, key: u64, other: u64) -> bool {
        let reported = self.of_key(key).filter(|open| !open.awaits_reports);
        let mut trials = reported.filter(|open| open.crash.is_trial);
        trials.any(|open| !open.involves(other))
    }

    /// Counts crashes of trials of requests with a key.
    fn count_trials(&self, key: u64) -> usize {
        self.of_key(key).filter(|open| open.crash.is_trial).count()
    }

    fn of_key(&self, key: u64) -> impl Iterator<Item = &OpenCrash<'a>> {
        let positions = self.by_key.get(&key).into_iter().flatten();
        positions.map(|position| &self.crashes[*position])
    }
}

/// Counts those of a key's crashes that do not involve another one.
fn count_without<'a: 'b, 'b>(
    crashes: impl Iterator<Item = &'b OpenCrash<'a>>,
    other: u64,
) -> usize {
    let without = crashes.filter(|open| !open.involves(other));
    count_in_a_row(without.map(|open| open.crash))
}

/// Whether a key was seen in enough crashes to be refused, given those since its last answer.
pub fn is_suspected<'a>(
    crashes: impl Iterator<Item = &'a SeenCrash> + Clone,
    is_answered: bool,
) -> bool {
    let crash_count = count_in_a_row(crashes.clone());
    let trials = crashes.filter(|crash| crash.is_trial);
    match is_answered {
        false => crash_count + TRIAL_BONUS * trials.count() >= REFUSE_MIN_CRASHES,
        true => crash_count >= REFUSE_MIN_ANSWERED_CRASHES || count_in_a_row(trials) >= MAX_TRIALS,
    }
}

/// Returns of the crashes that one key explains the first one, and all others. Of several keys that
/// may explain a crash, the one in the most crashes does.
pub fn once_by_cause<'a>(
    crashes: &[&'a SeenCrash],
    mut is_cause: impl FnMut(u64) -> bool,
) -> Vec<&'a SeenCrash> {
    let mut counts: HashMap<u64, usize> = HashMap::new();
    for key in crashes.iter().flat_map(|crash| &crash.keys) {
        if is_cause(*key) {
            *counts.entry(*key).or_default() += 1;
        }
    }
    let mut causes: HashSet<u64> = HashSet::new();
    let counted = crashes.iter().copied().filter(|crash| {
        let candidates = crash.keys.iter().filter(|key| counts.contains_key(key));
        let cause = candidates.max_by_key(|key| counts[key]);
        cause.is_none_or(|cause| causes.insert(*cause))
    });
    counted.collect()
}

/// Counts crashes in the order of their times. Those that one failure of many targets may have
/// caused count once: the requests were in flight at the same time, and the times are close.
fn count_in_a_row<'a>(crashes: impl Iterator<Item = &'a SeenCrash>) -> usize {
    let mut counted_ms: Option<u64> = None;
    let mut count = 0;
    for crash in crashes {
        let (sent_ms, seen_ms) = (crash.sent_ms, crash.seen_ms);
        let is_next =
            |counted_ms| sent_ms >= counted_ms || seen_ms >= counted_ms + COMMON_FAILURE_MS;
        if counted_ms.is_none_or(is_next) {
            counted_ms = Some(seen_ms);
            count += 1;
        }
    }
    count
}
