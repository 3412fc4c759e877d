//! Admission control: queue order, deadline feasibility, fair sharing between teams and the
//! concurrency limit of a target.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use acaciabank_protocol::{ids, wire};

/// Queue position of a request, compared by priority, then deadline, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket {
    /// Requests of a more urgent priority are served first.
    pub priority: wire::Priority,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Arrival number, which breaks ties.
    pub arrival: u64,
}

/// Priority queue of the requests that wait for a target.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<QueueTicket, T>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
        }
    }
}

impl<T> WaitQueue<T> {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of requests that are served before the given ticket.
    pub fn ahead_of(&self, ticket: &QueueTicket) -> usize {
        self.waiting.range(..ticket).count()
    }

    /// Whether any request is served before the given ticket.
    pub fn has_ahead_of(&self, ticket: &QueueTicket) -> bool {
        self.waiting.range(..ticket).next().is_some()
    }

    /// Adds a request.
    pub fn push(&mut self, ticket: QueueTicket, item: T) {
        self.waiting.insert(ticket, item);
    }

    /// Returns the request that is served next.
    pub fn first(&self) -> Option<&T> {
        self.waiting.first_key_value().map(|(_, item)| item)
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<(QueueTicket, T)> {
        self.waiting.pop_first()
    }

    /// Removes a request that stops waiting before it is served.
    pub fn remove(&mut self, ticket: &QueueTicket) -> Option<T> {
        self.waiting.remove(ticket)
    }
}

/// Expected queueing time of a request behind `ahead` others that are served by `slots` concurrent
/// slots, each taking `service_time` per request.
pub fn expected_wait(ahead: usize, slots: u32, service_time: Duration) -> Duration {
    let rounds = (ahead as f64 + 1.0) / f64::from(slots.max(1));
    service_time.mul_f64(rounds)
}

/// Whether a request that starts after `wait` and runs for `service_time` meets its deadline.
pub fn is_feasible(
    now: Instant,
    deadline: Instant,
    wait: Duration,
    service_time: Duration,
) -> bool {
    now + wait + service_time <= deadline
}

/// Counts the requests of each team that are in flight or waiting, and limits a team to its
/// weighted share.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    active: HashMap<ids::TeamId, u32>,
}

impl FairShare {
    /// Counts a request of the team.
    pub fn enter(&mut self, team: &ids::TeamId) {
        *self.active.entry(team.clone()).or_default() += 1;
    }

    /// Removes a request of the team from the count.
    pub fn leave(&mut self, team: &ids::TeamId) {
        if let Some(count) = self.active.get_mut(team) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.active.remove(team);
            }
        }
    }

    /// Whether one more request of the team would exceed its weighted share of `capacity`, which is
    /// divided among the teams with active requests. A team that is alone is not limited.
    pub fn exceeds_share(
        &self,
        team: &ids::TeamId,
        capacity: u32,
        weight_of: impl Fn(&ids::TeamId) -> u32,
    ) -> bool {
        let own_weight = u64::from(weight_of(team).max(1));
        let others = self.active.keys().filter(|other| *other != team);
        let other_weight: u64 = others.map(|other| u64::from(weight_of(other).max(1))).sum();
        if other_weight == 0 {
            return false;
        }
        let used = u64::from(self.active.get(team).copied().unwrap_or(0)) + 1;
        let share = (u64::from(capacity) * own_weight).div_ceil(own_weight + other_weight);
        used > share.max(1)
    }
}

/// Adaptive (AIMD) concurrency limit of one target for one phase: grows by one after as many
/// successes as the limit and shrinks by a quarter after a refusal or a timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyLimit {
    limit: u32,
    max_limit: u32,
    successes: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at its maximum, the number of slots that the target states.
    pub fn new(max_limit: u32) -> Self {
        let max_limit = max_limit.max(1);
        Self {
            limit: max_limit,
            max_limit,
            successes: 0,
        }
    }

    /// The current limit.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Records a request that the target completed.
    pub fn record_success(&mut self) {
        self.successes += 1;
        if self.successes >= self.limit {
            self.successes = 0;
            self.limit = (self.limit + 1).min(self.max_limit);
        }
    }

    /// Records a refusal because of load, or a timeout.
    pub fn record_overload(&mut self) {
        self.successes = 0;
        self.limit = (self.limit - self.limit.div_ceil(4)).max(1);
    }
}
