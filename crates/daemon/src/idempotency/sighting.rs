//! When operators' look-ups first saw an intent whose daemon no longer exists.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use acaciabank_protocol::ids;

use crate::{dispatch::WriteLimit, table};

/// Sightings kept at most; the one that ends first is dropped. Only operators' calls add any.
const MAX_SIGHTINGS: usize = 1_024;
/// Added to the time that an intent states, for clocks that run at slightly different rates and for
/// a request that was written at the end of the time.
const MARGIN: Duration = Duration::from_millis(500);

/// Rows under the operation that wrote their intent, with the time after which no process
/// dispatches on that intent.
#[derive(Debug, Default)]
pub(super) struct SightingLog(Mutex<HashMap<ids::OperationId, WriteLimit>>);

impl SightingLog {
    /// Records that an intent is in the table now, unless it has been seen before; returns the time
    /// left until its daemon can no longer dispatch. The intent was written before it was seen, so
    /// its daemon's own time ends earlier.
    pub(super) fn see(&self, row: &table::TableRow, dispatch_within_ms: u64) -> Duration {
        let mut sightings = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if sightings.len() >= MAX_SIGHTINGS && !sightings.contains_key(&row.operation) {
            let first = sightings.iter().min_by_key(|(_, limit)| **limit);
            if let Some(operation) = first.map(|(operation, _)| operation.clone()) {
                sightings.remove(&operation);
            }
        }
        let wait = Duration::from_millis(dispatch_within_ms) + MARGIN;
        let limit = sightings
            .entry(row.operation.clone())
            .or_insert_with(|| WriteLimit::after(wait));
        limit.remaining()
    }
}
