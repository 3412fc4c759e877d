//! Stages of engines, refusal at intake, standing of targets and the shared retry budget.

use acaciabank_core::{budget, load_shed, outlier, placement::EngineStage, stage_planner};

fn engine(target_hash: u64, stage: EngineStage) -> stage_planner::EngineStatus {
    stage_planner::EngineStatus {
        target_hash,
        zone: target_hash % 3,
        stage,
        is_switching: false,
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

/// Applies changes until none follows; an engine is away for six looks.
fn settle(engines: &mut [stage_planner::EngineStatus]) -> u32 {
    let mut planner = stage_planner::StagePlanner::default();
    let mut changes = 0;
    let mut open: Vec<(u64, stage_planner::StageChange)> = Vec::new();
    for look in 0..200 {
        let now_ms = look * 500;
        open.retain(|(done_ms, change)| {
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
            open.push((now_ms + 3_000, change));
            changes += 1;
        }
    }
    changes
}

#[test]
fn idle_engines_take_the_usual_shares_with_the_fewest_changes() {
    let mut engines = fleet(4, 8);
    assert_eq!(settle(&mut engines), 4);
    let decodes = engines
        .iter()
        .filter(|engine| engine.stage == EngineStage::Decode);
    let zones: std::collections::HashSet<u64> = decodes.map(|engine| engine.zone).collect();
    assert_eq!(
        zones.len(),
        3,
        "every availability zone keeps one that generates"
    );
}

/// Guards against a large fleet that takes minutes to get ready: every order takes three seconds, and
/// callers come soon after the start.
#[test]
fn a_large_idle_fleet_takes_the_usual_shares_within_ten_seconds() {
    let mut engines = fleet(49, 91);
    let mut planner = stage_planner::StagePlanner::default();
    for round in 0..3 {
        let changes = planner.next_changes(round * 3_300, &engines);
        assert!(changes.len() <= 28, "a fifth of the engines at once");
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

/// Guards against stages that swing to and fro under a steady load on both sides.
#[test]
fn an_overload_of_both_stages_changes_nothing() {
    let mut engines = fleet(6, 3);
    for engine in &mut engines {
        engine.running = 60;
        engine.backlog_tokens = 60_000;
    }
    assert_eq!(settle(&mut engines), 0);
}

/// Guards against a change for a load that lasts a moment.
#[test]
fn pressure_must_last_before_a_stage_changes() {
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

/// Guards against a fleet without an engine that generates.
#[test]
fn the_last_engine_of_a_stage_stays() {
    let mut engines = fleet(2, 1);
    engines[..2]
        .iter_mut()
        .for_each(|engine| engine.backlog_tokens = 90_000);
    assert_eq!(settle(&mut engines), 0);
    let mut engines = fleet(3, 0);
    settle(&mut engines);
    assert!(
        engines
            .iter()
            .any(|engine| engine.stage == EngineStage::Decode)
    );
}

fn terms(priority: u8) -> load_shed::IntakeRequest {
    load_shed::IntakeRequest {
        target_latency_ms: 1_000,
        priority,
        remaining_ms: 8_000,
        is_retry: false,
    }
}

fn is_accepted(terms: &load_shed::IntakeRequest, wait_ms: f64) -> bool {
    load_shed::decide(terms, wait_ms, wait_ms + 100.0, 0.5) == load_shed::IntakeDecision::Accept
}

/// Guards against serving less urgent work better than more urgent work.
#[test]
fn what_is_less_urgent_is_refused_first() {
    let limit = |priority| {
        (0..5_000)
            .step_by(10)
            .find(|wait| !is_accepted(&terms(priority), f64::from(*wait)))
    };
    assert!(limit(0) > limit(1));
    assert!(limit(1) > limit(2));
}

/// Guards against starving long prompts: only the work of others counts.
#[test]
fn the_size_of_the_own_prompt_does_not_count() {
    let verdict = load_shed::decide(&terms(2), 100.0, 3_000.0, 0.5);
    assert_eq!(verdict, load_shed::IntakeDecision::Accept);
}

/// Guards against holding a request that cannot be answered before its deadline.
#[test]
fn what_cannot_be_in_time_is_refused_at_once() {
    let late = load_shed::IntakeRequest {
        remaining_ms: 200,
        ..terms(0)
    };
    let verdict = load_shed::decide(&late, 0.0, 300.0, 0.5);
    assert!(matches!(verdict, load_shed::IntakeDecision::Refuse { .. }));
}

/// Guards against callers that are asked to wait longer than they do, or that return together.
#[test]
fn returns_are_spread_within_a_third_of_the_time() {
    let returns: Vec<u64> = (0..10)
        .filter_map(|step| {
            match load_shed::decide(&terms(1), 3_000.0, 3_200.0, f64::from(step) / 10.0) {
                load_shed::IntakeDecision::Refuse { retry_after_ms } => Some(retry_after_ms),
                load_shed::IntakeDecision::Accept => None,
            }
        })
        .collect();
    assert_eq!(returns.len(), 10);
    assert!(
        returns
            .iter()
            .all(|retry_ms| (250..=2_666).contains(retry_ms)),
        "{returns:?}"
    );
}

/// Guards against sending to a target whose health check is good while its requests fail.
#[test]
fn a_target_that_fails_requests_is_left_aside_and_tried_again() {
    let mut detector = outlier::OutlierDetector::default();
    (0..3).for_each(|_| detector.record(outlier::TargetOutcome::Failed, 0));
    assert!(!detector.is_available(500));
    assert!(detector.is_available(1_000));
    detector.record(outlier::TargetOutcome::Failed, 1_000);
    assert!(
        !detector.is_available(2_000),
        "a failed trial leaves it aside for longer"
    );
}

/// Guards against leaving a target aside for the failures that every target has.
#[test]
fn some_failures_leave_a_target_in() {
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

/// Guards against daemons that spend more together than the fleet may, in any window.
#[test]
fn the_sum_of_all_daemons_keeps_to_the_budget_in_every_window() {
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
        let most = within(&requests).max(before(&requests));
        let allowed = 0.2 * most as f64 + 54.0;
        assert!(within(&retries) as f64 <= allowed, "window at {start} ms");
    }
}

/// Guards against a call that reached no target and stays counted.
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
        "without a part there is no constant"
    );
}

/// Guards against ordering an engine again while an earlier order may still be carried out.
#[test]
fn an_engine_with_an_open_order_gets_no_other() {
    let mut engines = fleet(0, 4);
    engines
        .iter_mut()
        .for_each(|engine| engine.changed_ms = Some(13_000));
    let mut planner = stage_planner::StagePlanner::default();
    assert_eq!(planner.next_changes(5_000, &engines), []);
    assert!(!planner.next_changes(26_000, &engines).is_empty());
}

/// What the rules count for a request: calls that reach a target beyond the first, without the first
/// accepted call that only has the prompt processed.
fn counted(calls: &[(bool, budget::CallOutcome)]) -> u32 {
    let mut count = 0;
    let mut has_prefill = false;
    for (is_prefill, outcome) in calls {
        let is_free = *is_prefill && *outcome == budget::CallOutcome::Accepted && !has_prefill;
        has_prefill |= is_free;
        count += u32::from(*outcome != budget::CallOutcome::Unsent && !is_free);
    }
    count.saturating_sub(1)
}

/// Guards against calls that the rules count and nobody pays for, such as prompts that one engine
/// after the other refuses, in every course of five calls.
#[test]
fn every_counted_call_is_paid_for_before_it_is_made() {
    let outcomes = [
        budget::CallOutcome::Unsent,
        budget::CallOutcome::Accepted,
        budget::CallOutcome::Failed,
    ];
    let kinds: Vec<(bool, budget::CallOutcome)> = [true, false]
        .iter()
        .flat_map(|is_prefill| outcomes.map(|outcome| (*is_prefill, outcome)))
        .collect();
    for course in 0..kinds.len().pow(5) {
        let calls: Vec<_> = (0..5)
            .map(|step| kinds[course / kinds.len().pow(step) % kinds.len()])
            .collect();
        let mut ledger = budget::CallLedger::default();
        let mut paid = 0;
        for (number, (is_prefill, outcome)) in calls.iter().enumerate() {
            let is_charged = match is_prefill {
                true => ledger.is_prefill_charged(),
                false => ledger.is_charged(),
            };
            if is_charged {
                ledger.record_charge();
                paid += 1;
            }
            assert!(paid >= counted(&calls[..=number]), "{calls:?}");
            let is_returned = match is_prefill {
                true => ledger.record_prefill(*outcome),
                false => ledger.record_run(*outcome),
            };
            paid -= u32::from(is_returned);
            assert!(paid >= counted(&calls[..=number]), "{calls:?}");
        }
    }
}
