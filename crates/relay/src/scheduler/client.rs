//! Placement requests of this daemon to schedulers.

use std::{net, rc};

use acaciabank_core::scheduler;

use super::{
    PLACEMENT_TIMEOUT, PeerMessage, PlacedEngines, PlacementRequest, PlacementResponse, UpdateQueue,
};
use crate::{clock, platform, state};

/// Schedulers that are tried for one prompt before the daemon places it itself.
const MAX_SCHEDULERS_TRIED: usize = 2;

/// Work placed by a scheduler, which counts it as load of the engine until this is dropped.
#[derive(Debug)]
pub struct AssignedWork {
    id: u64,
    scheduler: net::SocketAddr,
    updates: rc::Rc<UpdateQueue>,
}

impl AssignedWork {
    /// Tells the scheduler that the prompt has been processed, or its KV cache fetched.
    pub fn end_prefill(&self) {
        self.updates
            .add(self.scheduler, |update| update.prefill_ended.push(self.id));
    }
}

impl Drop for AssignedWork {
    fn drop(&mut self) {
        self.updates
            .add(self.scheduler, |update| update.ended.push(self.id));
    }
}

/// Requests engines for a prompt from its schedulers. Returns `None` when none of them places it
/// and this daemon has to. `shared_key` is the key of the prompt's shared part.
pub async fn request_placement<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &PlacementRequest,
    shared_key: u64,
) -> Option<(PlacedEngines, AssignedWork)> {
    let now_ms = clock::now_ms();
    let candidates = super::candidates(state, now_ms);
    let schedulers: Vec<u64> = {
        let health = state.scheduler.health.borrow();
        let order = scheduler::preference_order(&candidates, shared_key, &health, now_ms);
        order.take(MAX_SCHEDULERS_TRIED).collect()
    };
    for daemon_hash in schedulers {
        if daemon_hash == state.daemon_hash {
            return None;
        }
        let Some(address) = state.peers.borrow().address_of(daemon_hash) else {
            continue;
        };
        if let Some(placed) = try_scheduler(state, request, daemon_hash, address).await {
            return placed;
        }
    }
    metrics::counter!("acaciabank_unanswered_placements_total").increment(1);
    None
}

/// Requests a placement from one scheduler. Returns `None` without a response in time, and
/// `Some(None)` when no engine accepts the prompt.
async fn try_scheduler<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &PlacementRequest,
    daemon_hash: u64,
    address: net::SocketAddr,
) -> Option<Option<(PlacedEngines, AssignedWork)>> {
    let scheduler = &state.scheduler;
    let id = rand::random();
    let mut reply = scheduler.pending.open(id);
    // If there is no response in time, dropping this tells the scheduler to discard the placement.
    let work = AssignedWork {
        id,
        scheduler: address,
        updates: rc::Rc::clone(&scheduler.updates),
    };
    let request = PlacementRequest {
        id,
        ..request.clone()
    };
    scheduler.send(&PeerMessage::Request(request), address);
    let response = reply.wait(PLACEMENT_TIMEOUT).await;
    drop(reply);
    let mut health = scheduler.health.borrow_mut();
    match response {
        Some(response) => {
            if health.record_response(daemon_hash) {
                log::info!(scheduler:% = address; "scheduler_regained");
            }
            Some(response.engines.map(|engines| (engines, work)))
        }
        None => {
            if health.record_timeout(daemon_hash, clock::now_ms()) {
                log::info!(scheduler:% = address; "scheduler_lost");
            }
            None
        }
    }
}

/// Passes a scheduler's response to the task that waits for it.
pub fn receive_response<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    response: PlacementResponse,
) {
    let pending = &state.scheduler.pending;
    pending.resolve(response.id, response);
}
