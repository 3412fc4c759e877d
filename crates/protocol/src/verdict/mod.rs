//! Whether a request may have run at a target.

use crate::value_type;

value_type!(
    /// What is known about the execution of a request. The order is the order of caution:
    /// combining attempts keeps the greatest.
    pub enum Verdict {
        /// No target has executed any part of the request.
        NotRun,
        /// A target may have executed the request.
        MayHaveRun,
        /// A target has executed the request.
        Ran,
    }
);

impl Verdict {
    /// Verdict over this attempt and another attempt of the same request.
    pub fn combine(self, other: Verdict) -> Verdict {
        self.max(other)
    }

    /// Whether another attempt is allowed.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => idempotent,
            Verdict::Ran => false,
        }
    }

    /// The value used in JSON and in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }
}
