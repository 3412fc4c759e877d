//! Decision logic of the daemon without I/O and without a clock of its own: time is passed in and
//! randomness comes from a seeded generator of the caller.

pub mod lease;
pub mod once;
pub mod order;
