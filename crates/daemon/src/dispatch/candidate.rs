//! Snapshots of the targets that a routing decision scores.

use std::{collections::HashMap, sync::atomic::Ordering, time::Instant};

use acaciabank_core::{cache, route};

use super::{partition::TargetPartition, token_times};
use crate::target;

/// Maximum number of targets that the adaptive policy scores, besides those with a cached prefix.
/// It bounds the time of a routing decision; different samples also keep daemons from all choosing
/// the same target.
const MAX_SAMPLED_TARGETS: usize = 64;
/// Maximum number of targets with a cached prefix that are scored.
const MAX_PREFIX_MATCHES: usize = 16;

/// Builds the candidate views of a pool's targets at one point in time.
pub(super) struct CandidateSampler<'a> {
    pub(super) routes: &'a [target::TargetRoute],
    pub(super) matches: &'a [cache::PrefixMatch],
    /// Hashes of targets that must not be chosen.
    pub(super) avoided: &'a [u32],
    /// Whether the request is a crash suspect.
    pub(super) isolated: bool,
    /// Targets of the pool that crash suspects of this daemon use first.
    pub(super) partition: Option<TargetPartition>,
    pub(super) token_times: [route::TokenTimes; token_times::ROLE_COUNT],
    pub(super) now_ms: u64,
    pub(super) now: Instant,
}

impl CandidateSampler<'_> {
    /// View of the target at `position` in the pool.
    pub(super) fn view(&self, position: usize) -> route::CandidateView {
        let route = &self.routes[position];
        let target = &route.target;
        let condition = target.condition.load();
        let load = target.estimated_load(&condition, self.now);
        let has_suspect = target.tracker.suspects.load(Ordering::Acquire) > 0;
        let count = self.routes.len();
        let is_in_partition = self
            .partition
            .as_ref()
            .is_none_or(|partition| partition.contains(position, count));
        route::CandidateView {
            is_available: target.is_accepting(self.now_ms)
                && load < target.limit()
                && !self.avoided.contains(&target.hash)
                && !(self.isolated && (has_suspect || !is_in_partition)),
            role: condition.role,
            token_times: self.token_times[token_times::role_index(condition.role)],
            load,
            slots: target.slots,
            waiting_prefill_tokens: target.estimated_prefill_tokens(&condition),
            cached_pieces: cache::matched_pieces(self.matches, target.hash),
            distance_us: route.distance_us,
        }
    }

    /// Targets to score, with their positions: all targets of a small pool; otherwise a random one
    /// from each of [`MAX_SAMPLED_TARGETS`] equal ranges, and those with the longest cached prefix.
    pub(super) fn sample(
        &self,
        positions: &HashMap<u32, usize>,
        seed: u64,
    ) -> Vec<(usize, route::CandidateView)> {
        let count = self.routes.len();
        let with_view = |position: usize| (position, self.view(position));
        if count <= MAX_SAMPLED_TARGETS {
            return (0..count).map(with_view).collect();
        }
        let mut sample = Vec::with_capacity(MAX_SAMPLED_TARGETS + MAX_PREFIX_MATCHES);
        let sampled = (0..MAX_SAMPLED_TARGETS).map(|range| {
            let (start, end) = (
                range * count / MAX_SAMPLED_TARGETS,
                (range + 1) * count / MAX_SAMPLED_TARGETS,
            );
            start + (route::mix(seed, range) % (end - start) as u64) as usize
        });
        sample.extend(sampled.map(with_view));
        let longest = self.matches.iter().map(|found| found.pieces).max();
        let cached = self
            .matches
            .iter()
            .filter(|found| Some(found.pieces) == longest);
        let cached = cached.filter_map(|found| positions.get(&found.target_hash).copied());
        let cached = cached.filter(|position| *position < count);
        sample.extend(cached.take(MAX_PREFIX_MATCHES).map(with_view));
        sample
    }
}
