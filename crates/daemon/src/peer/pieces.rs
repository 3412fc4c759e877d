//! Changes of the prefix caches of owned targets, for the other members of the region.

use std::{rc::Rc, time};

use tokio::task::spawn_local;

use super::{MemberCondition, client, link::PeerLink, node::PeerNode};
use crate::target::PieceDelta;

/// Bytes of cache changes that a daemon sends in one second, over all receivers. Together with
/// gossip this stays under the limit of 11 KB/s for control.
const BYTES_PER_SECOND: f64 = 2_048.0;

/// Bytes that a call takes besides its content: call, return and release of the RPC system.
const CALL_BYTES: usize = 200;

/// Bytes of one set besides its pieces, and of one piece.
const SET_BYTES: usize = 40;
const PIECE_BYTES: usize = 8;

/// Bytes that may be sent at once beyond the empty calls, after a time without changes.
const BURST_BYTES: f64 = 8_192.0;

/// Bytes that may be sent now.
#[derive(Debug, Default)]
pub(super) struct PieceBudget {
    bytes: f64,
    counted_at: Option<time::Instant>,
}

impl PieceBudget {
    fn refill(&mut self, receivers: usize, now: time::Instant) {
        let limit = BURST_BYTES + (receivers * CALL_BYTES) as f64;
        let last = self.counted_at.replace(now);
        let elapsed = last.map_or(0.0, |last| now.duration_since(last).as_secs_f64());
        self.bytes = (self.bytes + elapsed * BYTES_PER_SECOND).min(limit);
    }
}

fn set_bytes(delta: &PieceDelta) -> usize {
    SET_BYTES + (delta.stored.len() + delta.removed.len()) * PIECE_BYTES
}

/// Empties the largest sets until the rest costs at most `limit` bytes. An emptied set voids what
/// receivers know of its target: an incomplete index would name pieces that are gone.
fn fit(deltas: &mut [PieceDelta], limit: usize) -> usize {
    deltas.sort_by_key(set_bytes);
    let mut spent = deltas.len() * SET_BYTES;
    for delta in deltas {
        let content = set_bytes(delta) - SET_BYTES;
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
    /// Sends the changes since the last round when the budget allows a call to every receiver.
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
        let rest = budget.bytes - calls as f64;
        let spent = fit(&mut deltas, rest as usize / receivers.len());
        budget.bytes -= (calls + spent * receivers.len()) as f64;
        let deltas = Rc::new(deltas);
        for link in receivers {
            let deltas = Rc::clone(&deltas);
            spawn_local(async move { send_to(&link, &deltas).await });
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

/// After a lost message the next one voids the targets that it named.
async fn send_to(link: &PeerLink, deltas: &[PieceDelta]) {
    let lost = link.lost_pieces.take();
    let mut deltas = deltas.to_vec();
    for delta in &mut deltas {
        delta.reset |= lost.contains(&delta.target);
    }
    let mut unsent = lost;
    unsent.retain(|target| deltas.iter().all(|delta| delta.target != *target));
    let voided = unsent.iter().map(|target| PieceDelta {
        target: *target,
        reset: true,
        ..PieceDelta::default()
    });
    deltas.extend(voided.collect::<Vec<_>>());
    if let Err(error) = client::cache_pieces(link, &deltas).await {
        log::debug!("cache changes to daemon {} failed: {error}", link.daemon);
        let targets = deltas.iter().map(|delta| delta.target);
        link.lost_pieces.borrow_mut().extend(targets);
    }
}
