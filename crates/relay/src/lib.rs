//! The request path for callers who send opaque requests to routes: it chooses a target, forwards
//! the request and its answer unchanged, and retries only where that is safe.
//!
//! The process runs on one thread, so its state needs no locks. What a platform says is translated
//! at the traits of [`edge`]; nothing else here knows a platform's names. The decisions themselves
//! are in `acaciabank_core` and take no part in input or output:
//!
//! ```
//! use acaciabank_core::judge::{TargetJudge, TargetOutcome};
//!
//! let mut judge = TargetJudge::default();
//! (0..4).for_each(|_| judge.record(TargetOutcome::Failed, 0));
//! assert!(!judge.is_in(0));
//! ```

pub mod clock;
pub mod config;
pub mod connection;
mod discovery;
mod dispatch;
pub mod edge;
mod gossip;
mod ingress;
mod planner;
pub mod process;
mod scheduler;
mod state;
mod target;
pub mod telemetry;
pub mod watch;
