//! Sends changes of the prefix caches of owned targets to the other members of the region.

use std::{rc::Rc, time};

use tokio::task::spawn_local;

use super::{MemberCondition, client, link::PeerLink, node::PeerNode};
use crate::target::PieceDelta;

/// Rate of the cache changes that a daemon sends to all receivers together. With gossip this stays
/// under the limit of 11 KB/s for control traffic.
const BYTES_PER_SECOND: f64 = 2_048.0;

/// Overhead of a call: the call, return and release messages of the RPC system.
const CALL_BYTES: usize = 200;

/// Size of one delta without its pieces.
const DELTA_BYTES: usize = 40;
/// Size of one piece in a delta.
const PIECE_BYTES: usize = 8;

/// Bytes that may be sent at once, in addition to the overhead of the calls, after a time without
/// changes.
const BURST_BYTES: f64 = 8_192.0;

/// Token bucket of the bytes that may be sent now.
#[derive(Debug, Default)]
pub(super) struct PieceBudget {
    bytes: f64,
    refilled_at: Option<time::Instant>,
}

impl PieceBudget {
    fn refill(&mut self, receivers: usize, now: time::Instant) {
        let limit = BURST_BYTES + (receivers * CALL_BYTES) as f64;
        let last = self.refilled_at.replace(now);
        let elapsed = last.map_or(0.0, |last| now.duration_since(last).as_secs_f64());
        self.bytes = (self.bytes + elapsed * BYTES_PER_SECOND).min(limit);
    }
}

fn delta_bytes(delta: &PieceDelta) -> usize {
    DELTA_BYTES + (delta.stored.len() + delta.removed.len()) * PIECE_BYTES
}

/// Empties the largest deltas until all deltas take at most `limit` bytes; returns the bytes they
/// take. An emptied delta resets the receivers' index of its target, as an incomplete index would
/// list removed pieces.
fn limit_bytes(deltas: &mut [PieceDelta], limit: usize) -> usize {
    deltas.sort_by_key(delta_bytes);
    let mut spent = deltas.len() * DELTA_BYTES;
    for delta in deltas {
        let content = delta_bytes(delta) - DELTA_BYTES;
        if spent + content <= limit {
            spent += content;
            continue;
        }
        metrics::counter!("acaciabank_piece_sets_dropped_total").increment(1);
        delta.stored.clear();
        delta.removed.clear();
        delta.reset = true;
    }
    spent
}

impl PeerNode {
    /// Sends the changes since the last round if the budget allows a call to every receiver.
    pub(super) fn send_pieces(self: &Rc<Self>, now: time::Instant) {
        let receivers = self.piece_receivers();
        let mut budget = self.piece_budget.borrow_mut();
        budget.refill(receivers.len(), now);
        let calls = receivers.len() * CALL_BYTES;
        if receivers.is_empty() || budget.bytes < calls as f64 {
            return;
        }
        let mut deltas = self.state.targets.take_piece_deltas();
        if deltas.is_empty() {
            return;
        }
        let available = budget.bytes - calls as f64;
        let spent = limit_bytes(&mut deltas, available as usize / receivers.len());
        budget.bytes -= (calls + spent * receivers.len()) as f64;
        let deltas = Rc::new(deltas);
        for link in receivers {
            let deltas = Rc::clone(&deltas);
            spawn_local(async move { send_deltas(&link, &deltas).await });
        }
    }

    fn piece_receivers(&self) -> Vec<Rc<PeerLink>> {
        let settings = &self.state.settings;
        let members = self.state.peers.members();
        let receivers = members.iter().filter(|member| {
            member.condition == MemberCondition::Ready
                && member.region == settings.region
                && member.daemon != settings.daemon
        });
        receivers
            .filter_map(|member| self.link(&member.daemon))
            .collect()
    }
}

/// Sends changes to one daemon. After a failed call, the next call resets the targets whose changes
/// were not received.
async fn send_deltas(link: &PeerLink, deltas: &[PieceDelta]) {
    let stale = link.stale_targets.take();
    let mut deltas = deltas.to_vec();
    for delta in &mut deltas {
        delta.reset |= stale.contains(&delta.target_hash);
    }
    let mut unsent = stale;
    unsent.retain(|target_hash| deltas.iter().all(|delta| delta.target_hash != *target_hash));
    let resets = unsent.iter().map(|target_hash| PieceDelta {
        target_hash: *target_hash,
        reset: true,
        ..PieceDelta::default()
    });
    deltas.extend(resets.collect::<Vec<_>>());
    if let Err(error) = client::cache_pieces(link, &deltas).await {
        log::debug!(
            "sending cache changes to daemon {} failed: {error}",
            link.daemon
        );
        let hashes = deltas.iter().map(|delta| delta.target_hash);
        link.stale_targets.borrow_mut().extend(hashes);
    }
}
