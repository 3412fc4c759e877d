//! Decisions of acaciabank without I/O: routing, prefix index, admission, retry budget and crash
//! suspects. Time is passed in as milliseconds, randomness as a seed.
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
pub mod route;
pub mod suspect;
