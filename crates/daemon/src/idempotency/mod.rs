//! Coordinator of keyed requests: intent, dispatch, outcome.

mod coordinator;
mod local;
mod objects;
mod operator;
mod row;
mod run;
mod sighting;

pub use coordinator::run_keyed;
pub use local::KeyCoordinator;
pub use operator::{KeyReport, report, resolve};
pub use run::MAX_RESPONSE_BYTES;

/// Header that marks an answer as the recorded one of an earlier call.
pub const REPLAY_HEADER: &str = "x-idempotent-replay";
