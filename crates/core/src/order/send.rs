//! Checks before an order is sent, and the wait before the first order after a takeover.

use acaciabank_protocol::settings::FencingSupport;

use crate::lease::LeaseTimers;

/// Times of the administration connection on which an order would be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionTimes {
    /// Time at which the connection was opened.
    pub opened_ms: u64,
    /// Time of the last request or response on the connection.
    pub last_used_ms: u64,
}

/// Input of the decision whether an order may be sent. Times are in milliseconds of the holder's
/// monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SendCheck {
    /// Whether the target checks fencing tokens.
    pub fencing: FencingSupport,
    /// Idle time after which the target closes administration connections.
    pub admin_idle_close_ms: Option<u64>,
    /// Times of the connection.
    pub connection: ConnectionTimes,
    /// Time just before the intent was written.
    pub intent_ms: u64,
    /// End of the holder's lease grant.
    pub act_until_ms: u64,
}

/// Decision whether an order may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendDecision {
    /// The order may be sent.
    Send,
    /// The holder's lease grant has ended.
    GrantEnded,
    /// The connection was opened after the intent was written.
    ConnectionTooNew,
    /// The connection has been idle for so long that the target may be about to close it.
    ConnectionIdle,
}

impl SendCheck {
    /// Decides at the given time. For a target that ignores fencing tokens, its own closing of
    /// idle connections is the protection: a holder that is paused after this check then writes to
    /// a connection that the target has closed before the successor's first order.
    pub fn decide(&self, now_ms: u64) -> SendDecision {
        if now_ms >= self.act_until_ms {
            return SendDecision::GrantEnded;
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

/// What a new lease holder waits for before its first order to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverWait {
    /// Time since the takeover, in milliseconds.
    Time(u64),
    /// An operator's confirmation.
    Confirmation,
}

/// Returns the wait before the first order to a target that may still receive an order of the
/// previous holder.
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
