//! Decides which request and response bodies a process holds in memory at the same time: admits,
//! refuses and evicts them.
//!
//! Made for hosts with 120 to 512 MB and some hundreds of bodies at a time. A body costs a few
//! operations on an ordered map; only a small body that finds no room costs a pass over all of them.

use std::collections::BTreeMap;

/// Size above which a body is large. Prompts and calls of services are usually below it.
pub const LARGE_BYTES: usize = 128 << 10;
/// Shortest time without progress after which a body gives way to a small one. Callers send a body at
/// once, and the retransmission of a lost packet takes a few hundred milliseconds.
pub const MIN_STALL_MS: u64 = 1_000;
/// Share of the host's memory for each part: a quarter. The other half is for the program, its
/// connections and the documents.
const PART_DIVISOR: usize = 4;

/// Kind of body. Each kind has its own part of the memory, so that requests that are being read
/// cannot keep the responses of earlier ones out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryPart {
    /// Bodies of requests, from their first byte until no target may need them any more.
    Requests,
    /// Bodies of responses, until their callers have read them.
    Responses,
}

/// Memory for each part, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Bodies of requests.
    pub request_bytes: usize,
    /// Bodies of responses.
    pub response_bytes: usize,
}

impl MemoryLimits {
    /// Returns the limits of a process that may use `memory_bytes`.
    pub fn of_host(memory_bytes: usize) -> Self {
        Self {
            request_bytes: memory_bytes / PART_DIVISOR,
            response_bytes: memory_bytes / PART_DIVISOR,
        }
    }

    fn part(&self, part: MemoryPart) -> usize {
        match part {
            MemoryPart::Requests => self.request_bytes,
            MemoryPart::Responses => self.response_bytes,
        }
    }
}

/// Identifies the reservation of one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReservationId(u64);

/// Outcome of a change to the size of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The reservation has the new size.
    Granted,
    /// Other bodies take the memory; the reservation is unchanged.
    NoRoom,
    /// The body has given way to another one.
    Evicted,
}

/// Decision on a change to the size of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReserveDecision {
    /// Outcome for the body.
    pub outcome: ReserveOutcome,
    /// Number of other bodies that were evicted for it. They are closed, and their memory is to be
    /// freed at once.
    pub evicted: usize,
}

/// Memory that the bodies of one part take.
#[derive(Clone, Copy, Debug, Default)]
struct PartUse {
    bytes: usize,
    /// The share of large bodies.
    large_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    part: MemoryPart,
    bytes: usize,
    /// Time of the last byte that arrived; `None` once the body is complete.
    progress_ms: Option<u64>,
}

/// Memory that all bodies of a process have reserved.
#[derive(Clone, Debug)]
pub struct MemoryLedger {
    limits: MemoryLimits,
    requests: PartUse,
    responses: PartUse,
    reservations: BTreeMap<ReservationId, Reservation>,
    next_id: u64,
}

impl MemoryLedger {
    /// Creates a ledger without reservations.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            requests: PartUse::default(),
            responses: PartUse::default(),
            reservations: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Opens an empty reservation for a body that is being read.
    pub fn open(&mut self, part: MemoryPart, now_ms: u64) -> ReservationId {
        let id = ReservationId(self.next_id);
        self.next_id += 1;
        let reservation = Reservation {
            part,
            bytes: 0,
            progress_ms: Some(now_ms),
        };
        self.reservations.insert(id, reservation);
        id
    }

    /// Changes the size of a reservation. Bodies over [`LARGE_BYTES`] may use three quarters of their
    /// part, so that the rest is left to small ones. If a small body of a request finds no room,
    /// the requests without progress for the longest time are evicted.
    pub fn resize(&mut self, id: ReservationId, bytes: usize, now_ms: u64) -> ReserveDecision {
        let decision = |outcome, evicted| ReserveDecision { outcome, evicted };
        let Some(reservation) = self.reservations.get(&id).copied() else {
            return decision(ReserveOutcome::Evicted, 0);
        };
        let (part, before) = (reservation.part, reservation.bytes);
        let may_evict = part == MemoryPart::Requests && !is_large(bytes);
        let mut evicted = 0;
        self.subtract(part, before);
        while bytes > before && !self.has_room(part, bytes) {
            let stalled = may_evict.then(|| self.most_stalled(id, now_ms)).flatten();
            let Some(stalled) = stalled else {
                self.add(part, before);
                return decision(ReserveOutcome::NoRoom, evicted);
            };
            self.close(stalled);
            evicted += 1;
        }
        self.add(part, bytes);
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.bytes = bytes;
        }
        decision(ReserveOutcome::Granted, evicted)
    }

    /// Records that bytes of a body have arrived.
    pub fn record_progress(&mut self, id: ReservationId, now_ms: u64) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.progress_ms = reservation.progress_ms.map(|_| now_ms);
        }
    }

    /// Records that a body is complete, so that it is not evicted any more; returns whether it has
    /// not been evicted before.
    pub fn complete(&mut self, id: ReservationId) -> bool {
        let reservation = self.reservations.get_mut(&id);
        reservation
            .map(|reservation| reservation.progress_ms = None)
            .is_some()
    }

    /// Whether a body has been evicted or closed.
    pub fn is_closed(&self, id: ReservationId) -> bool {
        !self.reservations.contains_key(&id)
    }

    /// Ends a reservation. Nothing happens if the body was evicted.
    pub fn close(&mut self, id: ReservationId) {
        if let Some(reservation) = self.reservations.remove(&id) {
            self.subtract(reservation.part, reservation.bytes);
        }
    }

    /// Returns the memory that the bodies of a part have reserved.
    pub fn used_bytes(&self, part: MemoryPart) -> usize {
        match part {
            MemoryPart::Requests => self.requests.bytes,
            MemoryPart::Responses => self.responses.bytes,
        }
    }

    fn has_room(&self, part: MemoryPart, bytes: usize) -> bool {
        let limit = self.limits.part(part);
        let used = match part {
            MemoryPart::Requests => self.requests,
            MemoryPart::Responses => self.responses,
        };
        let fits_large = !is_large(bytes) || used.large_bytes + bytes <= limit / 4 * 3;
        fits_large && used.bytes + bytes <= limit
    }

    /// Returns the request that has made no progress for the longest time, if that is long enough.
    fn most_stalled(&self, except: ReservationId, now_ms: u64) -> Option<ReservationId> {
        let stalled = self.reservations.iter().filter_map(|(id, reservation)| {
            let progress_ms = reservation.progress_ms?;
            let is_stalled = now_ms.saturating_sub(progress_ms) >= MIN_STALL_MS;
            let has_memory = reservation.part == MemoryPart::Requests && reservation.bytes > 0;
            (is_stalled && has_memory && *id != except).then_some((progress_ms, *id))
        });
        stalled.min().map(|(_, id)| id)
    }

    fn part_use(&mut self, part: MemoryPart) -> &mut PartUse {
        match part {
            MemoryPart::Requests => &mut self.requests,
            MemoryPart::Responses => &mut self.responses,
        }
    }

    fn add(&mut self, part: MemoryPart, bytes: usize) {
        let used = self.part_use(part);
        used.bytes += bytes;
        used.large_bytes += if is_large(bytes) { bytes } else { 0 };
    }

    fn subtract(&mut self, part: MemoryPart, bytes: usize) {
        let used = self.part_use(part);
        used.bytes -= bytes;
        used.large_bytes -= if is_large(bytes) { bytes } else { 0 };
    }
}

fn is_large(bytes: usize) -> bool {
    bytes > LARGE_BYTES
}
