//! Start, readiness, signals and graceful shutdown of the process.

pub mod listener;
mod shutdown;
mod startup;
pub mod tls;

use std::{
    sync,
    sync::atomic::{AtomicU8, Ordering},
    time,
};

use acaciabank_protocol::settings;

use crate::{config, dispatch, idempotency, peer, table, target};

pub use startup::run;

/// What lives as long as the process. Shared by every task.
pub struct ProcessState {
    /// Settings of this process.
    pub settings: settings::ProcessSettings,
    /// Distinguishes this run of the daemon from earlier ones; a later run has a higher id.
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
    pub idempotency: idempotency::KeyCoordinator,
    /// Answers kept for late callers.
    pub responses: dispatch::ResponseBuffer,
}

impl ProcessState {
    /// State of a process that has not started any task yet.
    pub fn new(settings: settings::ProcessSettings) -> Self {
        Self {
            boot_id: new_boot_id(),
            phase: PhaseCell::default(),
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

/// Bits of a boot id that are random, so that two runs that start in one millisecond differ.
const BOOT_ID_RANDOM_BITS: u32 = 20;

/// Wall-clock milliseconds followed by random bits. Others ignore a run with a lower id than the
/// last one they knew, so a host whose clock was set back needs its clock set right first.
fn new_boot_id() -> u64 {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64);
    let random = rand::random::<u64>() & ((1 << BOOT_ID_RANDOM_BITS) - 1);
    millis << BOOT_ID_RANDOM_BITS | random
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
