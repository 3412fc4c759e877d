//! The request path for callers that send opaque requests to routes: it selects a target, forwards
//! the request and its response unchanged, and retries only where that is safe.
//!
//! The process runs on one thread, so its state needs no locks. The traits in [`platform`]
//! translate the formats of a platform; no other module depends on them. The decision logic is in
//! `acaciabank_core` and does no I/O:
//!
//! ```
//! use acaciabank_core::outlier::{OutlierDetector, TargetOutcome};
//!
//! let mut detector = OutlierDetector::default();
//! (0..4).for_each(|_| detector.record(TargetOutcome::Failed, 0));
//! assert!(!detector.is_available(0));
//! ```

mod capacity;
pub mod clock;
pub mod config;
pub mod connection;
pub mod control;
mod discovery;
mod dispatch;
pub mod event_stream;
pub mod gossip;
mod lease;
mod listener;
pub mod memory;
pub mod panics;
mod planner;
pub mod platform;
pub mod process;
pub mod rate_limit;
mod reply;
pub mod scheduler;
mod shutdown;
mod state;
pub mod target;
pub mod teams;
pub mod telemetry;
mod trial;
mod usage;
mod versions;
pub mod watch;
