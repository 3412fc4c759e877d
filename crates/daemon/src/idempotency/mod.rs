//! At-most-once execution of requests with an idempotency key: records the intent, dispatches and
//! records the outcome.

mod coordinator;
mod intent_deadlines;
mod local;
mod objects;
mod operator;
mod row;
mod run;

pub use coordinator::run_keyed;
pub use local::KeyCoordinator;
pub use operator::{KeyReport, report, resolve};
pub use run::MAX_RESPONSE_BYTES;

/// Header that marks a response as the recorded one of an earlier call.
pub const REPLAY_HEADER: &str = "x-idempotent-replay";
