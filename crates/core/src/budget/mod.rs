//! Retry budgets: retries are limited to a share of the requests, so that they don't overload a
//! fleet that is already failing.

mod ledger;
mod window;

pub use ledger::{CallLedger, CallOutcome};
pub use window::{BudgetLimits, WindowBudget};

/// Retries available at the start, so that a daemon with few requests can retry too.
const INITIAL_RETRIES: u64 = 100;
/// Unused retries that can accumulate.
const MAX_SAVED_RETRIES: u64 = 500;
/// The budget is kept in hundredths of a retry: a request adds as many as the retry percentage.
const UNITS_PER_RETRY: u64 = 100;

/// Retry budget of one daemon, a token bucket that requests fill.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    units: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per 100 requests.
    pub fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            units: INITIAL_RETRIES * UNITS_PER_RETRY,
        }
    }

    /// Adds the retry allowance of one accepted request.
    pub fn record_request(&mut self) {
        self.units = (self.units + self.percent).min(MAX_SAVED_RETRIES * UNITS_PER_RETRY);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn try_spend(&mut self) -> bool {
        if self.units < UNITS_PER_RETRY {
            return false;
        }
        self.units -= UNITS_PER_RETRY;
        true
    }
}
