//! Retry budget: retries are limited to a share of the requests, so that a failing fleet is not
//! loaded further by repeated work.

mod ledger;
mod window;

pub use ledger::{CallLedger, CallOutcome};
pub use window::{BudgetLimits, WindowBudget};

/// Retries allowed before any request has been recorded, and in an idle daemon.
const RESERVE_RETRIES: u64 = 100;
/// Retries that may be saved up at most.
const MAX_SAVED_RETRIES: u64 = 500;
/// Units of one retry; a request adds its percentage.
const RETRY_UNITS: u64 = 100;

/// Budget of retries of one daemon.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    units: u64,
}

impl RetryBudget {
    /// A budget of `percent` retries for each 100 requests.
    pub fn new(percent: u32) -> Self {
        Self {
            percent: u64::from(percent),
            units: RESERVE_RETRIES * RETRY_UNITS,
        }
    }

    /// Adds the share of one accepted request.
    pub fn record_request(&mut self) {
        self.units = (self.units + self.percent).min(MAX_SAVED_RETRIES * RETRY_UNITS);
    }

    /// Takes one retry; tells whether the budget had one.
    pub fn try_spend(&mut self) -> bool {
        if self.units < RETRY_UNITS {
            return false;
        }
        self.units -= RETRY_UNITS;
        true
    }
}
