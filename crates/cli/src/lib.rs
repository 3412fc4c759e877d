//! Crate root.
