//! Reasons of refusals and retries, as they appear in log lines and metric labels.

use acaciabank_protocol::{reason, value_type, verdict};

value_type!(
    /// Why the system answers a request itself.
    pub enum RefusalCause {
        /// No configuration is known yet.
        NotConfigured,
        /// No route covers the request.
        NoRoute,
        /// The body is too large.
        BodyTooLarge,
        /// The body did not arrive whole.
        BodyIncomplete,
        /// No target accepts work.
        NoTarget,
        /// The answer cannot be ready in time.
        TooLate,
        /// The daemon stops before the request could end.
        Stopping,
        /// The time of the request is over.
        DeadlinePassed,
        /// Targets crashed while they ran this request.
        CrashSuspect,
        /// The target failed and the request may not be sent again.
        TargetFailed,
        /// Every target that was tried refused.
        TargetRefused,
        /// The retry budget is spent.
        BudgetSpent,
    }
);

impl RefusalCause {
    /// The value used in log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::NoTarget => "no_target",
            Self::TooLate => "too_late",
            Self::Stopping => "stopping",
            Self::DeadlinePassed => "deadline_passed",
            Self::CrashSuspect => "crash_suspect",
            Self::TargetFailed => "target_failed",
            Self::TargetRefused => "target_refused",
            Self::BudgetSpent => "budget_spent",
        }
    }
}

/// Counts a refusal.
pub fn count_refusal(cause: RefusalCause, verdict: verdict::Verdict) {
    metrics::counter!(
        "acaciabank_refusals_total",
        "reason" => cause.as_str(),
        "verdict" => verdict.as_str()
    )
    .increment(1);
}

/// Counts a further attempt.
pub fn count_retry(reason: reason::RetryReason) {
    metrics::counter!("acaciabank_retries_total", "reason" => reason.as_str()).increment(1);
}

/// Records the time to the answer, or to the first event of a stream.
pub fn record_latency(route: &str, elapsed: std::time::Duration) {
    metrics::histogram!("acaciabank_answer_seconds", "route" => route.to_owned())
        .record(elapsed.as_secs_f64());
}
