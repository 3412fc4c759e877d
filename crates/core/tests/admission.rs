//! Tests of the wait queue, fair sharing, the retry budget, the piece index and crash suspects.

use std::time::{Duration, Instant};

use acaciabank_core::{admit, budget, cache, suspect};
use acaciabank_protocol::{ids, wire::Priority};

/// Guards against a batch request with an early deadline overtaking more urgent requests.
#[test]
fn queue_orders_by_priority_then_deadline() {
    let start = Instant::now();
    let mut queue = admit::WaitQueue::default();
    let entries = [
        (Priority::Batch, 1),
        (Priority::Normal, 9),
        (Priority::Urgent, 8),
        (Priority::Normal, 5),
    ];
    for (arrival, (priority, seconds)) in entries.into_iter().enumerate() {
        let ticket = admit::QueueTicket {
            priority,
            deadline: start + Duration::from_secs(seconds),
            arrival: arrival as u64,
        };
        queue.push(ticket, arrival);
    }
    let served: Vec<_> = std::iter::from_fn(|| queue.pop())
        .map(|(_, item)| item)
        .collect();
    assert_eq!(served, [2, 3, 1, 0]);
}

/// Guards against one team occupying all slots, and against limiting a team that is alone.
#[test]
fn share_is_weighted_among_active_teams() {
    let (large, small) = (ids::TeamId::new("large"), ids::TeamId::new("small"));
    let weight = |team: &ids::TeamId| if team.as_str() == "large" { 3 } else { 1 };
    let mut share = admit::FairShare::default();
    for _ in 0..10 {
        share.enter(&small);
    }
    assert!(!share.exceeds_share(&small, 4, weight));
    share.enter(&large);
    assert!(share.exceeds_share(&small, 8, weight));
    assert!(!share.exceeds_share(&large, 8, weight));
}

/// Guards against an unbounded number of retries when all requests fail.
#[test]
fn retries_stay_within_their_share() {
    let mut budget = budget::RetryBudget::new(10);
    while budget.try_spend() {}
    let spent = (0..1_000)
        .filter(|_| {
            budget.record_request();
            budget.try_spend()
        })
        .count();
    assert_eq!(spent, 100);
}

/// Guards against matches that continue after a missing piece, survive a reset or never expire.
#[test]
fn prefix_match_ends_at_first_missing_piece() {
    let mut index = cache::PieceIndex::default();
    for piece in [1, 2, 4] {
        index.store(7, piece, 0);
    }
    index.store(9, 1, 0);
    let mut matches = Vec::new();
    index.find(&[1, 2, 3, 4], 10, &mut matches);
    assert_eq!(cache::matched_pieces(&matches, 7), 2);
    assert_eq!(cache::matched_pieces(&matches, 9), 1);
    index.reset(7);
    index.find(&[1, 2], 10, &mut matches);
    assert_eq!(cache::matched_pieces(&matches, 7), 0);
    index.find(&[1], cache::ENTRY_LIFETIME_MS, &mut matches);
    assert!(matches.is_empty());
}

/// Guards against running a request again that has crashed two targets, and against suspicions that
/// never expire.
#[test]
fn two_crashes_refuse_a_fingerprint_until_it_expires() {
    let mut table = suspect::SuspectTable::default();
    table.record_crash(5, 1, 0);
    assert_eq!(table.status(5, 1), suspect::SuspectStatus::Isolated);
    table.record_crash(5, 1, 10);
    assert_eq!(table.status(5, 10), suspect::SuspectStatus::Isolated);
    table.record_crash(5, 2, 10);
    assert_eq!(table.status(5, 11), suspect::SuspectStatus::Refused);
    let later = 10 + suspect::SUSPECT_LIFETIME_MS;
    assert_eq!(table.status(5, later), suspect::SuspectStatus::Clear);
}

/// Guards against counting a crash twice that two daemons have seen, and against counting crashes
/// of different targets only once when different daemons have seen them.
#[test]
fn crashes_reported_by_daemons_add_up_by_target() {
    let record = |target_hash, age_ms| suspect::SuspectRecord {
        fingerprint: 5,
        target_hash,
        age_ms,
    };
    let mut table = suspect::SuspectTable::default();
    table.record_crash(5, 1, 10_000);
    table.merge(record(1, 200), 10_100);
    assert_eq!(table.status(5, 10_100), suspect::SuspectStatus::Isolated);
    table.merge(record(2, 50), 10_100);
    assert_eq!(table.status(5, 10_100), suspect::SuspectStatus::Refused);
    let records = table.export(10_100);
    assert_eq!(records, [record(1, 100), record(2, 50)]);
    let mut other = suspect::SuspectTable::default();
    for record in records {
        other.merge(record, 500_000);
    }
    assert_eq!(other.status(5, 500_000), suspect::SuspectStatus::Refused);
}
