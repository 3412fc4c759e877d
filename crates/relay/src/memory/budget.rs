//! The budget that the bodies of a process share, and their reservations.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use acaciabank_core::body_memory::{
    MemoryLedger, MemoryLimits, MemoryPart, ReservationId, ReserveOutcome,
};
use tokio::sync::{Notify, futures::Notified};

use crate::{
    clock,
    telemetry::{self, OverloadReason},
};

/// Memory for the bodies of a process. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<SharedLedger>);

#[derive(Debug)]
struct SharedLedger {
    ledger: Mutex<MemoryLedger>,
    /// Notified when bodies have been evicted.
    evicted: Notify,
}

impl MemoryBudget {
    /// Creates a budget.
    pub fn new(limits: MemoryLimits) -> Self {
        Self(Arc::new(SharedLedger {
            ledger: Mutex::new(MemoryLedger::new(limits)),
            evicted: Notify::new(),
        }))
    }

    /// Opens an empty reservation for a body that is being read.
    pub fn open(&self, part: MemoryPart) -> MemoryReservation {
        MemoryReservation {
            budget: self.clone(),
            id: self.lock().open(part, progress_ms(part)),
            part,
        }
    }

    /// Returns the memory that the bodies of a part have reserved.
    pub fn used_bytes(&self, part: MemoryPart) -> usize {
        self.lock().used_bytes(part)
    }

    fn lock(&self) -> MutexGuard<'_, MemoryLedger> {
        // Every change of the ledger is complete, also after a panic elsewhere.
        let locked = self.0.ledger.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time of progress of a body. Responses are never evicted, so their times are not used
/// and not read from the clock.
fn progress_ms(part: MemoryPart) -> u64 {
    match part {
        MemoryPart::Requests => clock::now_ms(),
        MemoryPart::Responses => 0,
    }
}

/// Memory reserved for one body until dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    id: ReservationId,
    part: MemoryPart,
}

impl MemoryReservation {
    /// Changes the size. Stalled bodies may be evicted for a small one.
    pub fn resize(&self, bytes: usize) -> ReserveOutcome {
        let now_ms = progress_ms(self.part);
        let decision = self.budget.lock().resize(self.id, bytes, now_ms);
        if decision.evicted > 0 {
            telemetry::count_overload(OverloadReason::BodyEvicted, decision.evicted as u64);
            self.budget.0.evicted.notify_waiters();
        }
        decision.outcome
    }

    /// Records that bytes of the body have arrived.
    pub fn record_progress(&self) {
        if self.part == MemoryPart::Requests {
            let now_ms = clock::now_ms();
            self.budget.lock().record_progress(self.id, now_ms);
        }
    }

    /// Records that the body is complete; returns whether it has not been evicted before.
    pub fn complete(&self) -> bool {
        self.budget.lock().complete(self.id)
    }

    /// Whether the body has been evicted. Its memory must be freed at once.
    pub fn is_evicted(&self) -> bool {
        self.budget.lock().is_closed(self.id)
    }

    /// Completes when bodies have been evicted since the call, perhaps this one.
    pub fn evictions(&self) -> Notified<'_> {
        self.budget.0.evicted.notified()
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.lock().close(self.id);
    }
}
