//! Decision logic of the daemon, free of I/O and clocks: callers pass in the current time and a
//! seed or a seeded random number generator.
//!
//! ```
//! use acaciabank_core::budget::RetryBudget;
//!
//! let mut budget = RetryBudget::new(10);
//! budget.record_request();
//! assert!(budget.try_spend());
//! ```

pub mod access;
pub mod admit;
pub mod body_memory;
pub mod budget;
pub mod cache;
pub mod capacity;
pub mod control;
pub mod fair_share;
pub mod idempotency;
pub mod lease;
pub mod load_shed;
pub mod member;
pub mod order;
pub mod outlier;
pub mod placement;
pub mod prefix;
pub mod prompt_backlog;
pub mod prompt_speed;
pub mod rate_limit;
pub mod retry_backoff;
pub mod role_planner;
pub mod route;
pub mod scheduler;
pub mod shutdown;
pub mod stage_planner;
pub mod store_version;
pub mod stream_version;
pub mod suspect;
pub mod target_signal;
pub mod usage;
