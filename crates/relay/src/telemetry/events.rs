//! Causes of refusals, and metrics of refusals, retries and latencies.

use acaciabank_protocol::{reason, value_type, verdict};

value_type!(
    /// Why the daemon refuses a request or gives up on it.
    pub enum RefusalCause {
        /// No configuration is known yet.
        NotConfigured,
        /// No route matches the host and path of the request.
        NoRoute,
        /// The request has no API key and needs one.
        NoKey,
        /// The API key of the request belongs to no team.
        UnknownKey,
        /// The copy of the configuration is too old for a decision about the API key.
        ConfigStale,
        /// The body exceeds the configured size.
        BodyTooLarge,
        /// The body ended early.
        BodyIncomplete,
        /// The body made no progress for too long.
        BodyStalled,
        /// The body was not complete at the deadline of the request.
        BodyLate,
        /// Other bodies take the memory for bodies.
        NoMemory,
        /// No target accepts requests.
        NoTarget,
        /// All targets want no requests for now.
        TargetsPaused,
        /// The rate limits of all targets leave no request for now.
        TargetsLimited,
        /// The response is not expected before the deadline.
        TooLate,
        /// No target has the software version that began the stream.
        VersionGone,
        /// At which software version the stream began is not known.
        VersionUnknown,
        /// The software version at which the stream begins could not be recorded.
        StreamUnrecorded,
        /// The daemon stops before the request could finish.
        Stopping,
        /// The deadline of the request has passed.
        DeadlinePassed,
        /// Targets crashed while they ran the same request.
        CrashSuspect,
        /// Targets crashed on a part of the prompt.
        CrashPart,
        /// A target crashed on the same request or a part of its prompt, and others that share it have
        /// not shown yet whether it is sound.
        HeldBack,
        /// The target failed and the request must not be sent again.
        TargetFailed,
        /// Every target that was tried refused the request.
        TargetRefused,
        /// The retry budget is spent.
        BudgetSpent,
        /// A fault of this process.
        InternalError,
    }
);

impl RefusalCause {
    /// Returns the value used in log lines, metric labels and response bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
            Self::ConfigStale => "config_stale",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::BodyStalled => "body_stalled",
            Self::BodyLate => "body_deadline_passed",
            Self::NoMemory => "no_memory",
            Self::NoTarget => "no_target",
            Self::TargetsPaused => "targets_paused",
            Self::TargetsLimited => "targets_limited",
            Self::TooLate => "too_late",
            Self::VersionGone => "version_gone",
            Self::VersionUnknown => "version_unknown",
            Self::StreamUnrecorded => "stream_unrecorded",
            Self::Stopping => "stopping",
            Self::DeadlinePassed => "deadline_passed",
            Self::CrashSuspect => "crash_suspect",
            Self::CrashPart => "crash_part",
            Self::HeldBack => "held_back",
            Self::TargetFailed => "target_failed",
            Self::TargetRefused => "target_refused",
            Self::BudgetSpent => "budget_spent",
            Self::InternalError => "internal_error",
        }
    }
}

/// Counts a refused request.
pub fn count_refusal(cause: RefusalCause, verdict: verdict::Verdict) {
    metrics::counter!(
        "acaciabank_refusals_total",
        "reason" => cause.as_str(),
        "verdict" => verdict.as_str()
    )
    .increment(1);
}

/// Counts a stream that the end of the process interrupts.
pub fn count_interrupted() {
    metrics::counter!("acaciabank_interrupted_requests_total").increment(1);
}

/// Counts a retry.
pub fn count_retry(reason: reason::RetryReason) {
    metrics::counter!("acaciabank_retries_total", "reason" => reason.as_str()).increment(1);
}

/// Records the time to the response, or to the first event of a stream.
pub fn record_latency(route: &str, elapsed: std::time::Duration) {
    metrics::histogram!("acaciabank_answer_seconds", "route" => route.to_owned())
        .record(elapsed.as_secs_f64());
}
