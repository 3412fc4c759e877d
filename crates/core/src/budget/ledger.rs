//! Counts the calls that a request makes to targets and decides which of them are charged to the
//! retry budget.
//!
//! Every call that reaches a target after the first one is charged, including refused calls. The
//! first prefill call, which only processes the prompt, is free if the target accepts it. The
//! outcome of a call is not known in advance, so the charge is made before the call and refunded if
//! the call turns out to be free.

/// Result of a call as far as the retry budget is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call did not reach a target.
    Unsent,
    /// The target accepted the call.
    Accepted,
    /// The target refused the call or failed.
    Failed,
}

/// Calls of one request and the charge for the next one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallLedger {
    counted_calls: u32,
    has_free_prefill: bool,
    has_pending_charge: bool,
}

impl CallLedger {
    /// Whether the next call that runs the request is charged.
    pub fn is_charged(&self) -> bool {
        self.counted_calls > 0
    }

    /// Whether the next prefill call is charged.
    pub fn is_prefill_charged(&self) -> bool {
        self.counted_calls > 0 || self.has_free_prefill
    }

    /// Records that the next call has been charged to the budget.
    pub fn record_charge(&mut self) {
        self.has_pending_charge = true;
    }

    /// Whether the next call has been charged to the budget.
    pub fn has_charge(&self) -> bool {
        self.has_pending_charge
    }

    /// Takes back the charge for the next call, which is not made; returns whether it is refunded.
    pub fn cancel_charge(&mut self) -> bool {
        std::mem::take(&mut self.has_pending_charge)
    }

    /// Records the outcome of a call that runs the request; returns whether its charge is refunded.
    pub fn record_run(&mut self, outcome: CallOutcome) -> bool {
        let had_charge = std::mem::take(&mut self.has_pending_charge);
        if outcome == CallOutcome::Unsent {
            return had_charge;
        }
        self.counted_calls += 1;
        false
    }

    /// Records the outcome of a prefill call; returns whether its charge is refunded.
    pub fn record_prefill(&mut self, outcome: CallOutcome) -> bool {
        let had_charge = std::mem::take(&mut self.has_pending_charge);
        match outcome {
            CallOutcome::Unsent => had_charge,
            CallOutcome::Accepted if !self.has_free_prefill => {
                self.has_free_prefill = true;
                had_charge
            }
            CallOutcome::Accepted | CallOutcome::Failed => {
                self.counted_calls += 1;
                false
            }
        }
    }

    /// Whether any call has reached a target.
    pub fn has_calls(&self) -> bool {
        self.counted_calls > 0 || self.has_free_prefill
    }
}
