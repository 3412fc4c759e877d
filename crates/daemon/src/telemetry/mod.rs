//! Structured logs and metric names.
