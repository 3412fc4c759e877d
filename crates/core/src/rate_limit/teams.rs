//! Recent grants by team at one target, to tell which teams have had more than their part.

use std::collections::HashMap;

/// Time in which the weight of a grant falls to about a third.
const DECAY_MS: f64 = 4_000.0;
/// Weight from which a team counts as one that asks.
const MIN_ASKED: f64 = 0.1;
/// Largest number of teams that are kept.
const MAX_TEAMS: usize = 256;
/// Grants by which a team may exceed its part, so that single requests decide nothing.
const PART_SLACK: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
struct TeamUse {
    asked: f64,
    granted: f64,
}

/// Recent requests and grants by the hash of the team's name.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamUses {
    uses: HashMap<Option<u64>, TeamUse>,
    decayed_ms: u64,
}

impl TeamUses {
    /// Counts a request of a team; returns whether the team has had more than an equal part of the
    /// recent grants.
    pub(super) fn record_asked(&mut self, team: Option<u64>, now_ms: u64) -> bool {
        self.decay(now_ms);
        if self.uses.len() >= MAX_TEAMS && !self.uses.contains_key(&team) {
            return false;
        }
        self.uses.entry(team).or_default().asked += 1.0;
        let total: f64 = self.uses.values().map(|team| team.granted).sum();
        let part = total / self.uses.len() as f64;
        let own = self.uses.get(&team).copied().unwrap_or_default();
        self.uses.len() > 1 && own.granted > part + PART_SLACK
    }

    /// Counts a grant to a team.
    pub(super) fn record_granted(&mut self, team: Option<u64>) {
        if let Some(own) = self.uses.get_mut(&team) {
            own.granted += 1.0;
        }
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.decayed_ms);
        let factor = (-(elapsed_ms as f64) / DECAY_MS).exp();
        self.decayed_ms = now_ms;
        self.uses.retain(|_, own| {
            own.asked *= factor;
            own.granted *= factor;
            own.asked >= MIN_ASKED
        });
    }
}
