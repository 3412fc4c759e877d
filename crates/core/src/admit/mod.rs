//! Admission: order of waiting requests, feasibility of deadlines, fair share of teams and the
//! concurrency limit of a target.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use acaciabank_protocol::{ids, wire};

/// Position in a queue: priority, then deadline, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket {
    /// Urgency.
    pub priority: wire::Priority,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Order of arrival.
    pub arrival: u64,
}

/// Requests that wait for a target.
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

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Requests that are served before the given ticket.
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

    /// The request served next.
    pub fn first(&self) -> Option<&T> {
        self.waiting.first_key_value().map(|(_, item)| item)
    }

    /// Takes the first request.
    pub fn pop(&mut self) -> Option<(QueueTicket, T)> {
        self.waiting.pop_first()
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, ticket: &QueueTicket) -> Option<T> {
        self.waiting.remove(ticket)
    }
}

/// Expected wait of a request with `ahead` requests before it, when `slots` slots each take
/// `service_time` for one request.
pub fn expected_wait(ahead: usize, slots: u32, service_time: Duration) -> Duration {
    let rounds = (ahead as f64 + 1.0) / f64::from(slots.max(1));
    service_time.mul_f64(rounds)
}

/// Whether a request that starts after `wait` and runs for `service_time` ends in time.
pub fn is_feasible(
    now: Instant,
    deadline: Instant,
    wait: Duration,
    service_time: Duration,
) -> bool {
    now + wait + service_time <= deadline
}

/// In-flight and waiting requests by team.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    active: HashMap<ids::TeamId, u32>,
}

impl FairShare {
    /// Counts a request in.
    pub fn enter(&mut self, team: &ids::TeamId) {
        *self.active.entry(team.clone()).or_default() += 1;
    }

    /// Counts a request out.
    pub fn leave(&mut self, team: &ids::TeamId) {
        if let Some(count) = self.active.get_mut(team) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.active.remove(team);
            }
        }
    }

    /// Whether one more request of the team would use more than its weighted share of `capacity`
    /// among the teams that are active now. A team that is alone has all of it.
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

/// Concurrency limit of one target for one phase: grows by one after a full round of successes and
/// falls by a quarter after a refusal or a timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcurrencyLimit {
    limit: u32,
    ceiling: u32,
    successes: u32,
}

impl ConcurrencyLimit {
    /// Starts at the ceiling, the target's stated slots.
    pub fn new(ceiling: u32) -> Self {
        let ceiling = ceiling.max(1);
        Self {
            limit: ceiling,
            ceiling,
            successes: 0,
        }
    }

    /// The limit in force.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Records a request that the target completed.
    pub fn record_success(&mut self) {
        self.successes += 1;
        if self.successes >= self.limit {
            self.successes = 0;
            self.limit = (self.limit + 1).min(self.ceiling);
        }
    }

    /// Records a refusal for load, or a timeout.
    pub fn record_overload(&mut self) {
        self.successes = 0;
        self.limit = (self.limit - self.limit.div_ceil(4)).max(1);
    }
}
