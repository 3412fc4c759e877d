//! Retry budget over a sliding window that all daemons share without talking to each other.

use std::collections::VecDeque;

/// Share of the allowance that a daemon leaves unused: requests that the daemon counted may fall
/// into another window than the retries they pay for.
const SAFETY: f64 = 0.8;

/// Terms of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Length of the window.
    pub window_ms: u64,
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in each window besides, for all daemons together.
    pub extra: f64,
}

/// Retries of one daemon for one service. A daemon spends by its own traffic, plus its part of the
/// constant: the sum over all daemons keeps to the budget whichever of them are cut off.
#[derive(Clone, Debug, Default)]
pub struct WindowBudget {
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl WindowBudget {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, limits: &BudgetLimits, now_ms: u64) {
        self.expire(limits, now_ms);
        self.requests.push_back(now_ms);
    }

    /// Takes one retry; tells whether the budget of this daemon had one. `part` is its part of the
    /// constant: one divided by the number of daemons.
    pub fn try_spend(&mut self, limits: &BudgetLimits, part: f64, now_ms: u64) -> bool {
        self.expire(limits, now_ms);
        let constant = limits.extra * part;
        let allowed = SAFETY * (self.requests.len() as f64 * limits.ratio + constant);
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now_ms);
        true
    }

    /// Takes back the last retry.
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
