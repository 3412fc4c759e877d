//! Targets and this daemon's view of their state.

mod call;
mod doubts;
mod held;
mod registry;
mod signals;

pub use call::call;
pub use held::{ClosedCause, ClosedTarget, HeldTarget};
pub use registry::TargetRegistry;
pub use signals::{ResponseOrigin, record_response};
pub(crate) use signals::{log_leaving, log_limit};

use std::{
    cell::{Cell, RefCell},
    rc,
    time::{Duration, Instant},
};

use acaciabank_core::{
    outlier, placement, prefix, prompt_backlog::PromptBacklog, target_signal::SignalState,
};

use crate::{connection, platform, state};

/// An incarnation of a target. It is kept until the platform no longer lists it and its last
/// request has ended.
#[derive(Debug)]
pub struct TargetState {
    /// The platform's entry. Its stage and draining flag may be outdated: see `listed_stage`
    /// and `is_draining`.
    pub entry: platform::TargetEntry,
    /// Hash of id and start time, which identifies the incarnation in messages between daemons.
    pub hash: u64,
    /// Hash of the name of its availability zone.
    pub zone_hash: u64,
    /// Hash of the version of its software.
    pub software_hash: u64,
    /// Stage in the platform's list.
    pub listed_stage: Cell<Option<placement::EngineStage>>,
    /// Stage that a daemon has ordered; it overrides the listed stage until the list has caught up.
    pub ordered: Cell<Option<OrderedStage>>,
    /// Time of this daemon's last stage order to it.
    pub last_order_ms: Cell<Option<u64>>,
    /// Whether it accepts no new requests.
    pub is_draining: Cell<bool>,
    /// Stated time until it is taken away, if that has been announced.
    pub leaves_ms: Cell<Option<u64>>,
    /// Whether it has responded to a request that this daemon knows of.
    pub has_responded: Cell<bool>,
    /// Time until which it accepts no new requests because it is changing its stage.
    pub switching_until_ms: Cell<u64>,
    /// Time until which it is sent no new requests because it has refused one.
    pub backoff_until_ms: Cell<u64>,
    /// What it has signalled in its responses.
    signals: Cell<SignalState>,
    /// Until when it is left out because its rate limit leaves no request.
    held: Cell<Option<HeldTarget>>,
    /// Requests sent since its last pause, until they are no longer spread.
    resumed_sends: Cell<Option<u32>>,
    /// Whether a malformed signal was logged: one line for each incarnation is enough.
    has_logged_fault: Cell<bool>,
    /// Whether another incarnation has taken over its address.
    pub is_replaced: Cell<bool>,
    /// Idle connections to it.
    pub pool: connection::IdlePool,
    /// Number of this daemon's requests that are running on it.
    pub running: Cell<u32>,
    /// Prompts of this daemon's requests that it has not processed yet.
    pub backlog: Cell<PromptBacklog>,
    /// Number of prompts that were sent to it so far.
    pub prompt_count: Cell<u64>,
    /// Expected time of the KV cache transfers to it for this daemon's requests, in milliseconds.
    pub transfer_ms: Cell<u64>,
    /// Detects from request outcomes that the target is failing.
    pub detector: RefCell<outlier::OutlierDetector>,
    /// Prompt parts that are assumed to be in its KV cache.
    pub parts: RefCell<prefix::PrefixIndex>,
}

impl TargetState {
    fn new(entry: platform::TargetEntry, kv_tokens: u64) -> Self {
        Self {
            hash: incarnation_hash(&entry),
            zone_hash: xxhash_rust::xxh3::xxh3_64(entry.zone.as_bytes()),
            software_hash: state::hash_name(&entry.software),
            listed_stage: Cell::new(entry.stage),
            ordered: Cell::new(None),
            last_order_ms: Cell::new(None),
            is_draining: Cell::new(entry.is_draining),
            leaves_ms: Cell::new(entry.leaves_ms),
            has_responded: Cell::new(false),
            switching_until_ms: Cell::new(0),
            backoff_until_ms: Cell::new(0),
            signals: Cell::default(),
            held: Cell::default(),
            resumed_sends: Cell::default(),
            has_logged_fault: Cell::new(false),
            is_replaced: Cell::new(false),
            pool: connection::IdlePool::default(),
            running: Cell::new(0),
            backlog: Cell::default(),
            prompt_count: Cell::new(0),
            transfer_ms: Cell::new(0),
            detector: RefCell::default(),
            parts: RefCell::new(prefix::PrefixIndex::new(kv_tokens)),
            entry,
        }
    }

    fn change_backlog(&self, change: impl FnOnce(&mut PromptBacklog)) {
        let mut backlog = self.backlog.get();
        change(&mut backlog);
        self.backlog.set(backlog);
    }

    /// Takes an idle connection, or opens a new one within `timeout`.
    pub async fn open(&self, timeout: Duration) -> Result<connection::TargetConnection, String> {
        match self.pool.take() {
            Some(connection) => Ok(connection),
            None => connection::TargetConnection::connect(self.entry.address, timeout)
                .await
                .map_err(|error| error.to_string()),
        }
    }

    /// Returns the current stage, or the one that it is changing to.
    pub fn stage(&self, now_ms: u64) -> Option<placement::EngineStage> {
        let ordered = self
            .ordered
            .get()
            .filter(|ordered| now_ms < ordered.until_ms);
        ordered
            .map(|ordered| ordered.stage)
            .or(self.listed_stage.get())
    }

    /// Whether it accepts new requests and is not ejected for failures.
    pub fn is_accepting(&self, now_ms: u64) -> bool {
        self.availability(now_ms) == TargetAvailability::Accepting
    }

    /// Returns whether it gets new requests, or why not.
    pub fn availability(&self, now_ms: u64) -> TargetAvailability {
        if self.is_draining.get() || self.is_replaced.get() || self.is_leaving() {
            return TargetAvailability::Leaving;
        }
        if !self.allows_request(now_ms) {
            return TargetAvailability::Paused;
        }
        if self.is_held_back(now_ms) {
            return TargetAvailability::Limited;
        }
        if now_ms < self.switching_until_ms.get() {
            return TargetAvailability::Switching;
        }
        if now_ms < self.backoff_until_ms.get() {
            return TargetAvailability::BackingOff;
        }
        match self.detector.borrow().is_available(now_ms) {
            true => TargetAvailability::Accepting,
            false => TargetAvailability::Ejected,
        }
    }
}

/// Whether a target gets new requests, or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetAvailability {
    /// It gets requests.
    Accepting,
    /// It is draining, has stated that it leaves, or another incarnation has taken over its
    /// address.
    Leaving,
    /// It has asked for a pause.
    Paused,
    /// Its rate limit leaves no request.
    Limited,
    /// It is changing its stage.
    Switching,
    /// It has just refused a request.
    BackingOff,
    /// It is ejected because requests to it failed.
    Ejected,
}

/// A stage that a daemon has ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderedStage {
    /// Stage that the order names.
    pub stage: placement::EngineStage,
    /// Time until which it overrides the stage in the platform's list.
    pub until_ms: u64,
}

/// Returns the hash of an incarnation's id and start time. The start time is hashed like the id: as
/// the seed of the hash, it is combined with a short id such that different incarnations collide.
fn incarnation_hash(entry: &platform::TargetEntry) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(entry.id.as_bytes());
    hasher.update(&entry.born_ms.to_le_bytes());
    hasher.digest()
}

/// Counts one request as load of a target until dropped.
#[derive(Debug)]
pub struct TargetWork {
    /// Target that runs the request.
    pub target: rc::Rc<TargetState>,
    /// Priority and tokens of the prompt until it is processed.
    pending: Cell<Option<(u8, u64)>>,
    transfer_ms: Cell<u64>,
    timer: Cell<Option<PromptTimer>>,
}

/// Start of a prompt at an engine that had no other request.
#[derive(Clone, Copy, Debug)]
struct PromptTimer {
    started: Instant,
    tokens: u64,
    /// [`TargetState::prompt_count`] after the start.
    prompt_count: u64,
}

/// A prompt that an engine has processed without any other prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessedPrompt {
    /// Prompt tokens that were processed.
    pub tokens: u64,
    /// Time from the placement until the prompt was processed.
    pub elapsed: Duration,
}

impl TargetWork {
    /// Counts a request without a prompt to process, and a KV cache transfer of `transfer_ms`.
    pub fn start(target: &rc::Rc<TargetState>, transfer_ms: u64) -> Self {
        target.running.set(target.running.get() + 1);
        target
            .transfer_ms
            .set(target.transfer_ms.get() + transfer_ms);
        Self {
            target: rc::Rc::clone(target),
            pending: Cell::default(),
            transfer_ms: Cell::new(transfer_ms),
            timer: Cell::default(),
        }
    }

    /// Counts a request with a prompt of which `tokens` have to be processed.
    pub fn start_prompt(target: &rc::Rc<TargetState>, priority: u8, tokens: u64) -> Self {
        let is_idle = target.running.get() == 0;
        let work = Self::start(target, 0);
        target.prompt_count.set(target.prompt_count.get() + 1);
        target.change_backlog(|backlog| backlog.add(priority, tokens));
        work.pending.set(Some((priority, tokens)));
        work.timer.set(is_idle.then(|| PromptTimer {
            started: Instant::now(),
            tokens,
            prompt_count: target.prompt_count.get(),
        }));
        work
    }

    /// Makes [`end_prefill`](Self::end_prefill) return no processed prompt, because the engine does
    /// something else for it too.
    pub fn without_timer(self) -> Self {
        self.timer.set(None);
        self
    }

    /// Stops counting the prompt: it has been processed, or its KV cache has been fetched. Returns
    /// the prompt if it was processed and no other one was sent to the engine meanwhile.
    pub fn end_prefill(&self) -> Option<ProcessedPrompt> {
        let target = &self.target;
        if let Some((priority, tokens)) = self.pending.take() {
            target.change_backlog(|backlog| backlog.remove(priority, tokens));
        }
        target
            .transfer_ms
            .set(target.transfer_ms.get() - self.transfer_ms.take());
        let timer = self.timer.take()?;
        let is_alone = target.prompt_count.get() == timer.prompt_count;
        is_alone.then(|| ProcessedPrompt {
            tokens: timer.tokens,
            elapsed: timer.started.elapsed(),
        })
    }
}

impl Drop for TargetWork {
    fn drop(&mut self) {
        self.end_prefill();
        self.target.running.set(self.target.running.get() - 1);
    }
}
