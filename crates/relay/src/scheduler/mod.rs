//! Placing of prompts by one daemon for others.
//!
//! A daemon asks the scheduler of a prompt by one datagram and gets the engines by another. The
//! scheduler counts the work as its own until it is told that it has ended. Without an answer within
//! [`QUESTION_TIMEOUT`] the daemon asks a standby, and then places by what it knows itself.

mod client;
mod message;
mod server;
mod warmup;

pub use client::{AssignedWork, receive_response, request_placement};
pub use message::{
    PeerMessage, PlacedEngines, PlacementRequest, PlacementResponse, PlacementUpdate,
};
pub use server::{apply_update, handle_request};
pub use warmup::run as run_warmup;

use std::{
    cell::{OnceCell, RefCell},
    collections::HashMap,
    net, rc,
    time::Duration,
};

use acaciabank_core::{judge, parts, scheduler};
use tokio::{
    net::UdpSocket,
    sync::{Notify, oneshot},
};

use crate::{clock, edge, state, target};

/// Time for an answer: two ways between availability zones, and the turns of other tasks on a small
/// host.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(20);
/// Time for which news for a scheduler are collected.
const NEWS_DELAY: Duration = Duration::from_millis(8);
/// Time after which a daemon knows most of what the engines hold: shared parts come back about every
/// ten seconds.
const WARM_MS: u64 = 8_000;

/// News that wait for the next datagram to each scheduler.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    waiting: RefCell<HashMap<net::SocketAddr, PlacementUpdate>>,
    queued: Notify,
}

impl UpdateQueue {
    fn add(&self, scheduler: net::SocketAddr, change: impl FnOnce(&mut PlacementUpdate)) {
        change(self.waiting.borrow_mut().entry(scheduler).or_default());
        self.queued.notify_one();
    }
}

/// What a daemon keeps as one that asks and as one that is asked.
#[derive(Debug, Default)]
pub struct SchedulerState {
    /// Socket for datagrams between daemons.
    pub socket: OnceCell<rc::Rc<UdpSocket>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<PlacementResponse>>>,
    standing: RefCell<scheduler::SchedulerStanding>,
    news: rc::Rc<UpdateQueue>,
    placed: RefCell<HashMap<u64, PlacedWork>>,
}

/// Work that this daemon has placed for another one.
#[derive(Debug)]
struct PlacedWork {
    work: target::TargetWork,
    /// Parts that its engine holds when the prompt has been processed.
    parts: Vec<parts::PromptPart>,
    /// Time after which it has ended, should the news of it be lost.
    until_ms: u64,
}

impl SchedulerState {
    fn send(&self, message: &PeerMessage, to: net::SocketAddr) {
        let datagram = match postcard::to_stdvec(message) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::error!("a message to another daemon cannot be encoded: {error}");
                return;
            }
        };
        let Some(socket) = self.socket.get() else {
            return;
        };
        // What does not fit into the socket's buffer is lost like a datagram on its way: the
        // question times out, and lost news expire.
        if let Err(error) = socket.try_send_to(&datagram, to) {
            log::debug!("datagram to {to}: {error}");
        }
    }

    /// Forgets work whose time is over: the news of its end were lost.
    pub fn expire(&self, now_ms: u64) {
        let mut placed = self.placed.borrow_mut();
        placed.retain(|_, kept| kept.until_ms > now_ms);
    }
}

/// Sends news to schedulers until the process ends.
pub async fn run<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
) {
    let scheduler = &state.scheduler;
    loop {
        scheduler.news.queued.notified().await;
        tokio::time::sleep(NEWS_DELAY).await;
        let waiting = scheduler.news.waiting.take();
        for (address, news) in waiting {
            scheduler.send(&PeerMessage::Update(news), address);
        }
    }
}

/// Candidates in the order of their rank, with the addresses of the other daemons.
pub fn candidates<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> Vec<scheduler::SchedulerCandidate> {
    let mut candidates = state.peers.borrow().scheduler_candidates(now_ms);
    if state.is_ready() {
        candidates.push(scheduler::SchedulerCandidate {
            name: state.host_hash,
            capacity: state.settings.capacity_millicores,
            is_warm: is_warm(now_ms.saturating_sub(state.started_ms)),
        });
    }
    scheduler::rank(&mut candidates);
    candidates
}

/// Position of this daemon among the candidates; the first ones also watch the store and order stages,
/// as they run on the largest hosts. One that is not ready takes the first position, as it knows
/// nothing yet.
pub fn position<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> usize {
    let candidates = candidates(state, now_ms);
    let mut all = candidates.iter();
    let position = all.position(|candidate| candidate.name == state.host_hash);
    position.unwrap_or(0)
}

/// Whether a daemon that has run for the given time knows most of what the engines hold.
pub fn is_warm(age_ms: u64) -> bool {
    age_ms >= WARM_MS
}

/// Tells the first schedulers what a request saw at an engine, as each daemon alone sees too few.
pub fn report_outcome<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
    target: &target::TargetState,
    outcome: judge::TargetOutcome,
) {
    if target.entry.stage.is_none() {
        return;
    }
    let candidates = candidates(state, clock::now_ms());
    let told = scheduler::count(candidates.len());
    for candidate in candidates.iter().take(told) {
        let address = state.peers.borrow().address_of(candidate.name);
        if let Some(address) = address {
            let entry = (target.hash, outcome);
            state
                .scheduler
                .news
                .add(address, |news| news.outcomes.push(entry));
        }
    }
}
