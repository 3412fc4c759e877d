//! State machine of one call with an idempotency key. It takes the results of reads, writes and
//! dispatches and returns the next action, so that a key's request is executed at most once.
//!
//! # Example
//!
//! A request is dispatched only after its intent is known to be committed:
//!
//! ```
//! use acaciabank_core::idempotency::{KeyAction, KeyCall, KeyEvent};
//!
//! let (mut call, action) = KeyCall::start();
//! assert_eq!(action, KeyAction::Insert);
//! assert_eq!(call.step(KeyEvent::WriteUnknown), KeyAction::Read);
//! ```

mod call;
mod row;

pub use call::{KeyAction, KeyCall, KeyEvent, RefusalKind, RunOutcome};
pub use row::{HolderKind, KeyRowView, KeyState};
