//! Selection of the daemons that act as schedulers: they place the prompts of all daemons.
//!
//! With many daemons that have a few requests each, the queues of the engines change within a
//! hundred milliseconds, while the load reports between daemons are up to a second old. If every
//! daemon placed its own prompts, they would pile up at some engines and shared parts would be
//! processed repeatedly. A few schedulers therefore place all prompts and know what they have
//! placed where. The hash of a prompt's shared part selects its scheduler. Schedulers need no
//! exclusive role: any daemon may respond to a request, and daemons may disagree on who the
//! schedulers are.
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
//! let health = SchedulerHealth::default();
//! assert_eq!(preference_order(&candidates, 77, &health, 0).next(), Some(2));
//! ```

use std::collections::HashMap;

use crate::route;

/// Daemons that one scheduler serves: each daemon sends it about ten requests a second, and each
/// takes a few hundred microseconds.
const DAEMONS_PER_SCHEDULER: usize = 80;
/// Daemons per scheduler that receive the same information and can replace it: one for a crash of
/// the scheduler and one for a crash of its replacement.
const STANDBYS_PER_SCHEDULER: usize = 2;
/// Time for which reading the cached parts of the engines may occupy a host's processor.
const MAX_READ_MS: f64 = 1_000.0;
/// Processor time for one engine's response with a few hundred parts.
const READ_COST_MS: f64 = 1.0;
/// Consecutive timeouts after which a scheduler is avoided: a single datagram may be lost.
const TIMEOUTS_BEFORE_AVOIDED: u32 = 2;
/// Time for which a scheduler is avoided after the first timeouts; it doubles with each further
/// timeout, up to [`MAX_AVOID_MS`].
const MIN_AVOID_MS: u64 = 1_000;
/// Longest time for which a scheduler is avoided.
const MAX_AVOID_MS: u64 = 8_000;

/// A daemon that can act as a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerCandidate {
    /// Hash of the daemon's name.
    pub daemon_hash: u64,
    /// Processor capacity of its host, in thousandths of a core.
    pub capacity_millicores: u32,
    /// Whether it has run long enough to know what the engines have cached.
    pub is_warm: bool,
}

/// Sorts candidates, the best one first. Daemons that know the same candidates get the same order.
pub fn rank(candidates: &mut [SchedulerCandidate]) {
    candidates.sort_unstable_by_key(|candidate| {
        let tie_break = route::mix(candidate.daemon_hash, 0);
        let strength = std::cmp::Reverse((candidate.is_warm, candidate.capacity_millicores));
        (strength, tie_break)
    });
}

/// Returns the number of schedulers for a number of daemons.
pub fn scheduler_count(daemons: usize) -> usize {
    daemons.div_ceil(DAEMONS_PER_SCHEDULER).max(1)
}

/// Returns the number of top-ranked daemons that receive what schedulers need to know: the
/// schedulers and their standbys.
pub fn informed_count(daemons: usize) -> usize {
    (scheduler_count(daemons) * (1 + STANDBYS_PER_SCHEDULER)).min(daemons)
}

/// Returns the number of engines whose cached parts a scheduler reads. Placement requests wait
/// meanwhile, so the responses must not take the host's processor for longer than `MAX_READ_MS`.
pub fn engines_to_read(capacity_millicores: u32, engines: usize) -> usize {
    let cores = f64::from(capacity_millicores) / 1_000.0;
    let affordable = (MAX_READ_MS * cores / READ_COST_MS) as usize;
    engines.min(affordable)
}

/// Returns the hashes of the daemons to ask for a placement, in order of preference: the scheduler
/// that the key of the prompt's shared part selects, then its standbys. Avoided daemons are left
/// out. `ranked` are all candidates as sorted by [`rank`].
pub fn preference_order<'a>(
    ranked: &'a [SchedulerCandidate],
    part_key: u64,
    health: &'a SchedulerHealth,
    now_ms: u64,
) -> impl Iterator<Item = u64> + 'a {
    let schedulers = scheduler_count(ranked.len());
    let informed = informed_count(ranked.len());
    let selected = (route::mix(part_key, 1) % schedulers as u64) as usize;
    let scheduler = std::iter::once(selected);
    // Each standby belongs to one scheduler only.
    let standbys = (schedulers..informed).filter(move |position| position % schedulers == selected);
    let positions = scheduler.chain(standbys);
    let hashes = positions.filter_map(|position| ranked.get(position));
    let hashes = hashes.map(|candidate| candidate.daemon_hash);
    hashes.filter(move |daemon_hash| health.is_available(*daemon_hash, now_ms))
}

#[derive(Clone, Copy, Debug, Default)]
struct TimeoutRecord {
    /// Number of consecutive timeouts.
    timeouts: u32,
    /// Time until which the scheduler is avoided.
    avoided_until_ms: u64,
}

/// Which schedulers respond to this daemon; one that does not is avoided for a while.
#[derive(Clone, Debug, Default)]
pub struct SchedulerHealth {
    timeouts: HashMap<u64, TimeoutRecord>,
}

impl SchedulerHealth {
    /// Returns whether a scheduler is not avoided at the given time.
    pub fn is_available(&self, daemon_hash: u64, now_ms: u64) -> bool {
        let record = self.timeouts.get(&daemon_hash);
        record.is_none_or(|record| now_ms >= record.avoided_until_ms)
    }

    /// Records that a scheduler has responded; returns whether it had been avoided.
    pub fn record_response(&mut self, daemon_hash: u64) -> bool {
        let record = self.timeouts.remove(&daemon_hash);
        record.is_some_and(|record| record.avoided_until_ms > 0)
    }

    /// Records that a scheduler has not responded in time; returns whether this starts a period in
    /// which it is avoided.
    pub fn record_timeout(&mut self, daemon_hash: u64, now_ms: u64) -> bool {
        let record = self.timeouts.entry(daemon_hash).or_default();
        record.timeouts += 1;
        if record.timeouts < TIMEOUTS_BEFORE_AVOIDED || now_ms < record.avoided_until_ms {
            return false;
        }
        let doublings = (record.timeouts - TIMEOUTS_BEFORE_AVOIDED).min(3);
        record.avoided_until_ms = now_ms + (MIN_AVOID_MS << doublings).min(MAX_AVOID_MS);
        true
    }
}
