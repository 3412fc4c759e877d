//! Control of the load on engines and targets: stage changes, load shedding, outlier detection and
//! the shared retry budget.

use acaciabank_core::{budget, load_shed, outlier, placement::EngineStage, stage_planner};

fn engine(target_hash: u64, stage: EngineStage) -> stage_planner::EngineStatus {
    stage_planner::EngineStatus {
        target_hash,
        zone_hash: target_hash % 3,
        stage,
        is_switching: false,
        is_reachable: true,
        running: 0,
        slots: 64,
        backlog_tokens: 0,
        changed_ms: None,
    }
}

fn fleet(prefills: u64, decodes: u64) -> Vec<stage_planner::EngineStatus> {
    let prefill = (0..prefills).map(|target_hash| engine(target_hash, EngineStage::Prefill));
    let decode =
        (prefills..prefills + decodes).map(|target_hash| engine(target_hash, EngineStage::Decode));
    prefill.chain(decode).collect()
}

/// Simulates 200 planning rounds and returns the number of changes. A change takes six rounds.
fn run_rounds(engines: &mut [stage_planner::EngineStatus]) -> u32 {
    let mut planner = stage_planner::StagePlanner::default();
    let mut changes = 0;
    let mut in_progress: Vec<(u64, stage_planner::StageChange)> = Vec::new();
    for round in 0..200 {
        let now_ms = round * 500;
        in_progress.retain(|(done_ms, change)| {
            let engine = engines
                .iter_mut()
                .find(|engine| engine.target_hash == change.target_hash);
            if let Some(engine) = engine.filter(|_| *done_ms <= now_ms) {
                engine.is_switching = false;
            }
            *done_ms > now_ms
        });
        for change in planner.next_changes(now_ms, engines) {
            let engine = engines
                .iter_mut()
                .find(|engine| engine.target_hash == change.target_hash);
            let engine = engine.expect("an engine");
            engine.is_switching = true;
            engine.stage = change.to;
            engine.changed_ms = Some(now_ms);
            in_progress.push((now_ms + 3_000, change));
            changes += 1;
        }
    }
    changes
}

/// Guards against more changes than needed, and against a zone without a decode engine.
#[test]
fn idle_engines_take_the_default_shares_with_the_fewest_changes() {
    let mut engines = fleet(4, 8);
    assert_eq!(run_rounds(&mut engines), 4);
    let decodes = engines
        .iter()
        .filter(|engine| engine.stage == EngineStage::Decode);
    let zones: std::collections::HashSet<u64> = decodes.map(|engine| engine.zone_hash).collect();
    assert_eq!(
        zones.len(),
        3,
        "every availability zone keeps a decode engine"
    );
}

/// Guards against taking the last decode engines to the other stage while the rest of them is down.
#[test]
fn idle_engines_keep_their_stages_while_others_are_down() {
    let mut engines = fleet(3, 4);
    let is_down = |engine: &&mut stage_planner::EngineStatus| engine.target_hash >= 5;
    for engine in engines.iter_mut().filter(is_down) {
        engine.is_reachable = false;
    }
    let mut planner = stage_planner::StagePlanner::default();
    assert_eq!(planner.next_changes(0, &engines), []);
    for engine in &mut engines {
        engine.is_reachable = true;
    }
    assert_eq!(planner.next_changes(500, &engines).len(), 2);
}

/// Guards against a target that counts as down for longer than it is.
#[test]
fn a_target_is_unreachable_until_it_responds_or_is_removed_from_the_list() {
    let mut detector = outlier::OutlierDetector::default();
    detector.record(outlier::TargetOutcome::Unreachable, 1_000);
    detector.record(outlier::TargetOutcome::Failed, 1_100);
    assert!(detector.is_unreachable(3_000));
    assert!(!detector.is_unreachable(7_000));
    detector.record(outlier::TargetOutcome::Unreachable, 8_000);
    detector.record(outlier::TargetOutcome::Answered, 8_100);
    assert!(!detector.is_unreachable(8_200));
}

/// Guards against a large fleet that takes minutes to reach the default shares: each change takes
/// three seconds, and requests arrive soon after the start.
#[test]
fn a_large_idle_fleet_takes_the_default_shares_within_ten_seconds() {
    let mut engines = fleet(49, 91);
    let mut planner = stage_planner::StagePlanner::default();
    for round in 0..3 {
        let changes = planner.next_changes(round * 3_300, &engines);
        assert!(
            changes.len() <= 28,
            "more than a fifth of the engines change at the same time"
        );
        for change in changes {
            let mut all = engines.iter_mut();
            let engine = all.find(|engine| engine.target_hash == change.target_hash);
            let engine = engine.expect("an engine");
            engine.stage = change.to;
            engine.changed_ms = Some(round * 3_300);
        }
    }
    let prefills = engines
        .iter()
        .filter(|engine| engine.stage == EngineStage::Prefill);
    assert_eq!(prefills.count(), 98);
}

/// Guards against engines that change back and forth while both stages are overloaded.
#[test]
fn an_overload_of_both_stages_changes_nothing() {
    let mut engines = fleet(6, 3);
    for engine in &mut engines {
        engine.running = 60;
        engine.backlog_tokens = 60_000;
    }
    assert_eq!(run_rounds(&mut engines), 0);
}

/// Guards against a change for a short burst of load.
#[test]
fn demand_must_last_before_a_stage_changes() {
    let mut engines = fleet(5, 5);
    engines[..5]
        .iter_mut()
        .for_each(|engine| engine.backlog_tokens = 60_000);
    engines[5..]
        .iter_mut()
        .for_each(|engine| engine.running = 16);
    let mut planner = stage_planner::StagePlanner::default();
    assert_eq!(planner.next_changes(0, &engines), []);
    assert_eq!(planner.next_changes(1_000, &engines), []);
    let changes = planner.next_changes(2_500, &engines);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].to, EngineStage::Prefill);
}

/// Guards against a fleet without a decode engine, which cannot serve any request.
#[test]
fn the_last_engine_of_a_stage_stays() {
    let mut engines = fleet(2, 1);
    engines[..2]
        .iter_mut()
        .for_each(|engine| engine.backlog_tokens = 90_000);
    assert_eq!(run_rounds(&mut engines), 0);
    let mut engines = fleet(3, 0);
    run_rounds(&mut engines);
    assert!(
        engines
            .iter()
            .any(|engine| engine.stage == EngineStage::Decode)
    );
}

fn request(priority: u8) -> load_shed::IntakeRequest {
    load_shed::IntakeRequest {
        target_latency_ms: 1_000,
        priority,
        remaining_ms: 8_000,
        is_retry: false,
    }
}

fn is_accepted(request: &load_shed::IntakeRequest, wait_ms: f64) -> bool {
    load_shed::decide(request, wait_ms, wait_ms + 100.0, 0.5) == load_shed::IntakeDecision::Accept
}

/// Guards against refusing urgent requests at a load at which less urgent ones are accepted.
#[test]
fn less_urgent_requests_are_refused_first() {
    let first_refused_wait = |priority| {
        (0..5_000)
            .step_by(10)
            .find(|wait| !is_accepted(&request(priority), f64::from(*wait)))
    };
    assert!(first_refused_wait(0) > first_refused_wait(1));
    assert!(first_refused_wait(1) > first_refused_wait(2));
}

/// Guards against starving long prompts: only the work of other requests counts.
#[test]
fn the_size_of_the_own_prompt_does_not_count() {
    let decision = load_shed::decide(&request(2), 100.0, 3_000.0, 0.5);
    assert_eq!(decision, load_shed::IntakeDecision::Accept);
}

/// Guards against queueing a request that cannot be answered before its deadline.
#[test]
fn requests_that_cannot_meet_their_deadline_are_refused() {
    let late = load_shed::IntakeRequest {
        remaining_ms: 200,
        ..request(0)
    };
    let decision = load_shed::decide(&late, 0.0, 300.0, 0.5);
    assert!(matches!(decision, load_shed::IntakeDecision::Refuse { .. }));
}

/// Guards against callers that are asked to wait longer than they do, or that all retry at the same
/// time.
#[test]
fn retries_are_spread_within_a_third_of_the_remaining_time() {
    let retries_ms: Vec<u64> = (0..10)
        .filter_map(|step| {
            match load_shed::decide(&request(1), 3_000.0, 3_200.0, f64::from(step) / 10.0) {
                load_shed::IntakeDecision::Refuse { retry_after_ms } => Some(retry_after_ms),
                load_shed::IntakeDecision::Accept => None,
            }
        })
        .collect();
    assert_eq!(retries_ms.len(), 10);
    assert!(
        retries_ms
            .iter()
            .all(|retry_ms| (250..=2_666).contains(retry_ms)),
        "{retries_ms:?}"
    );
}

/// Guards against sending to a target whose health check passes while its requests fail.
#[test]
fn a_target_that_fails_requests_is_avoided_and_tried_again() {
    let mut detector = outlier::OutlierDetector::default();
    (0..3).for_each(|_| detector.record(outlier::TargetOutcome::Failed, 0));
    assert!(!detector.is_available(500));
    assert!(detector.is_available(1_000));
    detector.record(outlier::TargetOutcome::Failed, 1_000);
    assert!(
        !detector.is_available(2_000),
        "a failed trial request must prolong the avoidance"
    );
}

/// Guards against avoiding a target for occasional failures, which every target has.
#[test]
fn a_target_with_occasional_failures_stays_available() {
    let mut detector = outlier::OutlierDetector::default();
    for round in 0..100 {
        let outcome = match round % 7 {
            0 => outlier::TargetOutcome::Failed,
            _ => outlier::TargetOutcome::Answered,
        };
        detector.record(outcome, round * 10);
        assert!(detector.is_available(round * 10), "round {round}");
    }
}

const BUDGET: budget::BudgetLimits = budget::BudgetLimits {
    window_ms: 10_000,
    ratio: 0.2,
    extra: 54.0,
};

/// Guards against daemons whose retries together exceed the budget of the fleet in any window.
#[test]
fn all_daemons_together_stay_within_the_budget_in_every_window() {
    let daemons = 7;
    let mut budgets = vec![budget::WindowBudget::default(); daemons];
    let mut requests: Vec<u64> = Vec::new();
    let mut retries: Vec<u64> = Vec::new();
    for now_ms in (0..40_000).step_by(10) {
        let own = (now_ms / 10) as usize % daemons;
        let load = if (15_000..20_000).contains(&now_ms) {
            1
        } else {
            2
        };
        for _ in 0..load {
            requests.push(now_ms);
            budgets[own].record_request(&BUDGET, now_ms);
        }
        while budgets[own].try_spend(&BUDGET, 1.0 / daemons as f64, now_ms) {
            retries.push(now_ms);
        }
    }
    for start in (0..30_000).step_by(100) {
        let within = |times: &[u64]| {
            times
                .iter()
                .filter(|time| (start..start + 10_000).contains(*time))
                .count()
        };
        let before = |times: &[u64]| {
            let from = u64::saturating_sub(start, 10_000);
            times
                .iter()
                .filter(|time| (from..start).contains(*time))
                .count()
        };
        let max_requests = within(&requests).max(before(&requests));
        let allowed = 0.2 * max_requests as f64 + 54.0;
        assert!(within(&retries) as f64 <= allowed, "window at {start} ms");
    }
}

/// Guards against a call that stays counted although it reached no target.
#[test]
fn a_refunded_retry_can_be_spent_again() {
    let mut budget = budget::WindowBudget::default();
    let limits = budget::BudgetLimits {
        extra: 1.5,
        ..BUDGET
    };
    assert!(budget.try_spend(&limits, 1.0, 0));
    assert!(!budget.try_spend(&limits, 1.0, 1));
    budget.refund();
    assert!(budget.try_spend(&limits, 1.0, 2));
    assert!(
        !budget.try_spend(&limits, 0.0, 20_000),
        "a daemon without a share gets none of the extra budget"
    );
}

/// Guards against ordering another change while the engine may still carry out an earlier order.
#[test]
fn an_engine_with_an_unanswered_order_gets_no_other() {
    let mut engines = fleet(0, 4);
    engines
        .iter_mut()
        .for_each(|engine| engine.changed_ms = Some(13_000));
    let mut planner = stage_planner::StagePlanner::default();
    assert_eq!(planner.next_changes(5_000, &engines), []);
    assert!(!planner.next_changes(26_000, &engines).is_empty());
}

/// Returns the calls of a request that count as retries: all calls that reach a target except the
/// first one, and except the first accepted prefill call.
fn counted_retries(calls: &[(bool, budget::CallOutcome)]) -> u32 {
    let mut count = 0;
    let mut has_prefill = false;
    for (is_prefill, outcome) in calls {
        let is_exempt = *is_prefill && *outcome == budget::CallOutcome::Accepted && !has_prefill;
        has_prefill |= is_exempt;
        count += u32::from(*outcome != budget::CallOutcome::Unsent && !is_exempt);
    }
    count.saturating_sub(1)
}

/// Guards against retries that are not charged to the budget, such as prompts that one engine after
/// the other refuses. Checks every sequence of five calls.
#[test]
fn every_counted_retry_is_charged_before_it_is_made() {
    let outcomes = [
        budget::CallOutcome::Unsent,
        budget::CallOutcome::Accepted,
        budget::CallOutcome::Failed,
    ];
    let kinds: Vec<(bool, budget::CallOutcome)> = [true, false]
        .iter()
        .flat_map(|is_prefill| outcomes.map(|outcome| (*is_prefill, outcome)))
        .collect();
    for sequence in 0..kinds.len().pow(5) {
        let calls: Vec<_> = (0..5)
            .map(|step| kinds[sequence / kinds.len().pow(step) % kinds.len()])
            .collect();
        let mut ledger = budget::CallLedger::default();
        let mut charged = 0;
        for (number, (is_prefill, outcome)) in calls.iter().enumerate() {
            let is_charged = match is_prefill {
                true => ledger.is_prefill_charged(),
                false => ledger.is_charged(),
            };
            if is_charged {
                ledger.record_charge();
                charged += 1;
            }
            assert!(charged >= counted_retries(&calls[..=number]), "{calls:?}");
            let is_refunded = match is_prefill {
                true => ledger.record_prefill(*outcome),
                false => ledger.record_run(*outcome),
            };
            charged -= u32::from(is_refunded);
            assert!(charged >= counted_retries(&calls[..=number]), "{calls:?}");
        }
    }
}

/// Guards against a retry that is taken twice for the same call, and against one that is not given
/// back when the call is not made.
#[test]
fn a_retry_that_was_taken_ahead_belongs_to_the_next_call() {
    let mut ledger = budget::CallLedger::default();
    assert!(!ledger.record_run(budget::CallOutcome::Failed));
    ledger.record_charge();
    assert!(ledger.has_charge());
    assert!(!ledger.record_run(budget::CallOutcome::Accepted));
    assert!(!ledger.has_charge());
    ledger.record_charge();
    assert!(ledger.cancel_charge());
    assert!(!ledger.cancel_charge());
}
