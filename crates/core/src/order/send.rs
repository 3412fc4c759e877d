//! Rules for the moment of sending and for the first order after a takeover.

use acaciabank_protocol::settings::FencingSupport;

use crate::lease::LeaseTimers;

/// The administration connection that would carry an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionTimes {
    /// Time at which it was opened.
    pub opened_ms: u64,
    /// Time of the last exchange on it.
    pub last_used_ms: u64,
}

/// Facts that decide whether an order may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SendCheck {
    /// What the target does with old fencing numbers.
    pub fencing: FencingSupport,
    /// Idle time after which the target closes administration connections.
    pub admin_idle_close_ms: Option<u64>,
    /// Connection.
    pub connection: ConnectionTimes,
    /// Time before the intent was written.
    pub intent_ms: u64,
    /// End of the holder's authority.
    pub act_until_ms: u64,
}

/// Whether an order may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendDecision {
    /// It may.
    Send,
    /// The holder's authority has ended.
    AuthorityEnded,
    /// The connection was opened after the intent.
    ConnectionTooNew,
    /// The connection has been idle for so long that the target may be about to close it.
    ConnectionIdle,
}

impl SendCheck {
    /// Decides at the given time. A target that ignores fencing numbers is protected by its own
    /// closing of idle connections: a holder that is paused after this check writes to a
    /// connection that the target has closed before the successor's first order.
    pub fn decide(&self, now_ms: u64) -> SendDecision {
        if now_ms >= self.act_until_ms {
            return SendDecision::AuthorityEnded;
        }
        if self.fencing == FencingSupport::Checked {
            return SendDecision::Send;
        }
        if self.connection.opened_ms > self.intent_ms {
            return SendDecision::ConnectionTooNew;
        }
        let idle_ms = now_ms.saturating_sub(self.connection.last_used_ms);
        let is_idle = self
            .admin_idle_close_ms
            .is_some_and(|close_ms| idle_ms * 2 >= close_ms);
        match is_idle {
            true => SendDecision::ConnectionIdle,
            false => SendDecision::Send,
        }
    }
}

/// What a successor waits for before its first order to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverWait {
    /// A time after the takeover, in milliseconds.
    Time(u64),
    /// An operator's confirmation.
    Confirmation,
}

/// Wait before the first order to a target that a predecessor may have ordered.
pub fn takeover_wait(
    fencing: FencingSupport,
    admin_idle_close_ms: Option<u64>,
    timers: &LeaseTimers,
) -> TakeoverWait {
    match (fencing, admin_idle_close_ms) {
        (FencingSupport::Checked, _) => TakeoverWait::Time(0),
        (FencingSupport::Ignored, Some(close_ms)) => {
            TakeoverWait::Time(timers.ttl_ms + 2 * close_ms)
        }
        (FencingSupport::Ignored, None) => TakeoverWait::Confirmation,
    }
}
