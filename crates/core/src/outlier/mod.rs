//! Passive outlier detection: a target is ejected by the outcomes of the requests sent to it.
//!
//! It covers targets that crash and return after seconds, and targets that pass their health check
//! while some of their requests fail, hang or are refused.

/// Weight of a new outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Failure rate at which a target is ejected: far above the errors of healthy targets, and reached
/// by three failures in a row.
const EJECT_FAILURE_RATE: f64 = 0.35;
/// Duration of the first ejection; it doubles with each further one.
const MIN_EJECT_MS: u64 = 1_000;
/// Longest ejection: a recovered target gets requests again within this time.
const MAX_EJECT_MS: u64 = 4_000;
/// Ejection after a failed connection attempt: short, because a restart takes seconds and a failed
/// attempt does not run the request.
const UNREACHABLE_EJECT_MS: u64 = 500;
/// Time for which a failed connection attempt tells that the target is down: the platform removes
/// a target that is gone from its list within a few seconds.
const UNREACHABLE_MEMORY_MS: u64 = 5_000;
/// Delay that a failure rate of 1 adds to the expected time at a target.
const FAILURE_PENALTY_MS: f64 = 800.0;

/// Outcome of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum TargetOutcome {
    /// The target sent a complete response to this request.
    Answered,
    /// The target refused the request without running it.
    Refused,
    /// The target closed the connection early, stopped sending or sent an invalid response.
    Failed,
    /// No connection to the target could be opened.
    Unreachable,
}

/// Outlier detection of one target at one daemon.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    failure_rate: f64,
    ejections: u32,
    ejected_until_ms: u64,
    /// Time of the last failed connection attempt, unless the target has responded since.
    unreachable_ms: Option<u64>,
}

impl OutlierDetector {
    /// Records the outcome of a request and ejects the target if it fails too often.
    pub fn record(&mut self, outcome: TargetOutcome, now_ms: u64) {
        let failure = match outcome {
            TargetOutcome::Answered => 0.0,
            TargetOutcome::Refused => 0.5,
            TargetOutcome::Failed | TargetOutcome::Unreachable => 1.0,
        };
        self.failure_rate += (failure - self.failure_rate) * OUTCOME_WEIGHT;
        if outcome == TargetOutcome::Answered {
            self.ejections = self
                .ejections
                .min((self.failure_rate > 0.1) as u32 * self.ejections);
        }
        match outcome {
            TargetOutcome::Unreachable => self.unreachable_ms = Some(now_ms),
            TargetOutcome::Answered | TargetOutcome::Refused => self.unreachable_ms = None,
            TargetOutcome::Failed => {}
        }
        if outcome == TargetOutcome::Unreachable {
            self.ejected_until_ms = self.ejected_until_ms.max(now_ms + UNREACHABLE_EJECT_MS);
        }
        if self.failure_rate >= EJECT_FAILURE_RATE {
            let eject_ms = MIN_EJECT_MS << self.ejections.min(4);
            self.ejected_until_ms = now_ms + eject_ms.min(MAX_EJECT_MS);
            self.ejections += 1;
            // After the ejection one more failure ejects the target again, while a success lowers
            // the rate further.
            self.failure_rate = EJECT_FAILURE_RATE * 0.8;
        }
    }

    /// Whether requests may be sent to the target, that is, whether it is not ejected.
    pub fn is_available(&self, now_ms: u64) -> bool {
        now_ms >= self.ejected_until_ms
    }

    /// Whether the last connection attempt failed, a short time ago.
    pub fn is_unreachable(&self, now_ms: u64) -> bool {
        let is_recent = |failed_ms| now_ms.saturating_sub(failed_ms) < UNREACHABLE_MEMORY_MS;
        self.unreachable_ms.is_some_and(is_recent)
    }

    /// Delay to add to the expected time at the target because of recent failures, in milliseconds.
    pub fn penalty_ms(&self) -> f64 {
        self.failure_rate * FAILURE_PENALTY_MS
    }
}
