//! Memory of a response that its caller has not read, or that is kept for callers that reconnect.

use acaciabank_core::body_memory::ReserveOutcome;
use acaciabank_relay::memory::{MemoryBudget, MemoryPart, MemoryReservation};
use bytes::Bytes;

/// Smallest capacity of a copy.
const MIN_CAPACITY_BYTES: usize = 1 << 10;

/// The copy of a response that is still running, for callers that reconnect. Its capacity is
/// charged to the memory budget.
#[derive(Debug)]
pub(super) struct ResponseCopy {
    bytes: Vec<u8>,
    max_bytes: usize,
    reservation: MemoryReservation,
}

impl ResponseCopy {
    pub(super) fn new(budget: &MemoryBudget, max_bytes: usize) -> Self {
        Self {
            bytes: Vec::new(),
            max_bytes,
            reservation: budget.open(MemoryPart::Responses),
        }
    }

    /// Adds a part; returns whether it fits. The copy is of no use otherwise.
    pub(super) fn push(&mut self, part: &[u8]) -> bool {
        let needed = self.bytes.len() + part.len();
        if needed > self.max_bytes {
            return false;
        }
        if needed > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(MIN_CAPACITY_BYTES);
            let capacity = needed.max(doubled.min(self.max_bytes));
            if self.reservation.resize(capacity) != ReserveOutcome::Granted {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        true
    }

    /// Returns the complete response. The buffer that takes it has a limit of its own.
    pub(super) fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        Bytes::from(self.bytes)
    }
}

/// A part of a response that waits for its caller, with its memory.
struct QueuedPart {
    bytes: Vec<u8>,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for QueuedPart {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns a copy of a part that is charged to the memory budget until the caller has read it;
/// `None` if there is no room. A part itself is a slice of a read buffer and keeps all of it in
/// memory.
pub(super) fn charge_part(budget: &MemoryBudget, part: &Bytes) -> Option<Bytes> {
    let reservation = budget.open(MemoryPart::Responses);
    if reservation.resize(part.len()) != ReserveOutcome::Granted {
        return None;
    }
    Some(Bytes::from_owner(QueuedPart {
        bytes: part.to_vec(),
        _reservation: reservation,
    }))
}
