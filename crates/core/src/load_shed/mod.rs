//! Load shedding: refusal of requests that the engines cannot serve in time.
//!
//! An engine processes its prompts one after another, so under overload every excess prompt delays
//! all that follow it. A request is therefore refused at once if the work of other requests would
//! take most of its target latency. The size of its own prompt does not count, so that long prompts
//! are not starved. Less urgent requests are refused first.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::load_shed::{IntakeDecision, IntakeRequest, decide};
//!
//! let request = IntakeRequest {
//!     target_latency_ms: 600, priority: 2, remaining_ms: 8_000, is_retry: false,
//! };
//! assert_eq!(decide(&request, 40.0, 200.0, 0.5), IntakeDecision::Accept);
//! assert!(matches!(decide(&request, 900.0, 1_100.0, 0.5), IntakeDecision::Refuse { .. }));
//! ```

/// Wait for the work of other requests that is allowed to the most urgent requests, as a share of
/// their target latency.
const URGENT_WAIT_SHARE: f64 = 1.2;
/// Factor by which each step of priority reduces the allowed wait.
const PRIORITY_FACTOR: f64 = 0.8;
/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER_MS: u64 = 250;
/// Longest time after which a refused caller is asked to retry, as a share of its remaining time.
/// Callers retry once, and wait for at most a third of their time before that.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;

/// The properties of a request that decide whether it is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct IntakeRequest {
    /// Time within which a response counts as on time.
    pub target_latency_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time until the request's deadline.
    pub remaining_ms: u64,
    /// Whether the request has been sent to a target before.
    pub is_retry: bool,
}

/// Decision whether a request is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeDecision {
    /// The request is placed.
    Accept,
    /// The request is refused.
    Refuse {
        /// Time after which the caller may retry.
        retry_after_ms: u64,
    },
}

/// Decides on a request that other requests delay by `wait_ms` and whose first token is expected
/// after `first_token_ms`. `jitter`, a random number between 0 and 1, spreads the retries of
/// refused callers.
pub fn decide(
    request: &IntakeRequest,
    wait_ms: f64,
    first_token_ms: f64,
    jitter: f64,
) -> IntakeDecision {
    decide_with_factor(request, 1.0, wait_ms, first_token_ms, jitter)
}

/// Decides like [`decide`], with the allowed wait multiplied by `wait_factor`, which
/// [`crate::fair_share`] sets by the request's team.
pub fn decide_with_factor(
    request: &IntakeRequest,
    wait_factor: f64,
    wait_ms: f64,
    first_token_ms: f64,
    jitter: f64,
) -> IntakeDecision {
    let share = URGENT_WAIT_SHARE * PRIORITY_FACTOR.powi(i32::from(request.priority));
    let allowed_ms = wait_factor * share * request.target_latency_ms as f64;
    let is_late = first_token_ms > request.remaining_ms as f64;
    if is_late || (!request.is_retry && wait_ms > allowed_ms) {
        let retry_after_ms = retry_after_ms(request, wait_ms - allowed_ms, jitter);
        return IntakeDecision::Refuse { retry_after_ms };
    }
    IntakeDecision::Accept
}

/// Returns the time in which the excess wait is worked off, with jitter so that callers do not
/// retry at the same time.
fn retry_after_ms(request: &IntakeRequest, excess_ms: f64, jitter: f64) -> u64 {
    let max_ms = (request.remaining_ms as f64 * MAX_RETRY_AFTER_SHARE) as u64;
    let drained_ms = excess_ms.max(0.0) as u64 + MIN_RETRY_AFTER_MS;
    let jitter_ms = (jitter * (request.target_latency_ms as f64)) as u64;
    (drained_ms + jitter_ms).min(max_ms.max(MIN_RETRY_AFTER_MS))
}
