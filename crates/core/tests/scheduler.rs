//! Which daemon places prompts, without a network.

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

fn first(candidates: &[SchedulerCandidate], part: u64, standing: &SchedulerHealth) -> u64 {
    let mut order = scheduler::preference_order(candidates, part, standing, 0);
    order.next().expect("a scheduler")
}

/// Guards against daemons that disagree because they learned of each other in another order.
#[test]
fn all_daemons_agree_on_the_scheduler_of_a_prompt() {
    let candidates = ranked(200, |name| 120 + (name as u32 % 3));
    let mut shuffled: Vec<_> = candidates.iter().rev().copied().collect();
    scheduler::rank(&mut shuffled);
    let standing = SchedulerHealth::default();
    for part in 0..500 {
        let expected = first(&candidates, part, &standing);
        assert_eq!(first(&shuffled, part, &standing), expected);
    }
}

/// Guards against placing for the whole fleet on the smallest hosts, or by a daemon that has just
/// started and knows nothing of the engines' memory.
#[test]
fn large_hosts_that_run_for_a_while_place() {
    let mut candidates = ranked(69, |name| if name % 10 == 0 { 500 } else { 120 });
    assert!(
        candidates[..7]
            .iter()
            .all(|first| first.capacity_millicores == 500)
    );
    let best = candidates[0].daemon_hash;
    candidates[0].is_warm = false;
    scheduler::rank(&mut candidates);
    assert_ne!(candidates[0].daemon_hash, best);
    assert_eq!(candidates.last().expect("a candidate").daemon_hash, best);
}

/// Guards against one scheduler for any number of daemons.
#[test]
fn schedulers_share_the_prompts_of_large_fleets() {
    assert_eq!([7, 69, 300].map(scheduler::scheduler_count), [1, 1, 4]);
    let candidates = ranked(300, |_| 120);
    let standing = SchedulerHealth::default();
    let mut shares = std::collections::HashMap::new();
    for part in 0..4_000 {
        *shares
            .entry(first(&candidates, part, &standing))
            .or_insert(0) += 1;
    }
    assert_eq!(shares.len(), 4);
    assert!(shares.values().all(|share| *share > 700), "{shares:?}");
}

/// Guards against asking a daemon that is down for every request, and against giving one up for a
/// lost datagram.
#[test]
fn a_silent_scheduler_is_replaced_by_an_informed_one() {
    let candidates = ranked(69, |_| 120);
    let mut standing = SchedulerHealth::default();
    let lost = candidates[0].daemon_hash;
    assert!(!standing.record_timeout(lost, 0));
    assert_eq!(first(&candidates, 5, &standing), lost);
    assert!(standing.record_timeout(lost, 0));
    let next = first(&candidates, 5, &standing);
    let informed = scheduler::informed_count(candidates.len());
    let position = candidates
        .iter()
        .position(|candidate| candidate.daemon_hash == next);
    assert!((1..informed).contains(&position.expect("a known daemon")));
    // It is asked again after a second, and avoided for longer when it stays silent.
    assert!(standing.is_available(lost, 1_000));
    assert!(standing.record_timeout(lost, 1_000));
    assert!(!standing.is_available(lost, 2_500));
    assert!(standing.record_answer(lost));
    assert!(standing.is_available(lost, 2_500));
}

/// Guards against a scheduler on a small host that reads what a thousand engines hold while questions
/// wait: a restart of all took 8.5 s in place of 1 s at 100 hosts.
#[test]
fn a_small_host_reads_what_it_can_afford() {
    assert_eq!(scheduler::engines_to_read(500, 140), 140);
    assert_eq!(scheduler::engines_to_read(250, 12), 12);
    assert_eq!(scheduler::engines_to_read(120, 1_000), 120);
}
