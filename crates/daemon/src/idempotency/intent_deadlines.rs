//! Times after which intents found by operators' lookups can no longer be dispatched.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use acaciabank_protocol::ids;

use crate::{dispatch::WriteDeadline, table};

/// Maximum number of tracked intents; the one with the earliest deadline is evicted. Only
/// operators' calls add intents.
const MAX_TRACKED_INTENTS: usize = 1_024;
/// Added to the dispatch window of an intent, for clocks that run at slightly different rates and
/// for a request that was written at the end of the window.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);

/// Time after which no process dispatches an intent, by the id of the operation that wrote it.
#[derive(Debug, Default)]
pub(super) struct IntentDeadlines(Mutex<HashMap<ids::OperationId, WriteDeadline>>);

impl IntentDeadlines {
    /// Returns the time until the intent's daemon can no longer dispatch it, counted from the first
    /// call for this intent. The intent was written before that, so the daemon's own dispatch
    /// window ends earlier.
    pub(super) fn track(&self, row: &table::TableRow, dispatch_within_ms: u64) -> Duration {
        let mut deadlines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if deadlines.len() >= MAX_TRACKED_INTENTS && !deadlines.contains_key(&row.operation) {
            let earliest = deadlines.iter().min_by_key(|(_, deadline)| **deadline);
            if let Some(operation) = earliest.map(|(operation, _)| operation.clone()) {
                deadlines.remove(&operation);
            }
        }
        let wait = Duration::from_millis(dispatch_within_ms) + CLOCK_MARGIN;
        let deadline = deadlines
            .entry(row.operation.clone())
            .or_insert_with(|| WriteDeadline::after(wait));
        deadline.remaining()
    }
}
