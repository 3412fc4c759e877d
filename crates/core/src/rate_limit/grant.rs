//! Grants of requests to targets with a limit, by the one daemon that gives them.

use std::collections::{HashMap, VecDeque};

use acaciabank_protocol::value_type;

use super::{RateLimit, teams::TeamUses};

/// Time from which a grant is too old to be used: its request would reach the target together with
/// those of later ones.
pub const GRANT_TTL_MS: u64 = 1_000;
/// Share of the registered daemons above which a part of the fleet grants whole limits.
const MAJORITY_SHARE: f64 = 0.5;
/// Lowest rate at which requests are granted, in requests a second. A target that takes none says in
/// a response alone that it takes some again.
const MIN_RATE_PER_S: f64 = 0.1;
/// Seconds of a limit that may be used at once after a time of less use, beside the one request that
/// every target takes.
const BURST_S: f64 = 0.5;
/// Priorities that are told apart; less urgent ones count like the last of them.
const MAX_PRIORITY_STEPS: u8 = 5;
/// Largest part of the burst that is kept for some requests, in requests.
const MAX_RESERVE: f64 = 4.0;
/// Part of the burst that each step of priority leaves to more urgent requests.
const PRIORITY_RESERVE_SHARE: f64 = 0.125;
/// Part of the burst that a team which has had more than its part leaves to others.
const TEAM_RESERVE_SHARE: f64 = 0.25;
/// Time for which answers are kept for questions that are repeated.
const REPEAT_MS: u64 = 1_000;
/// Largest number of kept answers.
const MAX_REPEATS: usize = 4_096;
/// Time in which refused requests are counted to tell callers when to return.
const DENIED_WINDOW_MS: u64 = 1_000;
/// Longest time that callers are told.
const MAX_RETURN_MS: u64 = 5_000;
/// Time without a question after which the bucket of a target is dropped.
const BUCKET_TTL_MS: u64 = 60_000;
/// Largest time in an answer, for rates at which it would not fit.
const MAX_ANSWER_MS: f64 = 60_000.0;

/// A question whether a request may be sent to a target with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GrantRequest {
    /// Random id; it is the same when a question is asked again because the answer was lost.
    pub id: u64,
    /// Hash of the target's incarnation.
    pub target_hash: u64,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Hash of the name of the caller's team, if any.
    pub team: Option<u64>,
}

value_type!(
    /// Answer to a [`GrantRequest`].
    pub enum GrantAnswer {
        /// The request may be sent now.
        Granted,
        /// The limit leaves no request now.
        Denied {
            /// Time after which the next request may be granted, in milliseconds.
            open_in_ms: u32,
            /// Time after which a refused caller may return, in milliseconds: later than the other
            /// one if more requests were denied than the target takes.
            return_in_ms: u32,
        },
        /// The daemon that was asked does not grant the requests of the target.
        NotGranter,
    }
);

#[derive(Clone, Debug)]
struct LimitBucket {
    /// Requests that may be granted now.
    level: f64,
    updated_ms: u64,
    teams: TeamUses,
    /// Times of recent denials.
    denied_ms: VecDeque<u64>,
}

impl LimitBucket {
    /// A new bucket is empty: what a former granter has given may still be on its way.
    fn new(now_ms: u64) -> Self {
        Self {
            level: 0.0,
            updated_ms: now_ms,
            teams: TeamUses::default(),
            denied_ms: VecDeque::new(),
        }
    }

    fn decide(&mut self, request: &GrantRequest, rate_per_s: f64, now_ms: u64) -> GrantAnswer {
        let spare = BURST_S * rate_per_s;
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = now_ms;
        self.level = (self.level + rate_per_s * elapsed_ms / 1_000.0).min(1.0 + spare);
        let is_over_part = self.teams.record_asked(request.team, now_ms);
        let steps = f64::from(request.priority.min(MAX_PRIORITY_STEPS));
        let mut reserve_share = steps * PRIORITY_RESERVE_SHARE;
        if is_over_part {
            reserve_share += TEAM_RESERVE_SHARE;
        }
        let needed = 1.0 + reserve_share * spare.min(MAX_RESERVE);
        if self.level >= needed {
            self.level -= 1.0;
            self.teams.record_granted(request.team);
            return GrantAnswer::Granted;
        }
        self.deny((needed - self.level) / rate_per_s, rate_per_s, now_ms)
    }

    fn deny(&mut self, open_in_s: f64, rate_per_s: f64, now_ms: u64) -> GrantAnswer {
        let is_old = |time: &u64| now_ms.saturating_sub(*time) >= DENIED_WINDOW_MS;
        while self.denied_ms.front().is_some_and(is_old) {
            self.denied_ms.pop_front();
        }
        let waiting = self.denied_ms.len() as f64;
        if self.denied_ms.len() < MAX_REPEATS {
            self.denied_ms.push_back(now_ms);
        }
        let open_in_ms = whole_ms(open_in_s);
        let queue_ms = whole_ms(waiting / rate_per_s).min(MAX_RETURN_MS as u32);
        GrantAnswer::Denied {
            open_in_ms,
            return_in_ms: open_in_ms.max(queue_ms),
        }
    }
}

fn whole_ms(seconds: f64) -> u32 {
    (seconds * 1_000.0).ceil().clamp(1.0, MAX_ANSWER_MS) as u32
}

/// Returns the share of the limits that the granter of `known` daemons grants, itself among them: the
/// others of the `registered` ones may be cut off from it and have a granter of their own.
pub fn granted_share(known: usize, registered: usize) -> f64 {
    let share = known as f64 / registered.max(known).max(1) as f64;
    match share > MAJORITY_SHARE {
        true => 1.0,
        false => share,
    }
}

/// Token buckets by hash of the target's incarnation.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    buckets: HashMap<u64, LimitBucket>,
    /// Recent answers: time, id and answer.
    answered: VecDeque<(u64, u64, GrantAnswer)>,
}

impl GrantTable {
    /// Decides whether a request may be sent. `share`, at most 1, is the share of the limit that this
    /// daemon may grant.
    pub fn decide(
        &mut self,
        request: &GrantRequest,
        limit: RateLimit,
        share: f64,
        now_ms: u64,
    ) -> GrantAnswer {
        self.expire(now_ms);
        let mut answered = self.answered.iter();
        if let Some((_, _, answer)) = answered.find(|(_, id, _)| *id == request.id) {
            return *answer;
        }
        let rate_per_s = (limit.per_s() * share).max(MIN_RATE_PER_S);
        let bucket = self.buckets.entry(request.target_hash);
        let bucket = bucket.or_insert_with(|| LimitBucket::new(now_ms));
        let answer = bucket.decide(request, rate_per_s, now_ms);
        if self.answered.len() < MAX_REPEATS {
            self.answered.push_back((now_ms, request.id, answer));
        }
        answer
    }

    /// Forgets all buckets: another daemon grants now, and what this one gives later begins anew.
    pub fn clear(&mut self) {
        self.buckets.clear();
    }

    /// Whether there is a bucket of any target.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn expire(&mut self, now_ms: u64) {
        let is_old = |time: u64| now_ms.saturating_sub(time) >= REPEAT_MS;
        while self
            .answered
            .front()
            .is_some_and(|(time, ..)| is_old(*time))
        {
            self.answered.pop_front();
        }
        if self.buckets.len() > 1 {
            let is_used =
                |bucket: &LimitBucket| now_ms.saturating_sub(bucket.updated_ms) < BUCKET_TTL_MS;
            self.buckets.retain(|_, bucket| is_used(bucket));
        }
    }
}
