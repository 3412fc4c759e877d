//! Counts requests, refusals and responses by team.

use std::{cell::RefCell, collections::HashMap, rc};

use crate::config;

/// Teams with counters of their own. Metrics of a process are never removed, so that names of teams
/// that come and go would fill its memory.
const MAX_LABELS: usize = 1_000;
/// Label of the teams beyond [`MAX_LABELS`].
const OTHER_LABEL: &str = "other";

/// Counters of one team.
#[derive(Clone)]
pub struct TeamCounters {
    /// Requests that arrived with a key of the team.
    pub requests: metrics::Counter,
    /// Those that were refused.
    pub refusals: metrics::Counter,
    /// Those that were given the response of a target.
    pub responses: metrics::Counter,
}

impl TeamCounters {
    fn register(label: &str) -> Self {
        let label = label.to_owned();
        Self {
            requests: metrics::counter!("acaciabank_team_requests_total", "team" => label.clone()),
            refusals: metrics::counter!("acaciabank_team_refusals_total", "team" => label.clone()),
            responses: metrics::counter!("acaciabank_team_responses_total", "team" => label),
        }
    }
}

/// Counters of the teams that have sent requests to this daemon.
#[derive(Default)]
pub struct TeamState {
    /// Counters by the hash of the team's name.
    counters: RefCell<HashMap<u64, rc::Rc<TeamCounters>>>,
    other: RefCell<Option<rc::Rc<TeamCounters>>>,
}

impl TeamState {
    /// Returns the counters of a team, or those of all further teams if [`MAX_LABELS`] teams have
    /// been counted.
    pub fn counters(&self, team: &config::TeamSpec) -> rc::Rc<TeamCounters> {
        let mut counters = self.counters.borrow_mut();
        if let Some(known) = counters.get(&team.hash) {
            return rc::Rc::clone(known);
        }
        if counters.len() < MAX_LABELS {
            let registered = rc::Rc::new(TeamCounters::register(&team.name));
            counters.insert(team.hash, rc::Rc::clone(&registered));
            return registered;
        }
        let mut other = self.other.borrow_mut();
        let other = other.get_or_insert_with(|| rc::Rc::new(TeamCounters::register(OTHER_LABEL)));
        rc::Rc::clone(other)
    }
}
