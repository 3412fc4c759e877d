//! Refusal of requests that engines cannot serve in time.
//!
//! Load answered: more prompts than the engines can process. An engine works on all its prompts in
//! turn, so a few too many make all of them late. A request is therefore refused at once when the
//! work of others would take most of its target latency. The size of its own prompt does not count,
//! so that long prompts are not starved; what is less urgent is refused first.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::load_shed::{IntakeRequest, IntakeDecision, decide};
//!
//! let terms = IntakeRequest { target_latency_ms: 600, priority: 2, remaining_ms: 8_000, is_retry: false };
//! assert_eq!(decide(&terms, 40.0, 200.0, 0.5), IntakeDecision::Accept);
//! assert!(matches!(decide(&terms, 900.0, 1_100.0, 0.5), IntakeDecision::Refuse { .. }));
//! ```

/// Share of the target latency that the work of others may take, for the most urgent requests.
const URGENT_WAIT_SHARE: f64 = 1.2;
/// The same is less by this factor for each step of priority.
const PRIORITY_FACTOR: f64 = 0.8;
/// Shortest and longest time after which a refused caller is asked to come back. Callers come back
/// once, and wait for a third of their time at most.
const LEAST_RETURN_MS: u64 = 250;
const MAX_RETURN_SHARE: f64 = 0.3;

/// What the decision knows of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct IntakeRequest {
    /// Time within which an answer is on time.
    pub target_latency_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time until the final answer is due.
    pub remaining_ms: u64,
    /// Whether the request has been under way before.
    pub is_retry: bool,
}

/// Whether a request is taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeDecision {
    /// It is placed.
    Accept,
    /// It is refused; the caller may come back after the time.
    Refuse {
        /// Time after which the caller may come back.
        retry_after_ms: u64,
    },
}

/// Decides about a request for which others cause a wait of `wait_ms` and whose first token is
/// expected after `first_token_ms`. `spread`, between 0 and 1, is drawn at random.
pub fn decide(
    terms: &IntakeRequest,
    wait_ms: f64,
    first_token_ms: f64,
    spread: f64,
) -> IntakeDecision {
    let share = URGENT_WAIT_SHARE * PRIORITY_FACTOR.powi(i32::from(terms.priority));
    let allowed_ms = share * terms.target_latency_ms as f64;
    let is_late = first_token_ms > terms.remaining_ms as f64;
    if is_late || (!terms.is_retry && wait_ms > allowed_ms) {
        let retry_after_ms = return_ms(terms, wait_ms - allowed_ms, spread);
        return IntakeDecision::Refuse { retry_after_ms };
    }
    IntakeDecision::Accept
}

/// The time in which the excess is worked off, spread so that callers do not return together.
fn return_ms(terms: &IntakeRequest, excess_ms: f64, spread: f64) -> u64 {
    let longest = (terms.remaining_ms as f64 * MAX_RETURN_SHARE) as u64;
    let drained_ms = excess_ms.max(0.0) as u64 + LEAST_RETURN_MS;
    let spread_ms = (spread * (terms.target_latency_ms as f64)) as u64;
    (drained_ms + spread_ms).min(longest.max(LEAST_RETURN_MS))
}
