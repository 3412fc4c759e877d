//! Process lifecycle: startup, listeners, TLS, signals and graceful shutdown.

mod boot_id;
pub mod listener;
mod shutdown;
mod shutdown_state;
mod startup;
pub mod tls;

use std::{
    sync,
    sync::atomic::{AtomicU8, Ordering},
};

use acaciabank_protocol::settings;
use acaciabank_relay::memory;

use crate::{config, dispatch, idempotency, peer, table, target};

pub use boot_id::BootIds;
pub use shutdown_state::{ShutdownState, refusal as shutdown_refusal};
pub use startup::run;

/// Process-wide state, shared by all tasks.
pub struct ProcessState {
    /// Settings that were read at startup.
    pub settings: settings::ProcessSettings,
    /// Ids that distinguish this run of the daemon from others.
    pub boot_ids: BootIds,
    /// Current phase of the process.
    pub phase: PhaseCell,
    /// Moments of the shutdown, and the signal that running requests end.
    pub shutdown: ShutdownState,
    /// Store of the current configuration.
    pub config: config::ConfigStore,
    /// Targets with their load and condition.
    pub targets: target::TargetRegistry,
    /// Members of the fleet and calls to them.
    pub peers: peer::PeerHandle,
    /// Client of the platform's table service.
    pub table: table::TableClient,
    /// Coordinator of requests that must run at most once.
    pub idempotency: idempotency::KeyCoordinator,
    /// Responses kept for callers that ask for them by request id.
    pub responses: dispatch::ResponseBuffer,
    /// Memory for the bodies of requests and responses.
    pub memory: memory::MemoryBudget,
}

impl ProcessState {
    /// Creates the state of a process that has not started any task.
    pub fn new(settings: settings::ProcessSettings) -> Self {
        Self {
            boot_ids: BootIds::from_time_of_day(),
            phase: PhaseCell::default(),
            shutdown: ShutdownState::default(),
            config: config::ConfigStore::default(),
            targets: target::TargetRegistry::default(),
            peers: peer::PeerHandle::default(),
            table: table::TableClient::new(settings.table.clone()),
            idempotency: idempotency::KeyCoordinator::default(),
            responses: dispatch::ResponseBuffer::new(
                settings.limits.answer_buffer_bytes,
                settings.timers.answer_lifetime_ms,
            ),
            memory: memory::MemoryBudget::new(memory_limits(&settings.limits)),
            settings,
        }
    }
}

/// Copies of the largest completion that there is room for: the body, its parsed form, the prompt
/// and the body for the engine.
const COMPLETION_COPIES: usize = 4;

/// Returns the memory for bodies. One request of the largest size always has room, however small
/// the memory.
fn memory_limits(limits: &settings::LimitSettings) -> memory::MemoryLimits {
    let of_host = memory::MemoryLimits::of_host(limits.memory_bytes);
    // Large bodies may take three quarters of the part.
    let largest_bytes = (limits.max_body_bytes * COMPLETION_COPIES).div_ceil(3) * 4;
    memory::MemoryLimits {
        request_bytes: of_host.request_bytes.max(largest_bytes),
        ..of_host
    }
}

/// Returns the largest memory of the parsed form of a body, for which there is room beside the body
/// itself.
pub fn max_parsed_bytes(limits: &settings::LimitSettings) -> usize {
    memory_limits(limits).request_bytes / 4 * 3 - limits.max_body_bytes
}

/// Phase of the process. Phases follow each other in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No configuration received yet.
    Joining,
    /// Accepts requests.
    Ready,
    /// No longer advertised to callers; running requests are finished.
    Draining,
    /// Accepts no requests.
    Left,
}

/// The current phase. Atomic, since every request reads it.
#[derive(Debug, Default)]
pub struct PhaseCell(AtomicU8);

impl PhaseCell {
    /// Returns the current phase.
    pub fn get(&self) -> Phase {
        match self.0.load(Ordering::Acquire) {
            0 => Phase::Joining,
            1 => Phase::Ready,
            2 => Phase::Draining,
            _ => Phase::Left,
        }
    }

    /// Moves to a later phase. Has no effect if the current phase is later.
    pub fn advance(&self, phase: Phase) {
        self.0.fetch_max(phase as u8, Ordering::AcqRel);
    }
}

/// Reference-counted [`ProcessState`].
pub type SharedState = sync::Arc<ProcessState>;
