//! Orders of engines, sent by the daemon that holds the lease.
//!
//! Every daemon counts the work of its callers and reports the totals to the schedulers, their
//! standbys and the holder of the lease. The holder compares the measured load with the engines that
//! the platform lists, and orders what [`acaciabank_core::capacity`] decides.

mod fleet;
mod task;

pub use task::run;

use std::{cell::RefCell, collections::HashMap, time::Duration};

use acaciabank_core::capacity::{LoadMeter, LoadTotals, WorkTotals};
use serde::{Deserialize, Serialize};

use crate::{clock, config, gossip, platform, state};

/// Priority of the most urgent work.
const URGENT_PRIORITY: u8 = 0;

/// Work of a service at the sender of a report, since the start of the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoadEntry {
    /// Hash of the service's name.
    pub service_hash: u64,
    /// Totals since the start.
    pub totals: LoadTotals,
}

/// The work that this daemon has counted, and the load measured from the totals of all daemons.
#[derive(Debug, Default)]
pub struct CapacityState {
    /// Totals of this daemon by service.
    totals: RefCell<HashMap<String, LoadTotals>>,
    /// Load by hash of the service.
    meters: RefCell<HashMap<u64, LoadMeter>>,
}

impl CapacityState {
    /// Returns this daemon's totals for a report.
    pub fn report(&self) -> Vec<ServiceLoadEntry> {
        let totals = self.totals.borrow();
        let entries = totals.iter().map(|(service, totals)| ServiceLoadEntry {
            service_hash: state::hash_name(service),
            totals: *totals,
        });
        entries.collect()
    }

    /// Records the totals of another daemon.
    pub fn apply_report(&self, report: &gossip::PeerReport, now_ms: u64) {
        let source = state::hash_name(&report.host) ^ report.boot_id;
        self.record(&report.service_loads, source, now_ms);
    }

    fn record(&self, entries: &[ServiceLoadEntry], source: u64, now_ms: u64) {
        let mut meters = self.meters.borrow_mut();
        for entry in entries {
            let meter = meters.entry(entry.service_hash).or_default();
            meter.record(now_ms, source, &entry.totals);
            meter.sample(now_ms);
        }
    }

    fn change(&self, service: &str, priority: u8, change: impl FnOnce(&mut WorkTotals)) {
        let mut totals = self.totals.borrow_mut();
        let totals = match totals.get_mut(service) {
            Some(totals) => totals,
            None => totals.entry(service.to_owned()).or_default(),
        };
        change(match priority {
            URGENT_PRIORITY => &mut totals.urgent,
            _ => &mut totals.other,
        });
    }

    fn add_refused(&self, service: &str) {
        if let Some(totals) = self.totals.borrow_mut().get_mut(service) {
            totals.refused += 1;
        }
    }
}

/// Returns how the engines of a service are scaled, if this daemon's settings give that task to the
/// holder of the lease.
fn scaling<'a, Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    config: &'a config::RelayConfig,
    service: &str,
) -> Option<&'a config::ScalingSpec> {
    if !state.settings.control_tasks.capacity || state.settings.control_address.is_none() {
        return None;
    }
    config.service(service)?.scaling.as_ref()
}

/// Counts a caller's prompt, of which `tokens` have to be processed.
pub fn record_prompt<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    service: &str,
    priority: u8,
    tokens: u64,
) {
    if is_counted(state, service) {
        state.capacity.change(service, priority, |work| {
            work.prompts += 1;
            work.prompt_tokens += tokens;
        });
    }
}

/// Counts a prompt that was refused because the engines have too much work. Its tokens belong to the
/// load: they would have been processed if there were more engines.
pub fn record_refused<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    service: &str,
    priority: u8,
    tokens: u64,
) {
    if is_counted(state, service) {
        record_prompt(state, service, priority, tokens);
        state.capacity.add_refused(service);
    }
}

/// Counts a stream that has ended after the given time at its engines.
pub fn record_stream<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    service: &str,
    priority: u8,
    elapsed: Duration,
) {
    if is_counted(state, service) {
        state.capacity.change(service, priority, |work| {
            work.stream_ms += elapsed.as_millis() as u64;
        });
    }
}

fn is_counted<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    service: &str,
) -> bool {
    let config = state.config();
    config.is_some_and(|config| scaling(state, &config, service).is_some())
}

/// Whether an engine is still starting: it is listed, its boot may not be over, and it has not
/// responded to anything that this daemon knows of.
pub fn is_booting<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    spec: &config::ServiceSpec,
    state: &state::RelayState<Codec, Store>,
    target: &crate::target::TargetState,
) -> bool {
    let Some(scaling) = spec
        .scaling
        .as_ref()
        .filter(|_| state.settings.control_tasks.capacity)
    else {
        return false;
    };
    let booted_unix_ms = target.entry.born_ms.saturating_add(scaling.boot_ms);
    !target.has_responded.get() && clock::steady_unix_ms() < booted_unix_ms
}
