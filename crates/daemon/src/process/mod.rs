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
            settings,
        }
    }
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
