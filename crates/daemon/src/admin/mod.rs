//! Operators' HTTP interface, metrics and health.
