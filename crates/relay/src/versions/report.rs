//! Bases of services in the reports between daemons.

use acaciabank_core::stream_version::BaseVersion;
use serde::{Deserialize, Serialize};

use crate::state;

/// The base of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseEntry {
    /// Hash of the service's name.
    pub service_hash: u64,
    /// The base as the store has it.
    pub base: BaseVersion,
}

/// Returns the bases for a report; `None` if this daemon does not know those in the store.
pub fn base_entries<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
) -> Option<Vec<BaseEntry>> {
    if !state.versions.is_read.get() {
        return None;
    }
    let histories = state.versions.histories.borrow();
    let entries = histories.iter().filter_map(|(service_hash, history)| {
        let base = history.stored()?;
        Some(BaseEntry {
            service_hash: *service_hash,
            base,
        })
    });
    Some(entries.collect())
}

/// Adopts the bases of another daemon's report.
pub fn apply_bases<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    entries: Option<&[BaseEntry]>,
) {
    let Some(entries) = entries else {
        return;
    };
    state.versions.is_read.set(true);
    let mut histories = state.versions.histories.borrow_mut();
    for entry in entries {
        let history = histories.entry(entry.service_hash).or_default();
        history.adopt(entry.base);
    }
}
