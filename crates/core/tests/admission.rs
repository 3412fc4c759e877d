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

/// Guards against running a request again that has crashed two targets, the second one while it ran
/// alone, and against suspicions that never expire.
#[test]
fn a_crash_isolates_a_request_and_that_of_its_trial_refuses_it() {
    let mut table = suspect::SuspectTable::default();
    table.record_crash(&[5], 1, 0, 10);
    assert_eq!(table.status(&[5], 11), suspect::SuspectStatus::Isolated);
    table.record_crash(&[5], 1, 5, 10);
    assert_eq!(table.status(&[5], 11), suspect::SuspectStatus::Isolated);
    table.record_trial_crash(&[5], 2, 20, 30);
    assert_eq!(table.status(&[5], 31), suspect::SuspectStatus::Refused);
    let later = 30 + suspect::SUSPECT_LIFETIME_MS;
    assert_eq!(table.status(&[5], later), suspect::SuspectStatus::Clear);
}

/// Guards against counting a crash twice that two daemons have seen, and against counting crashes
/// of different targets only once when different daemons have seen them.
#[test]
fn crashes_reported_by_daemons_add_up_by_target() {
    let record = |target_hash, age_ms| suspect::CrashRecord {
        id: u64::from(target_hash),
        keys: vec![5],
        target_hash,
        age_ms,
        in_flight_ms: 20,
        is_trial: target_hash == 2,
    };
    let mut table = suspect::SuspectTable::default();
    table.record_crash(&[5], 1, 9_980, 10_000);
    table.merge_crash(&record(1, 200), 10_100);
    assert_eq!(table.status(&[5], 10_100), suspect::SuspectStatus::Isolated);
    table.merge_crash(&record(2, 50), 10_100);
    assert_eq!(table.status(&[5], 10_100), suspect::SuspectStatus::Refused);
    let records = table.export_crashes(10_100);
    let own = suspect::CrashRecord {
        id: records[1].id,
        ..record(1, 100)
    };
    assert_eq!(records, [record(2, 50), own]);
    let mut other = suspect::SuspectTable::default();
    for record in &records {
        other.merge_crash(record, 500_000);
    }
    assert_eq!(other.status(&[5], 500_000), suspect::SuspectStatus::Refused);
}

/// Guards against refusing a sound request that was in flight in crashes, whether at one moment, one
/// after the other or at a target that crashes again and again: an answer in between shows that it
/// is sound.
#[test]
fn a_request_that_is_answered_between_crashes_is_not_refused() {
    for targets_at_once in 1..5 {
        for pause_ms in [50, 700, 5_000, 60_000] {
            let mut table = suspect::SuspectTable::default();
            for number in 1..10 {
                let crash_ms = 10_000 + number * pause_ms;
                for target in 0..targets_at_once {
                    table.record_crash(&[5], target, crash_ms - 40, crash_ms);
                }
                let status = table.status(&[5], crash_ms + 5);
                assert_ne!(status, suspect::SuspectStatus::Refused, "{pause_ms} ms");
                table.record_answer(&[5], crash_ms + 10);
                let status = table.status(&[5], crash_ms + 10);
                assert_eq!(status, suspect::SuspectStatus::Clear, "{pause_ms} ms");
            }
        }
    }
}
