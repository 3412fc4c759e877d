//! Calls of one request and what they cost the retry budget.
//!
//! Counted are all calls that reach a target beyond the first one, refused ones too. The first call
//! that only has the prompt processed is free if the target accepts it. A call is paid for before it
//! is made, as its outcome is not known, and what turns out free is given back.

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It has reached no target.
    Unsent,
    /// The target has taken it.
    Accepted,
    /// The target has refused it, or failed.
    Failed,
}

/// Calls of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallLedger {
    counted: u32,
    has_prefill: bool,
    has_pending_charge: bool,
}

impl CallLedger {
    /// Whether the next call must be paid for.
    pub fn is_charged(&self) -> bool {
        self.counted > 0
    }

    /// Whether the next call that only has the prompt processed must be paid for.
    pub fn is_prefill_charged(&self) -> bool {
        self.counted > 0 || self.has_prefill
    }

    /// Records that the next call was paid for.
    pub fn record_charge(&mut self) {
        self.has_pending_charge = true;
    }

    /// Records the outcome of a call that runs the request; tells whether its payment is given back.
    pub fn record_run(&mut self, outcome: CallOutcome) -> bool {
        let had_charge = std::mem::take(&mut self.has_pending_charge);
        if outcome == CallOutcome::Unsent {
            return had_charge;
        }
        self.counted += 1;
        false
    }

    /// The same for a call that only has the prompt processed.
    pub fn record_prefill(&mut self, outcome: CallOutcome) -> bool {
        let had_charge = std::mem::take(&mut self.has_pending_charge);
        match outcome {
            CallOutcome::Unsent => had_charge,
            CallOutcome::Accepted if !self.has_prefill => {
                self.has_prefill = true;
                had_charge
            }
            CallOutcome::Accepted | CallOutcome::Failed => {
                self.counted += 1;
                false
            }
        }
    }

    /// Whether anything was sent.
    pub fn has_calls(&self) -> bool {
        self.counted > 0 || self.has_prefill
    }
}
