//! Load generator with open-loop arrivals that measures what callers see.
//!
//! A script is a list of phases; each has a rate and a weighted mix of request shapes. Arrivals are
//! drawn from a seed before the run starts, so the same seed gives the same requests at the same
//! offsets whatever the system does. Latencies are measured from the planned arrival, so that a
//! stalled system cannot hide its delay by slowing down the load (coordinated omission).

mod directory;
mod event_stream;
mod plot;
mod report;
mod runner;
mod schedule;
mod script;

pub use directory::AddressDirectory;
pub use plot::write_comparison;
pub use report::{LatencySummary, RequestOutcome, RunReport};
pub use runner::{RunOptions, run};
pub use schedule::{PlannedRequest, plan};
pub use script::{LoadPhase, LoadScript, RequestShape, TokenRange};
