//! Orders to targets: the intent that is stored before an order is sent, the checks before sending,
//! and the assessment of an unfinished order by the next lease holder.
//!
//! # Example
//!
//! An order to a target that ignores fencing tokens must not be sent on a connection that was
//! opened after the intent was written:
//!
//! ```
//! use acaciabank_core::order::{ConnectionTimes, SendCheck, SendDecision};
//! use acaciabank_protocol::settings::FencingSupport;
//!
//! let check = SendCheck {
//!     fencing: FencingSupport::Ignored,
//!     admin_idle_close_ms: Some(10_000),
//!     connection: ConnectionTimes { opened_ms: 50, last_used_ms: 50 },
//!     intent_ms: 40,
//!     act_until_ms: 9_000,
//! };
//! assert_eq!(check.decide(60), SendDecision::ConnectionTooNew);
//! ```

mod assess;
mod send;

pub use assess::{OrderProgress, assess, is_satisfied};
pub use send::{ConnectionTimes, SendCheck, SendDecision, TakeoverWait, takeover_wait};

use acaciabank_protocol::{ids, value_type, wire};

value_type!(
    /// State of the last order of a target.
    pub enum IntentState {
        /// Announced; the order may have been sent and may be running.
        Intended,
        /// The order took effect.
        Done,
        /// The order ended without effect.
        Failed,
        /// The order was replaced by one with the next fencing token.
        Superseded,
    }
);

value_type!(
    /// Contents of a target's row in the store.
    pub struct TargetRow {
        /// Highest fencing token that was assigned.
        pub fencing: u64,
        /// Lease holder that wrote the intent.
        pub holder: ids::DaemonId,
        /// Term of that holder.
        pub term: u64,
        /// The last order.
        pub order: wire::OrderRequest,
        /// State of that order.
        pub state: IntentState,
        /// Lease term whose takeover an operator has confirmed.
        #[serde(default)]
        pub confirmed_term: Option<u64>,
        /// The operator who confirmed it.
        #[serde(default)]
        pub operator: Option<String>,
    }
);

/// Reason for which an intent must not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IntentError {
    /// The last order is not finished.
    #[error("the target's last order is not finished")]
    Unfinished,
    /// The row was written in a later lease term than the author's.
    #[error("the target's row was written in a later lease term")]
    LaterTerm,
}

/// Lease holder that writes an intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentAuthor {
    /// The holder's daemon.
    pub holder: ids::DaemonId,
    /// The holder's lease term.
    pub term: u64,
}

/// Returns the row that announces an order, given the target's last row.
///
/// # Errors
///
/// [`IntentError::Unfinished`] if the last order is not finished, [`IntentError::LaterTerm`] if the
/// last row was written in a later term.
pub fn new_intent(
    last: Option<&TargetRow>,
    author: &IntentAuthor,
    order_id: ids::OrderId,
    action: wire::OrderAction,
) -> Result<TargetRow, IntentError> {
    if last.is_some_and(|last| last.state == IntentState::Intended) {
        return Err(IntentError::Unfinished);
    }
    next_row(last, author, order_id, action)
}

/// Returns the row that replaces an unfinished order by one with the next fencing token. A target
/// that checks fencing tokens then refuses the replaced order if it arrives late.
///
/// # Errors
///
/// [`IntentError::LaterTerm`] if the last row was written in a later term.
pub fn supersede(
    last: &TargetRow,
    author: &IntentAuthor,
    order_id: ids::OrderId,
    action: wire::OrderAction,
) -> Result<TargetRow, IntentError> {
    next_row(Some(last), author, order_id, action)
}

fn next_row(
    last: Option<&TargetRow>,
    author: &IntentAuthor,
    order_id: ids::OrderId,
    action: wire::OrderAction,
) -> Result<TargetRow, IntentError> {
    if last.is_some_and(|last| last.term > author.term) {
        return Err(IntentError::LaterTerm);
    }
    let fencing = last.map_or(0, |last| last.fencing) + 1;
    Ok(TargetRow {
        fencing,
        holder: author.holder.clone(),
        term: author.term,
        order: wire::OrderRequest {
            order_id,
            fencing,
            action,
        },
        state: IntentState::Intended,
        confirmed_term: last.and_then(|last| last.confirmed_term),
        operator: last.and_then(|last| last.operator.clone()),
    })
}
