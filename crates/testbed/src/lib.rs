//! Simulated engines, services and platform, emulators of the relay's store and runners, and a test
//! harness that starts them as processes together with real daemons and relays.
//!
//! ```
//! let text = acaciabank_testbed::engine::expected_text("drafting", "Dear member", 0..2);
//! assert_eq!(text.split_whitespace().count(), 2);
//! ```

pub mod crowd;
pub mod emulator;
pub mod engine;
pub mod harness;
pub mod journal;
pub mod load;
pub mod multicall;
pub mod platform;
pub mod proxy;
pub mod scripted;
pub mod service;
pub mod web;
