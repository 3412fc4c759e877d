//! Fair shares of the engines' time between teams while there is more work than the engines can
//! process.
//!
//! [`load_shed`] alone refuses requests without regard to their team. A team that repeats every
//! refused request at once finds each place in the queues as soon as it becomes free, and the
//! requests of all others are refused. Under an excess of work, a factor on the wait that
//! [`load_shed`] allows therefore holds back teams that have had more than their part of the
//! engines' time, and lets in those that have had less.
//!
//! A team's part is the larger of two amounts:
//!
//! - the equal part: what a team may use if all have the same weight and what small teams leave is
//!   divided among the others;
//! - half of what it would have if the same share of every team's requests was served. Without
//!   this, a team that sends 20 times as much as each of many others would have almost none of its
//!   requests served.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::{fair_share::{ShareTable, SharedRequest}, load_shed};
//!
//! let intake = load_shed::IntakeRequest {
//!     target_latency_ms: 600, priority: 1, remaining_ms: 8_000, is_retry: false,
//! };
//! let mut table = ShareTable::default();
//! let request = |team, key| SharedRequest { team: Some(team), prompt_key: Some(key), work_ms: 50.0 };
//! for key in 0..40 {
//!     table.decide(&request(1, key), &intake, 100.0, 180.0, key);
//! }
//! // Nothing changes before a request is refused.
//! assert_eq!(table.decide(&request(2, 100), &intake, 500.0, 580.0, 40).wait_factor, 1.0);
//! // With a wait of 700 ms, requests are refused: team 1 has used more than its part.
//! let over = table.decide(&request(1, 101), &intake, 700.0, 780.0, 41);
//! let under = table.decide(&request(2, 102), &intake, 700.0, 780.0, 41);
//! assert!(matches!(over.decision, load_shed::IntakeDecision::Refuse { .. }));
//! assert_eq!(under.decision, load_shed::IntakeDecision::Accept);
//! ```

mod level;
mod refused;
mod sums;

use std::collections::HashMap;

use crate::load_shed;
use level::ShareLevel;
use refused::RefusedPrompts;
use sums::TeamSums;

/// Smallest factor on the allowed wait.
pub const MIN_WAIT_FACTOR: f64 = 0.5;
/// Largest factor on the allowed wait.
pub const MAX_WAIT_FACTOR: f64 = 2.0;
/// Largest number of teams that are kept.
pub const MAX_TEAMS: usize = 2_048;
/// Time for which there is an excess of work after a request that [`load_shed::decide`] refuses
/// because of others. It bridges the intervals in which the queues are short because a team is held
/// back.
const EXCESS_HOLD_MS: u64 = 2_000;
/// Interval at which the equal part is computed, which takes some 50 microseconds for 2,048 teams.
const LEVEL_INTERVAL_MS: u64 = 200;
/// Work that a team has asked for below which it is forgotten.
const MIN_KEPT_WORK_MS: f64 = 0.5;

/// A request as its team's share of the engines' time is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRequest {
    /// Hash of the team's name; `None` for requests without a team, which together count as one.
    pub team: Option<u64>,
    /// Key of the whole prompt, by which a repeated request is recognised; `None` if unknown.
    pub prompt_key: Option<u64>,
    /// Time that an engine takes for it.
    pub work_ms: f64,
}

/// Decision on a request, with the factor that was applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareDecision {
    /// Decision whether the request is accepted.
    pub decision: load_shed::IntakeDecision,
    /// Factor on the allowed wait.
    pub wait_factor: f64,
}

/// What a team's factor changes about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareEffect {
    /// Nothing.
    Unchanged,
    /// It is refused although [`load_shed::decide`] accepts it.
    HeldBack,
    /// It is accepted although [`load_shed::decide`] refuses it.
    LetIn,
}

impl ShareEffect {
    /// Returns the effect of a decision on a request for which [`load_shed::decide`] returns
    /// `plain`.
    pub fn of(plain: load_shed::IntakeDecision, decided: load_shed::IntakeDecision) -> ShareEffect {
        match (is_accepted(plain), is_accepted(decided)) {
            (true, false) => Self::HeldBack,
            (false, true) => Self::LetIn,
            _ => Self::Unchanged,
        }
    }
}

fn is_accepted(decision: load_shed::IntakeDecision) -> bool {
    decision == load_shed::IntakeDecision::Accept
}

/// The recent work of each team at the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    teams: HashMap<Option<u64>, TeamSums>,
    /// Sums of all teams, including those that are no longer kept.
    total: TeamSums,
    refused: RefusedPrompts,
    level: ShareLevel,
    /// Time at which the level is computed again.
    level_until_ms: u64,
    /// Time until which there is an excess of work.
    excess_until_ms: u64,
}

impl ShareTable {
    /// Decides on a request that other requests delay by `wait_ms` and whose first token is
    /// expected after `first_token_ms`, and counts its work. The time to retry has no jitter.
    pub fn decide(
        &mut self,
        request: &SharedRequest,
        intake: &load_shed::IntakeRequest,
        wait_ms: f64,
        first_token_ms: f64,
        now_ms: u64,
    ) -> ShareDecision {
        let plain = load_shed::decide(intake, wait_ms, first_token_ms, 0.0);
        if request.team.is_none() && !self.has_teams() {
            return ShareDecision {
                decision: plain,
                wait_factor: 1.0,
            };
        }
        let unloaded_ms = first_token_ms - wait_ms;
        if !is_accepted(plain) && unloaded_ms <= intake.remaining_ms as f64 {
            self.excess_until_ms = now_ms + EXCESS_HOLD_MS;
        }
        let wait_factor = self.wait_factor(request.team, now_ms);
        let decision =
            load_shed::decide_with_factor(intake, wait_factor, wait_ms, first_token_ms, 0.0);
        let expires_ms = now_ms + intake.remaining_ms;
        self.record(request, is_accepted(decision), expires_ms, now_ms);
        ShareDecision {
            decision,
            wait_factor,
        }
    }

    /// Returns the factor on the wait that is allowed to a team's requests; 1 while there is no
    /// excess of work.
    pub fn wait_factor(&mut self, team: Option<u64>, now_ms: u64) -> f64 {
        if now_ms >= self.excess_until_ms || !self.has_teams() {
            return 1.0;
        }
        if now_ms >= self.level_until_ms {
            self.update_level(now_ms);
        }
        let sums = self.teams.get(&team).copied().unwrap_or_default();
        let sums = sums.decayed(now_ms);
        let part_ms = self.level.part_ms(sums.asked_ms);
        if sums.placed_ms * MAX_WAIT_FACTOR <= part_ms {
            return MAX_WAIT_FACTOR;
        }
        (part_ms / sums.placed_ms).max(MIN_WAIT_FACTOR)
    }

    /// Number of teams that are kept; requests without a team count as one.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether no team is kept.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    fn has_teams(&self) -> bool {
        let without_team = usize::from(self.teams.contains_key(&None));
        self.teams.len() > without_team
    }

    /// Counts a request. A repeat of a refused one is not counted as asked for again, so that
    /// repeats do not lower the served share by which parts are computed.
    fn record(&mut self, request: &SharedRequest, is_placed: bool, expires_ms: u64, now_ms: u64) {
        let is_repeat = match (request.prompt_key, is_placed) {
            (None, _) => false,
            (Some(key), true) => self.refused.remove(key, now_ms),
            (Some(key), false) => self.refused.insert(key, expires_ms, now_ms),
        };
        if self.teams.len() >= MAX_TEAMS && !self.teams.contains_key(&request.team) {
            self.remove_smallest(now_ms);
        }
        let team = self.teams.entry(request.team).or_default();
        for sums in [team, &mut self.total] {
            *sums = sums.decayed(now_ms);
            if !is_repeat {
                sums.asked_ms += request.work_ms;
                sums.asked += 1.0;
            }
            if is_placed {
                sums.placed_ms += request.work_ms;
                sums.placed += 1.0;
            }
        }
    }

    fn remove_smallest(&mut self, now_ms: u64) {
        let asked_ms = |sums: &TeamSums| sums.decayed(now_ms).asked_ms;
        let teams = self.teams.iter();
        let smallest = teams.min_by(|(_, left), (_, right)| {
            let left_ms = asked_ms(left);
            left_ms.total_cmp(&asked_ms(right))
        });
        if let Some((team, _)) = smallest {
            let team = *team;
            self.teams.remove(&team);
        }
    }

    fn update_level(&mut self, now_ms: u64) {
        for sums in self.teams.values_mut() {
            *sums = sums.decayed(now_ms);
        }
        self.teams
            .retain(|_, sums| sums.asked_ms.max(sums.placed_ms) >= MIN_KEPT_WORK_MS);
        self.refused.expire(now_ms);
        let total = self.total.decayed(now_ms);
        let asked_ms: Vec<f64> = self.teams.values().map(|sums| sums.asked_ms).collect();
        self.level = ShareLevel::new(&asked_ms, &total);
        self.level_until_ms = now_ms + LEVEL_INTERVAL_MS;
    }
}
