//! Usage in the reports between daemons.

use acaciabank_core::usage;

use super::{NamedCounts, is_active, unix_ms};
use crate::{
    clock,
    gossip::{PeerReport, SettledEntry, UsageShare},
    state,
};

/// Largest number of counts in a report, about 13 KB: a datagram holds 32 KB with everything else.
const MAX_COUNTS: usize = 1_200;

/// Returns this daemon's part of a report; `None` if usage is not counted.
pub fn build_share<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> Option<UsageShare> {
    if !is_active(state) {
        return None;
    }
    let correction_ms = {
        let peers = state.peers.borrow();
        usage::clock_correction_ms(peers.clock_differences_ms(now_ms))
    };
    let known_ms = state.usage.correction_ms.replace(correction_ms);
    if (known_ms == 0) != (correction_ms == 0) {
        log::warn!(correction_ms = correction_ms; "clock_corrected");
    }
    let is_holder = state.lease.grant(now_ms).is_some() && state.usage.loaded.get().is_some();
    let next = state.usage.ledger.borrow().next();
    Some(UsageShare {
        unix_ms: clock::unix_ms(),
        settled_before: next.filter(|_| is_holder),
        counts: Some(own_counts(state)),
        settled: None,
    })
}

/// Returns this daemon's own counts.
pub fn own_counts<Codec, Store>(state: &state::RelayState<Codec, Store>) -> usage::DaemonCounts {
    let unix_ms = unix_ms(state);
    state.usage.counter.borrow().report(unix_ms, MAX_COUNTS)
}

/// Adds a settled window to a report to the standbys, if this daemon holds the lease and they may
/// not know it.
pub fn add_settled<Codec, Store>(state: &state::RelayState<Codec, Store>, report: &mut PeerReport) {
    let Some(share) = &mut report.usage else {
        return;
    };
    if share.settled_before.is_none() {
        return;
    }
    let mut ledger = state.usage.ledger.borrow_mut();
    share.settled = ledger.announce().map(|(window, counts)| SettledEntry {
        window,
        counts: counts
            .iter()
            .map(|(name, count)| (state::hash_name(name), *count))
            .collect(),
    });
}

/// Takes over what another daemon reports.
pub fn apply_share<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    run: usage::RunKey,
    share: &UsageShare,
) {
    if !is_active(state) {
        return;
    }
    let local = &state.usage;
    let is_holder = local.loaded.get().is_some() && state.lease.grant(clock::now_ms()).is_some();
    if let Some(settled_before) = share.settled_before.filter(|_| !is_holder) {
        local.counter.borrow_mut().settle_before(settled_before);
        local.collector.borrow_mut().settle_before(settled_before);
    }
    if let Some(settled) = share.settled.as_ref().filter(|_| !is_holder) {
        learn_settled(state, settled);
    }
    if let Some(counts) = &share.counts {
        let current = usage::window_at(unix_ms(state), local.window_ms);
        let late = local.collector.borrow_mut().apply(run, counts, current);
        if is_holder && late > 0 {
            super::report::count_late(state, late);
        }
    }
}

/// Keeps the counts of a settled window, to write and report them unchanged if the store loses
/// them. Without the name of a team they are useless.
fn learn_settled<Codec, Store>(state: &state::RelayState<Codec, Store>, settled: &SettledEntry) {
    if let Some(config) = state.config.borrow().as_ref()
        && let Some(teams) = &config.teams
    {
        state.usage.record_names(teams);
    }
    let named = state.usage.named(settled.counts.iter().copied());
    let named: Option<NamedCounts> = named.collect();
    if let Some(counts) = named {
        let mut ledger = state.usage.ledger.borrow_mut();
        ledger.learn(settled.window, counts);
        // A daemon that never holds the lease has nothing to give up or to delete.
        ledger.expire_learned(unix_ms(state));
    }
}
