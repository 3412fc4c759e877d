//! Fleet-wide retry budget over a sliding window, which the daemons keep without communicating.

use std::collections::VecDeque;

/// Share of its allowance that a daemon uses. The rest is a safety margin, because requests can
/// fall into a different window than the retries that they allow.
const USABLE_SHARE: f64 = 0.8;

/// Limits of a fleet-wide retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Length of the window in milliseconds.
    pub window_ms: u64,
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Additional retries allowed per window, for all daemons together.
    pub extra: f64,
}

/// Budget of one daemon for one service. A daemon may spend the allowance of its own requests and
/// its share of the additional retries, so that the sum over all daemons stays within the budget
/// even if some of them are partitioned from the others.
#[derive(Clone, Debug, Default)]
pub struct WindowBudget {
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl WindowBudget {
    /// Counts a caller's request at `now_ms`.
    pub fn record_request(&mut self, limits: &BudgetLimits, now_ms: u64) {
        self.expire(limits, now_ms);
        self.requests.push_back(now_ms);
    }

    /// Takes one retry; returns `false` if the budget of this daemon has none left. `share` is this
    /// daemon's share of the additional retries: one divided by the number of daemons.
    pub fn try_spend(&mut self, limits: &BudgetLimits, share: f64, now_ms: u64) -> bool {
        self.expire(limits, now_ms);
        let extra = limits.extra * share;
        let allowed = USABLE_SHARE * (self.requests.len() as f64 * limits.ratio + extra);
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now_ms);
        true
    }

    /// Returns the last retry to the budget.
    pub fn refund(&mut self) {
        self.retries.pop_back();
    }

    fn expire(&mut self, limits: &BudgetLimits, now_ms: u64) {
        let start = now_ms.saturating_sub(limits.window_ms);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}
