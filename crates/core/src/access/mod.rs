//! Decides whether a caller may send a request, when the configuration lists the API keys of teams.
//!
//! The copy of the configuration may be out of date. Callers never repeat a request after a refusal
//! of their key, so a key may only be called unknown while the copy is current.
//!
//! Load: one decision for each request, 2,300 per second over all daemons; constant time and no
//! memory.
//!
//! ```
//! use acaciabank_core::access::{AccessDecision, AccessLimits, AccessRequest, KeyState, decide};
//!
//! let limits = AccessLimits { config_apply_ms: 3_000, revoke_ms: 5_000, fails_closed: false };
//! let request = AccessRequest {
//!     key: KeyState::Unknown, allows_anonymous: false, copy_age_ms: Some(100),
//! };
//! assert_eq!(decide(&request, &limits), AccessDecision::UnknownKey);
//! let stale = AccessRequest { copy_age_ms: Some(3_001), ..request };
//! assert_eq!(decide(&stale, &limits), AccessDecision::StaleCopy);
//! ```

/// What the configuration says about the key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// The request has no key.
    Absent,
    /// A team has the key.
    Known,
    /// No team has the key.
    Unknown,
}

/// A request that is to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccessRequest {
    /// State of its key.
    pub key: KeyState,
    /// Whether its route serves requests without a key.
    pub allows_anonymous: bool,
    /// Time since the copy of the configuration was last known to match the store; `None` if it
    /// never was.
    pub copy_age_ms: Option<u64>,
}

/// Limits for the age of the copy of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccessLimits {
    /// Age beyond which the copy may lack a key.
    pub config_apply_ms: u64,
    /// Age from which the copy may contain a key that has been revoked.
    pub revoke_ms: u64,
    /// Whether known keys are refused once the copy is older than `revoke_ms`.
    pub fails_closed: bool,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessDecision {
    /// It is served, for the team of its key if it has one.
    Serve,
    /// It needs a key.
    NoKey,
    /// Its key belongs to no team.
    UnknownKey,
    /// The copy of the configuration is too old for a decision about the key.
    StaleCopy,
}

/// Decides whether a request is served.
pub fn decide(request: &AccessRequest, limits: &AccessLimits) -> AccessDecision {
    let age_ms = request.copy_age_ms.unwrap_or(u64::MAX);
    match request.key {
        KeyState::Absent if request.allows_anonymous => AccessDecision::Serve,
        KeyState::Absent => AccessDecision::NoKey,
        KeyState::Known if limits.fails_closed && age_ms >= limits.revoke_ms => {
            AccessDecision::StaleCopy
        }
        KeyState::Known => AccessDecision::Serve,
        KeyState::Unknown if age_ms > limits.config_apply_ms => AccessDecision::StaleCopy,
        KeyState::Unknown => AccessDecision::UnknownKey,
    }
}
