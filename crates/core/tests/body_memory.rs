//! Tests of the decisions on the memory of bodies.

use acaciabank_core::body_memory::{
    LARGE_BYTES, MIN_STALL_MS, MemoryLedger, MemoryLimits, MemoryPart, ReservationId,
    ReserveOutcome,
};

const MIB: usize = 1 << 20;
const LIMITS: MemoryLimits = MemoryLimits {
    request_bytes: 16 * MIB,
    response_bytes: 16 * MIB,
};

fn reserve(
    ledger: &mut MemoryLedger,
    bytes: usize,
    now_ms: u64,
) -> (ReservationId, ReserveOutcome) {
    let id = ledger.open(MemoryPart::Requests, now_ms);
    let decision = ledger.resize(id, bytes, now_ms);
    (id, decision.outcome)
}

/// Fills the whole part with small bodies; returns their ids.
fn fill(ledger: &mut MemoryLedger, now_ms: u64) -> Vec<ReservationId> {
    let bodies = (0..LIMITS.request_bytes / LARGE_BYTES).map(|_| {
        let (id, outcome) = reserve(ledger, LARGE_BYTES, now_ms);
        assert_eq!(outcome, ReserveOutcome::Granted);
        id
    });
    bodies.collect()
}

/// Guards against large bodies that take the room of small ones.
#[test]
fn large_bodies_leave_a_quarter_to_small_ones() {
    let mut ledger = MemoryLedger::new(LIMITS);
    for _ in 0..3 {
        let (_, outcome) = reserve(&mut ledger, 4 * MIB, 0);
        assert_eq!(outcome, ReserveOutcome::Granted);
    }
    let (refused, outcome) = reserve(&mut ledger, 4 * MIB, 0);
    assert_eq!(outcome, ReserveOutcome::NoRoom);
    assert!(!ledger.is_closed(refused));
    let (_, outcome) = reserve(&mut ledger, LARGE_BYTES, 0);
    assert_eq!(outcome, ReserveOutcome::Granted);
    assert_eq!(
        ledger.used_bytes(MemoryPart::Requests),
        12 * MIB + LARGE_BYTES
    );
}

/// Guards against a body that grows past the large ones' share in small steps.
#[test]
fn a_body_that_grows_large_counts_as_large() {
    let mut ledger = MemoryLedger::new(LIMITS);
    for _ in 0..2 {
        reserve(&mut ledger, 5 * MIB, 0);
    }
    let (id, _) = reserve(&mut ledger, LARGE_BYTES, 0);
    assert_eq!(
        ledger.resize(id, 2 * MIB, 0).outcome,
        ReserveOutcome::Granted
    );
    let outcome = ledger.resize(id, 2 * MIB + 1, 0).outcome;
    assert_eq!(outcome, ReserveOutcome::NoRoom);
    assert_eq!(ledger.resize(id, 100, 0).outcome, ReserveOutcome::Granted);
    assert_eq!(ledger.used_bytes(MemoryPart::Requests), 10 * MIB + 100);
}

/// Guards against memory that is lost when bodies end.
#[test]
fn closed_reservations_give_their_memory_back() {
    let mut ledger = MemoryLedger::new(LIMITS);
    let bodies = fill(&mut ledger, 0);
    assert_eq!(reserve(&mut ledger, 1, 0).1, ReserveOutcome::NoRoom);
    bodies.into_iter().for_each(|id| ledger.close(id));
    assert_eq!(ledger.used_bytes(MemoryPart::Requests), 0);
    assert_eq!(reserve(&mut ledger, 12 * MIB, 0).1, ReserveOutcome::Granted);
}

/// Guards against stalled bodies that keep small ones out.
#[test]
fn a_small_body_replaces_the_one_that_stalled_first() {
    let mut ledger = MemoryLedger::new(LIMITS);
    let bodies = fill(&mut ledger, 0);
    for id in &bodies[..bodies.len() - 1] {
        ledger.record_progress(*id, 500);
    }
    let stalled = bodies[bodies.len() - 1];
    let id = ledger.open(MemoryPart::Requests, MIN_STALL_MS - 1);
    let early = ledger.resize(id, 100, MIN_STALL_MS - 1);
    assert_eq!((early.outcome, early.evicted), (ReserveOutcome::NoRoom, 0));
    let late = ledger.resize(id, 100, MIN_STALL_MS);
    assert_eq!((late.outcome, late.evicted), (ReserveOutcome::Granted, 1));
    assert!(ledger.is_closed(stalled));
    assert_eq!(
        ledger.resize(stalled, 1, MIN_STALL_MS).outcome,
        ReserveOutcome::Evicted
    );
    assert!(!ledger.complete(stalled));
}

/// Guards against the eviction of a request that may run, and of one by a large body.
#[test]
fn complete_bodies_stay_and_large_ones_evict_none() {
    let mut ledger = MemoryLedger::new(LIMITS);
    let bodies = fill(&mut ledger, 0);
    let now_ms = 10 * MIN_STALL_MS;
    assert_eq!(reserve(&mut ledger, MIB, now_ms).1, ReserveOutcome::NoRoom);
    assert!(bodies.iter().all(|id| ledger.complete(*id)));
    assert_eq!(reserve(&mut ledger, 100, now_ms).1, ReserveOutcome::NoRoom);
}

/// Guards against requests that keep responses out.
#[test]
fn responses_have_their_own_part() {
    let mut ledger = MemoryLedger::new(LIMITS);
    fill(&mut ledger, 0);
    let id = ledger.open(MemoryPart::Responses, 0);
    assert_eq!(
        ledger.resize(id, 12 * MIB, 0).outcome,
        ReserveOutcome::Granted
    );
    assert_eq!(ledger.used_bytes(MemoryPart::Responses), 12 * MIB);
}
