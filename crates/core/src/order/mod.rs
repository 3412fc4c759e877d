//! Orders to targets: intent, sending, completion, and what a successor does with an open order.
//!
//! # Example
//!
//! A connection opened after the intent must not carry an order to a target that ignores fencing
//! numbers:
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

pub use assess::{OrderProgress, assess, is_in_force};
pub use send::{ConnectionTimes, SendCheck, SendDecision, TakeoverWait, takeover_wait};

use acaciabank_protocol::{ids, value_type, wire};

value_type!(
    /// State of the last order of a target.
    pub enum IntentState {
        /// Announced; it may have been sent and may be under way.
        Intended,
        /// In force.
        Done,
        /// Ended without effect.
        Failed,
        /// Given up for the order with the next fencing number.
        Superseded,
    }
);

value_type!(
    /// Body of a target's row.
    pub struct TargetRow {
        /// Highest fencing number given out.
        pub fencing: u64,
        /// Holder that wrote the intent.
        pub holder: ids::DaemonId,
        /// Term of that holder.
        pub term: u64,
        /// The order.
        pub order: wire::OrderRequest,
        /// State of the order.
        pub state: IntentState,
        /// Term whose takeover an operator confirmed.
        #[serde(default)]
        pub confirmed_term: Option<u64>,
        /// That operator.
        #[serde(default)]
        pub operator: Option<String>,
    }
);

/// Why no intent may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IntentError {
    /// The last order is not finished.
    #[error("the last order is not finished")]
    Unfinished,
    /// The row was written in a later term.
    #[error("the target's row belongs to a later term")]
    LaterTerm,
}

/// Author of an intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentAuthor {
    /// Holder.
    pub holder: ids::DaemonId,
    /// Its term.
    pub term: u64,
}

/// The row that announces an order after the given one.
///
/// # Errors
///
/// [`IntentError::Unfinished`] while the last order is open.
pub fn new_intent(
    last: Option<&TargetRow>,
    author: &IntentAuthor,
    order_id: ids::OrderId,
    action: wire::OrderAction,
) -> Result<TargetRow, IntentError> {
    if last.is_some_and(|last| last.state == IntentState::Intended) {
        return Err(IntentError::Unfinished);
    }
    build(last, author, order_id, action)
}

/// The row that replaces an open order by one with the next fencing number. A checking target then
/// refuses the replaced order if it arrives late.
///
/// # Errors
///
/// [`IntentError::LaterTerm`].
pub fn supersede(
    last: &TargetRow,
    author: &IntentAuthor,
    order_id: ids::OrderId,
    action: wire::OrderAction,
) -> Result<TargetRow, IntentError> {
    build(Some(last), author, order_id, action)
}

fn build(
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
