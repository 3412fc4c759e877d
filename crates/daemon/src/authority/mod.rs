//! Leases, intents and orders; the planner loop.

pub mod connection;

use crate::process;

/// Runs lease, order and planner loops until the process leaves.
pub async fn run(_state: process::SharedState) {}
