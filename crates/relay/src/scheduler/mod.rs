//! Placement of prompts by one daemon, the scheduler, for others.
//!
//! A daemon sends the scheduler of a prompt one datagram and receives the chosen engines in
//! another. The scheduler counts the work as its own load until the daemon reports its end. Without
//! a response within [`PLACEMENT_TIMEOUT`], the daemon tries a standby scheduler and then places
//! the prompt itself, by its own view of the engines.

mod client;
mod message;
mod server;
mod shares;
mod warmup;

pub use client::{AssignedWork, receive_response, request_placement};
pub use message::{
    PeerMessage, PlacedEngines, PlacementRequest, PlacementResponse, PlacementUpdate,
};
pub use server::{apply_update, handle_request};
pub use shares::{PlannedPrompt, ShareState};
pub use warmup::run as run_warmup;

use std::{
    cell::{OnceCell, RefCell},
    collections::HashMap,
    net, rc,
    time::Duration,
};

use acaciabank_core::{outlier, prefix, scheduler};
use tokio::{net::UdpSocket, sync::Notify};

use crate::{clock, platform, reply, state, target};

/// Time limit for a placement response: a round trip between availability zones, and the time that
/// other tasks take on a small host.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(20);
/// Time for which updates for a scheduler are collected into one datagram.
const UPDATE_DELAY: Duration = Duration::from_millis(8);
/// Uptime after which a daemon knows most of the prompt parts cached by engines: shared parts recur
/// about every ten seconds.
const WARM_AFTER_MS: u64 = 8_000;

/// Updates that wait to be sent, one for each scheduler.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    pending: RefCell<HashMap<net::SocketAddr, PlacementUpdate>>,
    changed: Notify,
}

impl UpdateQueue {
    /// Changes the update that waits for a scheduler.
    fn add(&self, scheduler: net::SocketAddr, change: impl FnOnce(&mut PlacementUpdate)) {
        change(self.pending.borrow_mut().entry(scheduler).or_default());
        self.changed.notify_one();
    }
}

/// State of a daemon as a client of schedulers and as a scheduler.
#[derive(Debug, Default)]
pub struct SchedulerState {
    /// UDP socket for messages between daemons.
    pub socket: OnceCell<rc::Rc<UdpSocket>>,
    /// Requests of this daemon that wait for a response, by id.
    pending: reply::PendingReplies<PlacementResponse>,
    /// Which schedulers respond to this daemon.
    health: RefCell<scheduler::SchedulerHealth>,
    updates: rc::Rc<UpdateQueue>,
    /// Work that this daemon has placed for others, by the id of the request.
    placed: RefCell<HashMap<u64, PlacedWork>>,
    /// Fair shares between teams at the engines for which this daemon places prompts.
    pub shares: ShareState,
}

/// Work that this daemon has placed for another one.
#[derive(Debug)]
struct PlacedWork {
    work: target::TargetWork,
    /// Parts that the engine will have cached when it has processed the prompt.
    parts: Vec<prefix::PromptPart>,
    /// Time at which the work counts as ended if no end is reported.
    expires_ms: u64,
}

impl SchedulerState {
    /// Sends a message to another daemon; it may be lost.
    pub fn send(&self, message: &PeerMessage, to: net::SocketAddr) {
        let datagram = match postcard::to_stdvec(message) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::error!("cannot encode a message to {to}: {error}");
                return;
            }
        };
        let Some(socket) = self.socket.get() else {
            return;
        };
        // A full socket buffer is treated like a datagram lost on the network: requests time out,
        // and the work of unreported ends expires.
        if let Err(error) = socket.try_send_to(&datagram, to) {
            log::debug!("cannot send a datagram to {to}: {error}");
        }
    }

    /// Removes expired work, the end of which was not reported.
    pub fn expire(&self, now_ms: u64) {
        let mut placed = self.placed.borrow_mut();
        placed.retain(|_, entry| entry.expires_ms > now_ms);
    }
}

/// Sends queued updates to schedulers until the process ends.
pub async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) {
    let scheduler = &state.scheduler;
    loop {
        scheduler.updates.changed.notified().await;
        tokio::time::sleep(UPDATE_DELAY).await;
        let pending = scheduler.updates.pending.take();
        for (address, update) in pending {
            scheduler.send(&PeerMessage::Update(update), address);
        }
    }
}

/// Returns the daemons that can be schedulers, including this one, in the order of their rank.
pub fn candidates<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> Vec<scheduler::SchedulerCandidate> {
    let mut candidates = state.peers.borrow().scheduler_candidates(now_ms);
    if state.is_ready() {
        candidates.push(scheduler::SchedulerCandidate {
            daemon_hash: state.daemon_hash,
            capacity_millicores: state.settings.capacity_millicores,
            is_warm: is_warm(now_ms.saturating_sub(state.started_ms)),
        });
    }
    scheduler::rank(&mut candidates);
    candidates
}

/// Returns the rank of this daemon among the candidates. The first ones, on the largest hosts, also
/// watch the store and order stage changes. A daemon that is not ready gets the first rank, because
/// a starting daemon must read the store itself.
pub fn own_rank<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> usize {
    let candidates = candidates(state, now_ms);
    let mut all = candidates.iter();
    let position = all.position(|candidate| candidate.daemon_hash == state.daemon_hash);
    position.unwrap_or(0)
}

/// Whether a daemon with the given uptime knows most of the prompt parts cached by engines.
pub fn is_warm(age_ms: u64) -> bool {
    age_ms >= WARM_AFTER_MS
}

/// Reports the outcome of a request at an engine to the schedulers, as each daemon alone sends too
/// few requests to detect a failing engine.
pub fn report_outcome<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    target: &target::TargetState,
    outcome: outlier::TargetOutcome,
) {
    if target.entry.stage.is_none() {
        return;
    }
    let candidates = candidates(state, clock::now_ms());
    let scheduler_count = scheduler::scheduler_count(candidates.len());
    for candidate in candidates.iter().take(scheduler_count) {
        let address = state.peers.borrow().address_of(candidate.daemon_hash);
        if let Some(address) = address {
            let entry = (target.hash, outcome);
            state
                .scheduler
                .updates
                .add(address, |update| update.outcomes.push(entry));
        }
    }
}
