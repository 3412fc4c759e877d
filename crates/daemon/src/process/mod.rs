//! Start, readiness, signals and graceful shutdown of the process.

pub mod listener;
mod shutdown;
mod startup;
pub mod tls;

use std::{
    sync,
    sync::atomic::{AtomicU8, Ordering},
};

use acaciabank_protocol::settings;

use crate::{config, dispatch, once, peer, table, target};

pub use startup::run;

/// What lives as long as the process. Shared by every task.
pub struct ProcessState {
    /// Settings of this process.
    pub settings: settings::ProcessSettings,
    /// Random number that distinguishes this run of the daemon from earlier ones.
    pub boot_id: u64,
    /// Phase of life.
    pub phase: PhaseCell,
    /// Configuration in force.
    pub config: config::ConfigStore,
    /// Targets and what is known of them.
    pub targets: target::TargetRegistry,
    /// Other daemons and calls to them.
    pub peers: peer::PeerHandle,
    /// The platform's table service.
    pub table: table::TableClient,
    /// Coordinator of requests that must run at most once.
    pub once: once::KeyCoordinator,
    /// Answers kept for late callers.
    pub answers: dispatch::AnswerBuffer,
}

impl ProcessState {
    /// State of a process that has not started any task yet.
    pub fn new(settings: settings::ProcessSettings) -> Self {
        Self {
            boot_id: rand::random(),
            phase: PhaseCell::default(),
            config: config::ConfigStore::default(),
            targets: target::TargetRegistry::default(),
            peers: peer::PeerHandle::default(),
            table: table::TableClient::new(settings.table.clone()),
            once: once::KeyCoordinator::default(),
            answers: dispatch::AnswerBuffer::default(),
            settings,
        }
    }
}

/// Phase of life of a daemon, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No configuration learned yet.
    Joining,
    /// Serving.
    Ready,
    /// Named to no caller; finishes what runs.
    Draining,
    /// Accepts nothing.
    Left,
}

/// The current phase, read on the request path.
#[derive(Debug, Default)]
pub struct PhaseCell(AtomicU8);

impl PhaseCell {
    /// The current phase.
    pub fn get(&self) -> Phase {
        match self.0.load(Ordering::Acquire) {
            0 => Phase::Joining,
            1 => Phase::Ready,
            2 => Phase::Draining,
            _ => Phase::Left,
        }
    }

    /// Moves to a later phase; an earlier one is ignored.
    pub fn advance(&self, phase: Phase) {
        self.0.fetch_max(phase as u8, Ordering::AcqRel);
    }
}

/// The state as tasks share it.
pub type SharedState = sync::Arc<ProcessState>;
