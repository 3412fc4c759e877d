//! Stand-in for the users' platform: its store, and runners that register there and answer as the
//! published protocol says. Faults are switched on through `/control`, which the platform does not
//! have.
//!
//! Each runner keeps a journal of what it ran, and promises are checked against the journals.

mod runner;
mod store;

pub use runner::{RunnerEmulator, RunnerFaults, RunnerOptions};
pub use store::{StoreEmulator, StoreFaults};
