//! Decision logic of acaciabank without I/O.

pub mod member;
