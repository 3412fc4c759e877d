//! The relay before the stand-in of the users' platform: promises are checked against what the
//! runners ran and what callers got.

mod fixture;
mod guarantees;
mod lifecycle;
mod peers;
mod soak;
mod streams;
