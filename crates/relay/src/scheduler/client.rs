//! Questions of this daemon to schedulers.

use std::{net, rc};

use acaciabank_core::scheduler;
use tokio::sync::oneshot;

use super::{
    PeerMessage, PlacedEngines, PlacementRequest, PlacementResponse, QUESTION_TIMEOUT, UpdateQueue,
};
use crate::{clock, edge, state};

/// Schedulers that are asked about one prompt at most, before the daemon places it itself.
const MAX_ASKED: usize = 2;

/// Work that a scheduler counts for this daemon until dropped.
#[derive(Debug)]
pub struct AssignedWork {
    id: u64,
    scheduler: net::SocketAddr,
    news: rc::Rc<UpdateQueue>,
}

impl AssignedWork {
    /// The prompt has been processed, or its KV cache fetched.
    pub fn end_prefill(&self) {
        self.news
            .add(self.scheduler, |news| news.started.push(self.id));
    }
}

impl Drop for AssignedWork {
    fn drop(&mut self) {
        self.news
            .add(self.scheduler, |news| news.ended.push(self.id));
    }
}

/// Takes the number of a question back when it is no longer waited for.
struct PendingRequest<'a> {
    state: &'a super::SchedulerState,
    id: u64,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.state.waiting.borrow_mut().remove(&self.id);
    }
}

/// Asks the schedulers of a prompt for its engines; `None` when this daemon has to place it itself.
/// `shared` is the key of its shared part.
pub async fn request_placement<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    question: &PlacementRequest,
    shared: u64,
) -> Option<(PlacedEngines, AssignedWork)> {
    let now_ms = clock::now_ms();
    let candidates = super::candidates(state, now_ms);
    let asked: Vec<u64> = {
        let standing = state.scheduler.standing.borrow();
        let order = scheduler::order(&candidates, shared, &standing, now_ms);
        order.take(MAX_ASKED).collect()
    };
    for name in asked {
        if name == state.host_hash {
            return None;
        }
        let Some(address) = state.peers.borrow().address_of(name) else {
            continue;
        };
        if let Some(answered) = ask_one(state, question, name, address).await {
            return answered;
        }
    }
    metrics::counter!("acaciabank_unanswered_placements_total").increment(1);
    None
}

/// The answer of one scheduler; its inner part is empty when no engine accepts work.
async fn ask_one<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    question: &PlacementRequest,
    name: u64,
    address: net::SocketAddr,
) -> Option<Option<(PlacedEngines, AssignedWork)>> {
    let scheduler = &state.scheduler;
    let id = rand::random();
    let (sender, receiver) = oneshot::channel();
    scheduler.waiting.borrow_mut().insert(id, sender);
    let waiting = PendingRequest {
        state: scheduler,
        id,
    };
    // Dropped without an answer, it tells the scheduler that nothing comes of the question.
    let work = AssignedWork {
        id,
        scheduler: address,
        news: rc::Rc::clone(&scheduler.news),
    };
    let question = PlacementRequest {
        id,
        ..question.clone()
    };
    scheduler.send(&PeerMessage::Request(question), address);
    let answer = tokio::time::timeout(QUESTION_TIMEOUT, receiver).await;
    drop(waiting);
    let mut standing = scheduler.standing.borrow_mut();
    match answer {
        Ok(Ok(answer)) => {
            if standing.record_answer(name) {
                log::info!(scheduler:% = address; "scheduler_regained");
            }
            Some(answer.engines.map(|engines| (engines, work)))
        }
        _ => {
            if standing.record_silence(name, clock::now_ms()) {
                log::info!(scheduler:% = address; "scheduler_lost");
            }
            None
        }
    }
}

/// Takes an answer of a scheduler; one that comes too late is ignored.
pub fn receive_response<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    answer: PlacementResponse,
) {
    let sender = state.scheduler.waiting.borrow_mut().remove(&answer.id);
    if let Some(sender) = sender {
        // The question may have timed out at this moment.
        let _: Result<(), PlacementResponse> = sender.send(answer);
    }
}
