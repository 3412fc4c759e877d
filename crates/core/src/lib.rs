//! Decision logic of the daemon without I/O and without a clock of its own: time is passed in,
//! randomness comes from a seed or a seeded generator of the caller.
//!
//! ```
//! use acaciabank_core::budget::RetryBudget;
//!
//! let mut budget = RetryBudget::new(10);
//! budget.record_request();
//! assert!(budget.try_spend());
//! ```

pub mod admit;
pub mod budget;
pub mod cache;
pub mod idempotency;
pub mod judge;
pub mod lease;
pub mod load_shed;
pub mod member;
pub mod order;
pub mod placement;
pub mod prefix;
pub mod role_planner;
pub mod route;
pub mod scheduler;
pub mod stage_planner;
pub mod suspect;
