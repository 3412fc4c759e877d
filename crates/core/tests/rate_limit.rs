//! Rate limits of targets: values, the order of statements, and grants over a fleet.

use acaciabank_core::{
    rate_limit::{
        AnswerTimes, GRANT_TTL_MS, GrantAnswer, GrantRequest, GrantTable, LimitChange, LimitRecord,
        LimitTable, RateLimit, granted_share,
    },
    target_signal::{SignalFault, TargetSignals},
};
use rand::{RngExt, SeedableRng, rngs};

const TARGET: u64 = 7;
/// Length of the windows in which requests are counted (users' rule).
const WINDOW_MS: u64 = 4_000;

fn limit(text: &str) -> RateLimit {
    RateLimit::parse(text).expect("a limit")
}

fn answer(sent_ms: u64, received_ms: u64) -> AnswerTimes {
    AnswerTimes {
        sent_ms,
        received_ms,
    }
}

/// Guards against a malformed limit that is taken for one, or dropped unnoticed.
#[test]
fn malformed_limits_name_none_and_are_reported() {
    let cases = [
        (vec!["4.8"], Some(4.8), None),
        (vec![" 0.4 "], Some(0.4), None),
        (vec!["0"], Some(0.0), None),
        (vec!["3."], Some(3.0), None),
        (vec![""], None, Some(SignalFault::Empty)),
        (vec!["-1"], None, Some(SignalFault::Unreadable)),
        (vec!["1e308"], None, Some(SignalFault::Unreadable)),
        (vec!["inf"], None, Some(SignalFault::Unreadable)),
        (vec!["1.2.3"], None, Some(SignalFault::Unreadable)),
        (vec!["many"], None, Some(SignalFault::Unreadable)),
        (vec!["5", "2"], Some(2.0), Some(SignalFault::Repeated)),
        (vec!["2", "5"], Some(2.0), Some(SignalFault::Repeated)),
        (vec!["2", "-5"], Some(2.0), Some(SignalFault::Unreadable)),
    ];
    for (values, per_s, fault) in cases {
        let mut signals = TargetSignals::default();
        values.iter().for_each(|value| signals.add_limit(value));
        assert_eq!(signals.limit.map(RateLimit::per_s), per_s, "{values:?}");
        assert_eq!(signals.fault, fault, "{values:?}");
    }
}

/// Guards against a limit beyond any load that breaks the arithmetic of its bucket.
#[test]
fn a_huge_limit_does_not_bind() {
    let huge = limit("999999999999999999999999");
    let mut table = GrantTable::default();
    let request = |id| GrantRequest {
        id,
        target_hash: TARGET,
        priority: 5,
        team: None,
    };
    table.decide(&request(0), huge, 1.0, 0);
    for id in 1..1_000 {
        assert_eq!(
            table.decide(&request(id), huge, 1.0, id),
            GrantAnswer::Granted
        );
    }
}

/// Guards against a late response that lifts or raises a limit which was named after it.
#[test]
fn late_responses_lift_no_limit() {
    let mut table = LimitTable::default();
    assert_eq!(
        table.record_answer(TARGET, None, answer(0, 5)),
        LimitChange::Unchanged
    );
    let named = table.record_answer(TARGET, Some(limit("4")), answer(10, 100));
    assert_eq!(named, LimitChange::Named(limit("4")));
    for relaxed in [None, Some(limit("9"))] {
        let change = table.record_answer(TARGET, relaxed, answer(90, 200));
        assert_eq!(change, LimitChange::Unchanged, "{relaxed:?}");
    }
    let lower = table.record_answer(TARGET, Some(limit("2")), answer(20, 210));
    assert_eq!(lower, LimitChange::Changed(limit("2")));
    let higher = table.record_answer(TARGET, Some(limit("3")), answer(211, 220));
    assert_eq!(higher, LimitChange::Changed(limit("3")));
    let ended = table.record_answer(TARGET, None, answer(230, 240));
    assert_eq!(ended, LimitChange::Ended);
    assert_eq!(table.limit_of(TARGET), None);
}

/// Guards against a report of another daemon that brings back a limit that has ended, and against
/// daemons that repeat each other's reports for ever.
#[test]
fn reports_are_ordered_and_repeated_by_their_source_alone() {
    let mut table = LimitTable::default();
    let record = |limit, stated_ms| LimitRecord { limit, stated_ms };
    let two = Some(limit("2"));
    assert_eq!(
        table.merge(TARGET, record(two, 100)),
        LimitChange::Named(limit("2"))
    );
    assert_eq!(table.own_records().count(), 0);
    assert_eq!(
        table.record_answer(TARGET, None, answer(150, 160)),
        LimitChange::Ended
    );
    assert_eq!(
        table.merge(TARGET, record(two, 149)),
        LimitChange::Unchanged
    );
    let own: Vec<_> = table.own_records().collect();
    assert_eq!(own, [(TARGET, record(None, 150))]);
    assert_eq!(
        table.merge(TARGET, record(two, 170)),
        LimitChange::Named(limit("2"))
    );
    assert_eq!(table.own_records().count(), 0);
}

/// Guards against limits that are kept for ever, or forgotten while the target is quiet.
#[test]
fn limits_are_kept_while_their_target_is_listed() {
    let mut table = LimitTable::default();
    table.record_answer(TARGET, Some(limit("2")), answer(0, 10));
    table.record_answer(TARGET + 1, Some(limit("2")), answer(0, 10));
    table.expire(600_000, |hash| hash == TARGET);
    assert!(table.limit_of(TARGET).is_some());
    assert_eq!(table.limit_of(TARGET + 1), None);
    table.record_answer(TARGET, None, answer(600_000, 600_010));
    table.expire(620_000, |_| true);
    assert!(table.is_empty());
}

/// A daemon that asks for grants, and the times at which it got some.
struct Fleet {
    granters: [GrantTable; 2],
    next_id: u64,
    granted: Vec<u64>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            granters: [GrantTable::default(), GrantTable::default()],
            next_id: 0,
            granted: Vec::new(),
        }
    }

    fn ask(&mut self, granter: usize, per_s: RateLimit, now_ms: u64) -> GrantAnswer {
        self.ask_for(granter, per_s, 0, None, now_ms)
    }

    fn ask_for(
        &mut self,
        granter: usize,
        per_s: RateLimit,
        priority: u8,
        team: Option<u64>,
        now_ms: u64,
    ) -> GrantAnswer {
        self.next_id += 1;
        let request = GrantRequest {
            id: self.next_id,
            target_hash: TARGET,
            priority,
            team,
        };
        let answer = self.granters[granter].decide(&request, per_s, 1.0, now_ms);
        if answer == GrantAnswer::Granted {
            self.granted.push(now_ms);
        }
        answer
    }

    fn worst_window(&self) -> usize {
        let times = &self.granted;
        let windows = times.iter().enumerate().map(|(first, start_ms)| {
            times.partition_point(|time| *time < start_ms + WINDOW_MS) - first
        });
        windows.max().unwrap_or(0)
    }
}

/// Returns the largest number of requests in a window (users' rule).
fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * (WINDOW_MS as f64 / 1_000.0) + 5.0
}

/// Guards against a sum over the fleet that exceeds the limit, with idle times, crowds, requests that
/// are written as late as their grant allows, and two daemons that grant at the same time for as long
/// as a report takes; and against limits that are used in part only.
#[test]
fn grants_keep_the_limit_and_use_it() {
    for seed in 0..200 {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let per_s = [0.4, 1.3, 3.1, 4.8, 8.0, 40.0][rng.random_range(0..6)];
        let rate = limit(&per_s.to_string());
        let mut fleet = Fleet::new();
        let change_ms = rng.random_range(5_000..30_000);
        let overlap_ms = rng.random_range(0..500);
        let idle_ms = rng.random_range(0..40_000);
        for now_ms in (0..60_000).step_by(10) {
            if (idle_ms..idle_ms + 6_000).contains(&now_ms) {
                continue;
            }
            for granter in 0..2 {
                let is_asked = match granter {
                    0 => now_ms < change_ms + overlap_ms,
                    _ => now_ms >= change_ms,
                };
                if is_asked {
                    fleet.ask(granter, rate, now_ms);
                }
            }
        }
        for time in &mut fleet.granted {
            *time += rng.random_range(0..GRANT_TTL_MS);
        }
        fleet.granted.sort_unstable();
        let worst = fleet.worst_window();
        let allowed = allowed(per_s);
        assert!(
            worst as f64 <= allowed,
            "seed {seed}: {worst} of {allowed} at {per_s}"
        );
        let busy_s = 60.0 - 6.0;
        let used = fleet.granted.len() as f64;
        assert!(
            used + 2.0 >= 0.9 * per_s * busy_s,
            "seed {seed}: {used} at {per_s}"
        );
    }
}

/// Guards against two parts of a fleet that both grant whole limits, and against a fleet with hosts
/// that are gone for good which does not use its limits.
#[test]
fn a_part_of_the_fleet_grants_its_share() {
    assert_eq!(granted_share(9, 9), 1.0);
    assert_eq!(granted_share(5, 9), 1.0);
    assert_eq!(granted_share(3, 9), 3.0 / 9.0);
    // A daemon that has just started may not have read the list.
    assert_eq!(granted_share(7, 1), 1.0);
    for registered in 2..300 {
        let smaller = granted_share(registered / 2, registered);
        let larger = granted_share(registered - registered / 2, registered);
        assert!(smaller + larger <= 1.5, "{registered}");
    }
}

/// Guards against a repeated question that takes a second grant.
#[test]
fn a_repeated_question_gets_the_same_answer() {
    let mut table = GrantTable::default();
    let request = GrantRequest {
        id: 1,
        target_hash: TARGET,
        priority: 0,
        team: None,
    };
    let rate = limit("2");
    assert!(matches!(
        table.decide(&request, rate, 1.0, 0),
        GrantAnswer::Denied { .. }
    ));
    let other = |id| GrantRequest { id, ..request };
    assert_eq!(
        table.decide(&other(2), rate, 1.0, 500),
        GrantAnswer::Granted
    );
    assert_eq!(
        table.decide(&other(2), rate, 1.0, 540),
        GrantAnswer::Granted
    );
    assert!(matches!(
        table.decide(&other(3), rate, 1.0, 540),
        GrantAnswer::Denied { .. }
    ));
}

/// Guards against less urgent requests that take the limit from urgent ones.
#[test]
fn urgent_requests_come_first() {
    let mut fleet = Fleet::new();
    let mut granted = [0, 0];
    for now_ms in (0..60_000).step_by(25) {
        // The less urgent request always asks first.
        for (index, priority) in [(1, 3), (0, 0)] {
            let answer = fleet.ask_for(0, limit("4"), priority, None, now_ms);
            granted[index] += usize::from(answer == GrantAnswer::Granted);
        }
    }
    assert!(granted[0] > 20 * granted[1].max(1), "{granted:?}");
}

/// Guards against a limit that is not used because only less urgent requests come.
#[test]
fn requests_that_are_not_urgent_may_use_the_whole_limit() {
    let mut fleet = Fleet::new();
    for now_ms in (0..60_000).step_by(25) {
        fleet.ask_for(0, limit("4"), 9, None, now_ms);
    }
    assert!(fleet.granted.len() >= 230, "{}", fleet.granted.len());
}

/// Guards against a team with many requests that takes the limit from one with few.
#[test]
fn teams_get_equal_parts_of_a_limit() {
    let mut fleet = Fleet::new();
    let mut granted = [0, 0];
    for now_ms in (0..120_000).step_by(20) {
        for ask in 0..6 {
            let team = usize::from(ask == 5);
            let answer = fleet.ask_for(0, limit("4"), 1, Some(team as u64), now_ms);
            granted[team] += usize::from(answer == GrantAnswer::Granted);
        }
    }
    assert!(2 * granted[1] > granted[0], "{granted:?}");
}

/// Guards against callers that are all told to return at the time of the next grant.
#[test]
fn callers_return_later_if_many_were_denied() {
    let mut fleet = Fleet::new();
    let return_in_ms = |answer| match answer {
        GrantAnswer::Denied { return_in_ms, .. } => return_in_ms,
        GrantAnswer::Granted | GrantAnswer::NotGranter => 0,
    };
    let first = return_in_ms(fleet.ask(0, limit("4"), 0));
    assert_eq!(first, 250);
    for _ in 0..8 {
        fleet.ask(0, limit("4"), 0);
    }
    let last = return_in_ms(fleet.ask(0, limit("4"), 0));
    assert!((2_000..=5_000).contains(&last), "{last}");
}
