//! Whether a request has been executed by a target.

use crate::value_type;

value_type!(
    /// What is known about the execution of a request. Variants are ordered by how strongly they
    /// rule out a retry, so that the greatest verdict of all attempts holds for the request.
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
    /// Returns the verdict for two attempts of the same request: the greater of both.
    pub fn combine(self, other: Verdict) -> Verdict {
        self.max(other)
    }

    /// Whether the request may be sent again, given whether it is idempotent.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => idempotent,
            Verdict::Ran => false,
        }
    }

    /// Returns the value used in JSON and in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }
}
