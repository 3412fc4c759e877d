//! Standing of a target, judged by what requests see there.
//!
//! Load answered: targets that crash and return after seconds, and targets whose health check is
//! good while a share of their requests fails, hangs or is refused.

/// Weight of a new outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Share of failures from which a target is left aside: far over the errors of sound targets, and
/// reached after three failures in a row.
const EJECT_SHARE: f64 = 0.35;
/// First time out after an ejection; it doubles with each further one.
const FIRST_EJECT_MS: u64 = 1_000;
/// Longest time out: a target that has recovered is found within this time.
const MAX_EJECT_MS: u64 = 4_000;
/// Time out after a connection that could not be opened: short, as a restart takes seconds and a
/// failed connection costs no run.
const UNREACHABLE_MS: u64 = 500;
/// Delay that a full share of failures adds to the expected time at a target.
const PENALTY_MS: f64 = 800.0;

/// What a request saw at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum TargetOutcome {
    /// A whole answer of its own.
    Answered,
    /// It refused without running the request.
    Refused,
    /// It broke off, went silent or answered with bytes that are not an answer.
    Failed,
    /// No connection could be opened.
    Unreachable,
}

/// Standing of one target at one daemon.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    failed_share: f64,
    ejections: u32,
    out_until_ms: u64,
}

impl OutlierDetector {
    /// Records an outcome.
    pub fn record(&mut self, outcome: TargetOutcome, now_ms: u64) {
        let failure = match outcome {
            TargetOutcome::Answered => 0.0,
            TargetOutcome::Refused => 0.5,
            TargetOutcome::Failed | TargetOutcome::Unreachable => 1.0,
        };
        self.failed_share += (failure - self.failed_share) * OUTCOME_WEIGHT;
        if outcome == TargetOutcome::Answered {
            self.ejections = self
                .ejections
                .min((self.failed_share > 0.1) as u32 * self.ejections);
        }
        if outcome == TargetOutcome::Unreachable {
            self.out_until_ms = self.out_until_ms.max(now_ms + UNREACHABLE_MS);
        }
        if self.failed_share >= EJECT_SHARE {
            let eject_ms = FIRST_EJECT_MS << self.ejections.min(4);
            self.out_until_ms = now_ms + eject_ms.min(MAX_EJECT_MS);
            self.ejections += 1;
            // One more failure after the time out ejects it again, a success clears it.
            self.failed_share = EJECT_SHARE * 0.8;
        }
    }

    /// Whether requests may be sent.
    pub fn is_available(&self, now_ms: u64) -> bool {
        now_ms >= self.out_until_ms
    }

    /// Time by which recent failures make the target less attractive.
    pub fn penalty_ms(&self) -> f64 {
        self.failed_share * PENALTY_MS
    }
}
