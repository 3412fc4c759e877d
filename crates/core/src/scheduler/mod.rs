//! Which daemon places the prompts of all daemons.
//!
//! Load answered: many daemons with a few requests each before engines whose queues change within a
//! hundred milliseconds. Reports between all of them are a second old by then, so prompts pile up at
//! some engines and shared parts are processed again. A few daemons therefore place for all: they
//! know what they have sent where. Each prompt belongs to one of them by the hash of its shared part.
//! They hold no authority, so any daemon that is asked may answer, and nothing breaks when two
//! daemons disagree on who schedules.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::scheduler::{SchedulerCandidate, SchedulerHealth, preference_order, rank};
//!
//! let candidate = |daemon_hash, capacity_millicores| SchedulerCandidate {
//!     daemon_hash, capacity_millicores, is_warm: true,
//! };
//! let mut candidates = vec![candidate(1, 120), candidate(2, 500), candidate(3, 120)];
//! rank(&mut candidates);
//! let standing = SchedulerHealth::default();
//! assert_eq!(preference_order(&candidates, 77, &standing, 0).next(), Some(2));
//! ```

use std::collections::HashMap;

use crate::route;

/// Daemons for which one scheduler places: a question takes it some hundred microseconds, and each
/// daemon asks some ten times a second.
const DAEMONS_PER_SCHEDULER: usize = 80;
/// Daemons that are kept informed beside each scheduler, to replace it: one for a crash and one for
/// a crash during that.
const STANDBYS_PER_SCHEDULER: usize = 2;
/// Time for which reading what engines hold may take the processor of a host.
const READ_TIME_MS: f64 = 1_000.0;
/// Processor time of one such answer of some hundred parts.
const READ_COST_MS: f64 = 1.0;
/// Questions in a row without an answer after which a scheduler is avoided: one datagram may be lost.
const SILENT_QUESTIONS: u32 = 2;
/// Time for which a silent scheduler is avoided at first, and at most: it doubles while it stays
/// silent.
const FIRST_AVOID_MS: u64 = 1_000;
const MAX_AVOID_MS: u64 = 8_000;

/// A daemon that can place for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerCandidate {
    /// Short name.
    pub daemon_hash: u64,
    /// Processor time of its host, in thousandths of a core.
    pub capacity_millicores: u32,
    /// Whether it has run for long enough to know what the engines hold.
    pub is_warm: bool,
}

/// Orders candidates, the best one first. Daemons that know the same candidates agree on it.
pub fn rank(candidates: &mut [SchedulerCandidate]) {
    candidates.sort_unstable_by_key(|candidate| {
        let spread = route::mix(candidate.daemon_hash, 0);
        let power = std::cmp::Reverse((candidate.is_warm, candidate.capacity_millicores));
        (power, spread)
    });
}

/// Schedulers of a number of daemons.
pub fn scheduler_count(daemons: usize) -> usize {
    daemons.div_ceil(DAEMONS_PER_SCHEDULER).max(1)
}

/// Daemons, from the first of the ranked ones on, that are told what the schedulers know.
pub fn informed_count(daemons: usize) -> usize {
    (scheduler_count(daemons) * (1 + STANDBYS_PER_SCHEDULER)).min(daemons)
}

/// Engines that a scheduler asks what they hold: the answers must not take its host's processor for
/// longer than [`READ_TIME_MS`], as questions wait meanwhile.
pub fn engines_to_read(capacity: u32, engines: usize) -> usize {
    let share = f64::from(capacity) / 1_000.0;
    let affordable = (READ_TIME_MS * share / READ_COST_MS) as usize;
    engines.min(affordable)
}

/// Daemons to ask about a prompt, by the key of its shared part, from the one that it belongs to.
/// `ranked` are all candidates as [`rank`] orders them.
pub fn preference_order<'a>(
    ranked: &'a [SchedulerCandidate],
    part: u64,
    standing: &'a SchedulerHealth,
    now_ms: u64,
) -> impl Iterator<Item = u64> + 'a {
    let schedulers = scheduler_count(ranked.len());
    let informed = informed_count(ranked.len());
    let seat = (route::mix(part, 1) % schedulers as u64) as usize;
    let own = std::iter::once(seat);
    // A scheduler's standbys are those that no other scheduler has.
    let standbys = (schedulers..informed).filter(move |position| position % schedulers == seat);
    let positions = own.chain(standbys);
    let names = positions.filter_map(|position| ranked.get(position));
    let names = names.map(|candidate| candidate.daemon_hash);
    names.filter(move |name| standing.is_available(*name, now_ms))
}

#[derive(Clone, Copy, Debug, Default)]
struct SilenceRecord {
    questions: u32,
    until_ms: u64,
}

/// Which schedulers answer this daemon.
#[derive(Clone, Debug, Default)]
pub struct SchedulerHealth {
    silent: HashMap<u64, SilenceRecord>,
}

impl SchedulerHealth {
    /// Whether a scheduler may be asked.
    pub fn is_available(&self, name: u64, now_ms: u64) -> bool {
        let record = self.silent.get(&name);
        record.is_none_or(|record| now_ms >= record.until_ms)
    }

    /// A scheduler has answered; tells whether it had been avoided.
    pub fn record_answer(&mut self, name: u64) -> bool {
        let record = self.silent.remove(&name);
        record.is_some_and(|record| record.until_ms > 0)
    }

    /// A scheduler has not answered in time; tells whether it is avoided from now on.
    pub fn record_timeout(&mut self, name: u64, now_ms: u64) -> bool {
        let record = self.silent.entry(name).or_default();
        record.questions += 1;
        if record.questions < SILENT_QUESTIONS || now_ms < record.until_ms {
            return false;
        }
        let doublings = (record.questions - SILENT_QUESTIONS).min(3);
        record.until_ms = now_ms + (FIRST_AVOID_MS << doublings).min(MAX_AVOID_MS);
        true
    }
}
