//! Leases, intents and orders; the planner loop.

use crate::process;

/// Runs lease, order and planner loops until the process leaves.
pub async fn run(_state: process::SharedState) {}
