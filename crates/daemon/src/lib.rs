//! The daemon of acaciabank: accepts callers' requests, routes them to targets, ensures that
//! non-idempotent requests run at most once and that only one daemon gives orders to engines, and
//! shares state with the other daemons.
//!
//! The request path reads only snapshots and atomics; work that waits for the platform or for
//! other daemons runs in separate tasks. [`run`] is the whole program:
//!
//! ```no_run
//! let arguments = ["--settings", "settings.json"].map(std::ffi::OsString::from);
//! std::process::exit(acaciabank_daemon::run(&arguments));
//! ```

pub mod admin;
pub mod config;
pub mod dispatch;
pub mod entry;
pub mod idempotency;
pub mod peer;
pub mod planner;
pub mod process;
pub mod table;
pub mod target;
pub mod telemetry;

pub use process::{ProcessState, run};
