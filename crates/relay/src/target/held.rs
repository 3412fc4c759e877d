//! Targets that are left out for a while because their rate limit leaves no request.

use acaciabank_core::rate_limit::LimitChange;

use super::{TargetAvailability, TargetState};

/// Until when a target without a grant is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldTarget {
    /// Time at which the next request may be granted.
    pub open_ms: u64,
    /// Time at which a caller that is refused may return.
    pub return_ms: u64,
}

/// Why a target takes no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosedCause {
    /// It has asked for a pause.
    Pause,
    /// Its rate limit leaves no request.
    Limit,
}

/// A target that takes no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedTarget {
    /// Time at which it may take one.
    pub open_ms: u64,
    /// Time at which a caller that is refused may return.
    pub return_ms: u64,
    /// Why it takes none.
    pub cause: ClosedCause,
}

impl TargetState {
    /// Leaves the target out because its rate limit leaves no request.
    pub fn hold_back(&self, held: HeldTarget) {
        self.held.set(Some(held));
    }

    /// Whether it is left out because its rate limit leaves no request.
    pub fn is_held_back(&self, now_ms: u64) -> bool {
        self.held.get().is_some_and(|held| now_ms < held.open_ms)
    }

    /// Whether it takes a request that has been granted.
    pub fn takes_granted(&self, now_ms: u64) -> bool {
        match self.availability(now_ms) {
            TargetAvailability::Accepting | TargetAvailability::Limited => true,
            TargetAvailability::Leaving
            | TargetAvailability::Paused
            | TargetAvailability::Switching
            | TargetAvailability::BackingOff
            | TargetAvailability::Ejected => false,
        }
    }

    /// Returns until when it takes no request; `None` if it takes some.
    pub fn closed(&self, now_ms: u64) -> Option<ClosedTarget> {
        if let Some(until_ms) = self.paused_until_ms(now_ms) {
            return Some(ClosedTarget {
                open_ms: until_ms,
                return_ms: until_ms,
                cause: ClosedCause::Pause,
            });
        }
        let held = self.held.get().filter(|held| now_ms < held.open_ms)?;
        Some(ClosedTarget {
            open_ms: held.open_ms,
            return_ms: held.return_ms,
            cause: ClosedCause::Limit,
        })
    }

    /// Forgets until when it is left out, if that follows from a limit that no longer holds.
    pub(super) fn release_held(&self, change: LimitChange) {
        match change {
            LimitChange::Unchanged => {}
            LimitChange::Named(_) | LimitChange::Changed(_) | LimitChange::Ended => {
                self.held.set(None);
            }
        }
    }
}
