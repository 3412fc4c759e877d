//! Emulates the platform that the relay runs on: its store, its control interface, and runners that register there and
//! follow its published protocol. Faults are set through `/control`, which the real platform does
//! not have.
//!
//! Each runner records the requests that it ran in a journal; tests check the relay's guarantees
//! against the journals.

mod cloud;
mod rows;
mod runner;
mod store;

pub use cloud::{CloudEmulator, CloudFaults, ReceivedCall};
pub use runner::{RunnerEmulator, RunnerFaults, RunnerOptions};
pub use store::{StoreEmulator, StoreFaults, StoreReturn};
