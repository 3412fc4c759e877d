//! Selection of schedulers, without a network.

use acaciabank_core::scheduler::{self, SchedulerCandidate, SchedulerHealth};

fn ranked(hosts: u64, capacity: impl Fn(u64) -> u32) -> Vec<SchedulerCandidate> {
    let mut candidates: Vec<_> = (0..hosts)
        .map(|daemon_hash| SchedulerCandidate {
            daemon_hash,
            capacity_millicores: capacity(daemon_hash),
            is_warm: true,
        })
        .collect();
    scheduler::rank(&mut candidates);
    candidates
}

fn preferred(candidates: &[SchedulerCandidate], part_key: u64, health: &SchedulerHealth) -> u64 {
    let mut order = scheduler::preference_order(candidates, part_key, health, 0);
    order.next().expect("a scheduler")
}

/// Guards against daemons that disagree on a scheduler because they learned of each other in a
/// different order.
#[test]
fn all_daemons_agree_on_the_scheduler_of_a_prompt() {
    let candidates = ranked(200, |name| 120 + (name as u32 % 3));
    let mut reordered: Vec<_> = candidates.iter().rev().copied().collect();
    scheduler::rank(&mut reordered);
    let health = SchedulerHealth::default();
    for part_key in 0..500 {
        let expected = preferred(&candidates, part_key, &health);
        assert_eq!(preferred(&reordered, part_key, &health), expected);
    }
}

/// Guards against a scheduler on one of the smallest hosts, and against one that has just started
/// and does not know what the engines have cached.
#[test]
fn large_hosts_with_warm_daemons_are_preferred() {
    let mut candidates = ranked(69, |name| if name % 10 == 0 { 500 } else { 120 });
    assert!(
        candidates[..7]
            .iter()
            .all(|first| first.capacity_millicores == 500)
    );
    let best_hash = candidates[0].daemon_hash;
    candidates[0].is_warm = false;
    scheduler::rank(&mut candidates);
    assert_ne!(candidates[0].daemon_hash, best_hash);
    assert_eq!(
        candidates.last().expect("a candidate").daemon_hash,
        best_hash
    );
}

/// Guards against a single scheduler for any number of daemons, which it could not serve.
#[test]
fn several_schedulers_share_the_prompts_of_large_fleets() {
    assert_eq!([7, 69, 300].map(scheduler::scheduler_count), [1, 1, 4]);
    let candidates = ranked(300, |_| 120);
    let health = SchedulerHealth::default();
    let mut shares = std::collections::HashMap::new();
    for part_key in 0..4_000 {
        *shares
            .entry(preferred(&candidates, part_key, &health))
            .or_insert(0) += 1;
    }
    assert_eq!(shares.len(), 4);
    assert!(shares.values().all(|share| *share > 700), "{shares:?}");
}

/// Guards against asking a crashed scheduler for every prompt, and against avoiding one after a
/// single lost datagram.
#[test]
fn an_unresponsive_scheduler_is_replaced_by_its_standby() {
    let candidates = ranked(69, |_| 120);
    let mut health = SchedulerHealth::default();
    let unresponsive = candidates[0].daemon_hash;
    assert!(!health.record_timeout(unresponsive, 0));
    assert_eq!(preferred(&candidates, 5, &health), unresponsive);
    assert!(health.record_timeout(unresponsive, 0));
    let standby = preferred(&candidates, 5, &health);
    let informed = scheduler::informed_count(candidates.len());
    let position = candidates
        .iter()
        .position(|candidate| candidate.daemon_hash == standby);
    assert!((1..informed).contains(&position.expect("a known daemon")));
    // It is available again after a second, and avoided for longer after a further timeout.
    assert!(health.is_available(unresponsive, 1_000));
    assert!(health.record_timeout(unresponsive, 1_000));
    assert!(!health.is_available(unresponsive, 2_500));
    assert!(health.record_response(unresponsive));
    assert!(health.is_available(unresponsive, 2_500));
}

/// Guards against a scheduler on a small host that reads the cached parts of a thousand engines
/// while placement requests wait: with it, a restart of all daemons on 100 hosts took 8.5 s instead
/// of 1 s.
#[test]
fn a_small_host_reads_a_limited_number_of_engines() {
    assert_eq!(scheduler::engines_to_read(500, 140), 140);
    assert_eq!(scheduler::engines_to_read(250, 12), 12);
    assert_eq!(scheduler::engines_to_read(120, 1_000), 120);
}
