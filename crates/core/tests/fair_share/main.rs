//! Fair shares between teams: played in a model of engines with queues, and decision by decision.

mod model;

use acaciabank_core::{fair_share, load_shed};
use model::{IntakePolicy, ModelOutcome, RefusalReaction, TeamLoad};

/// Loads in multiples of what the engines can process.
const EXCESS_LOADS: [f64; 3] = [1.5, 2.0, 3.0];
/// Smallest served share of a team, relative to the served share of all requests.
const MIN_RATIO: f64 = 0.25;
/// Smallest work served, relative to that under load shedding alone.
const MIN_WORK_RATIO: f64 = 0.97;
/// Engines of the models with few teams.
const ENGINES: usize = 8;
/// Duration of a run with few teams, in milliseconds.
const DURATION_MS: u64 = 25_000;

fn small_teams(count: usize) -> Vec<TeamLoad> {
    vec![TeamLoad::steady(1.0, RefusalReaction::RetryOnce); count]
}

/// Ten small teams, and one that sends 20 times as much as each of them.
fn teams_beside_large(reaction: RefusalReaction) -> Vec<TeamLoad> {
    let mut teams = small_teams(10);
    teams.push(TeamLoad::steady(20.0, reaction));
    teams
}

/// Runs the same load under both policies, with the load scaled to `load`.
fn run_both(
    teams: &[TeamLoad],
    engines: usize,
    load: f64,
    duration_ms: u64,
    seed: u64,
) -> (ModelOutcome, ModelOutcome) {
    let mut teams = teams.to_vec();
    model::scale_to(&mut teams, engines, load);
    let run = |policy| model::run(&teams, engines, policy, duration_ms, seed);
    (run(IntakePolicy::LoadShed), run(IntakePolicy::FairShare))
}

fn assert_fair(plain: &ModelOutcome, fair: &ModelOutcome, context: &str) {
    let ratio = fair.lowest_ratio();
    assert!(
        ratio >= MIN_RATIO,
        "{context}: a team has {ratio:.2} of the served share"
    );
    let work = fair.busy_ms / plain.busy_ms;
    assert!(
        work >= MIN_WORK_RATIO,
        "{context}: the work served fell to {work:.3}"
    );
}

fn mean_share(teams: &[model::TeamOutcome]) -> f64 {
    teams.iter().map(model::TeamOutcome::share).sum::<f64>() / teams.len() as f64
}

/// Guards against a rule that serves small teams by refusing a large one completely, and against
/// one by which small teams are refused although the others could make room.
#[test]
fn small_teams_are_served_beside_one_that_sends_twenty_times_as_much() {
    for load in EXCESS_LOADS {
        for seed in 0..3 {
            let teams = teams_beside_large(RefusalReaction::RetryOnce);
            let (plain, fair) = run_both(&teams, ENGINES, load, DURATION_MS, seed);
            let context = format!("load {load}, seed {seed}");
            assert_fair(&plain, &fair, &context);
            let before = mean_share(&plain.teams[..10]);
            let after = mean_share(&fair.teams[..10]);
            assert!(after > 1.3 * before, "{context}: {before:.2} to {after:.2}");
        }
    }
}

/// Guards against a team that takes the places of all others by repeating each refused request at
/// once.
#[test]
fn a_large_team_that_repeats_refused_requests_does_not_displace_the_others() {
    for load in EXCESS_LOADS {
        for seed in 0..3 {
            let teams = teams_beside_large(RefusalReaction::RepeatAtOnce);
            let (plain, fair) = run_both(&teams, ENGINES, load, DURATION_MS, seed);
            let context = format!("load {load}, seed {seed}");
            assert_fair(&plain, &fair, &context);
            let ratio = plain.lowest_ratio();
            assert!(
                ratio < MIN_RATIO,
                "{context}: {ratio:.2} without fair shares"
            );
        }
    }
}

/// Guards against a team that is served more than its equals because it repeats refused requests.
#[test]
fn a_small_team_gains_nothing_by_repeating_refused_requests() {
    for load in EXCESS_LOADS {
        let mut teams = small_teams(10);
        teams.push(TeamLoad::steady(1.0, RefusalReaction::RepeatAtOnce));
        let (plain, fair) = run_both(&teams, ENGINES, load, DURATION_MS, 0);
        assert_fair(&plain, &fair, &format!("load {load}"));
        let gain =
            |outcome: &ModelOutcome| outcome.teams[10].share() / mean_share(&outcome.teams[..10]);
        let (before, after) = (gain(&plain), gain(&fair));
        assert!(
            after < 1.2,
            "load {load}: {after:.2} times the share of its equals"
        );
        assert!(before > 1.4, "load {load}: {before:.2} without fair shares");
    }
}

/// Guards against sums that remember a team for too long, or know a new one too late.
#[test]
fn teams_that_come_and_go_are_served() {
    for seed in 0..3 {
        let mut teams = teams_beside_large(RefusalReaction::RepeatAtOnce);
        teams[10].active = 8_000..18_000;
        for (number, team) in teams[..10].iter_mut().enumerate() {
            match number % 3 {
                0 => {}
                1 => team.active = 10_000..17_000,
                _ => team.active = 0..14_000,
            }
        }
        let (plain, fair) = run_both(&teams, ENGINES, 2.0, DURATION_MS, seed);
        assert_fair(&plain, &fair, &format!("seed {seed}"));
        let ratio = plain.lowest_ratio();
        assert!(
            ratio < MIN_RATIO,
            "seed {seed}: {ratio:.2} without fair shares"
        );
    }
}

/// Guards against parts that are too small to be told from chance when there are many teams, and
/// against ten large ones that take the places of all others.
#[test]
fn each_of_many_teams_is_served() {
    for load in EXCESS_LOADS {
        let mut teams = small_teams(780);
        teams.extend(vec![
            TeamLoad::steady(20.0, RefusalReaction::RepeatAtOnce);
            10
        ]);
        let (plain, fair) = run_both(&teams, 32, load, 18_000, 0);
        let context = format!("load {load}");
        let work = fair.busy_ms / plain.busy_ms;
        assert!(
            work >= MIN_WORK_RATIO,
            "{context}: the work served fell to {work:.3}"
        );
        let total = fair.total_share();
        let is_starved = |team: &&model::TeamOutcome| team.share() < MIN_RATIO * total;
        let starved = fair.teams.iter().filter(is_starved).count();
        assert_eq!(starved, 0, "{context}: teams under their share");
    }
}

/// Guards against urgent requests that are refused or wait longer because their team has sent more
/// than others, while less urgent ones are served.
#[test]
fn urgent_work_still_goes_first() {
    for load in EXCESS_LOADS {
        let mut teams = teams_beside_large(RefusalReaction::RepeatAtOnce);
        for team in &mut teams {
            team.priority = 2;
        }
        // Nearly a third of the work is urgent, and half of that comes from one team.
        for per_second in [4.0, 2.0, 1.0, 1.0] {
            let urgent = TeamLoad::steady(per_second, RefusalReaction::RetryOnce);
            teams.push(TeamLoad {
                priority: 0,
                ..urgent
            });
        }
        let (plain, fair) = run_both(&teams, ENGINES, load, DURATION_MS, 0);
        assert_fair(&plain, &fair, &format!("load {load}"));
        let urgent = mean_share(&fair.teams[11..]);
        assert!(
            urgent > 0.99,
            "load {load}: {urgent:.2} of the urgent requests served"
        );
        let (before, after) = (plain.mean_time_ms[&0], fair.mean_time_ms[&0]);
        assert!(
            after < 1.1 * before,
            "load {load}: {before:.0} to {after:.0} ms"
        );
        let ratio = plain.lowest_ratio();
        assert!(
            ratio < MIN_RATIO,
            "load {load}: {ratio:.2} without fair shares"
        );
    }
}

/// Guards against a team that is held back although the engines could serve all.
#[test]
fn nothing_changes_without_an_excess_of_work() {
    for load in [0.3, 0.6, 0.8] {
        let teams = teams_beside_large(RefusalReaction::RepeatAtOnce);
        let (plain, fair) = run_both(&teams, ENGINES, load, DURATION_MS, 0);
        assert_eq!(fair.changed_factors, 0, "load {load}");
        assert_eq!(fair.decisions, plain.decisions, "load {load}");
        assert!(fair.decisions.iter().all(|is_accepted| *is_accepted));
    }
}

const INTAKE: load_shed::IntakeRequest = load_shed::IntakeRequest {
    target_latency_ms: 1_000,
    priority: 0,
    remaining_ms: 8_000,
    is_retry: false,
};

fn request(team: Option<u64>, prompt_key: u64) -> fair_share::SharedRequest {
    fair_share::SharedRequest {
        team,
        prompt_key: Some(prompt_key),
        work_ms: 50.0,
    }
}

/// Has each of the teams ask for a number of requests that wait for `wait_ms`.
fn ask(
    table: &mut fair_share::ShareTable,
    counts: &[(Option<u64>, u64)],
    wait_ms: f64,
    now_ms: u64,
) {
    for (team, count) in counts {
        for _ in 0..*count {
            table.decide(
                &request(*team, rand::random()),
                &INTAKE,
                wait_ms,
                wait_ms,
                now_ms,
            );
        }
    }
}

/// Wait at which requests are accepted with any factor, in milliseconds.
const SHORT_WAIT_MS: f64 = 100.0;
/// Wait at which requests are refused with any factor, in milliseconds.
const LONG_WAIT_MS: f64 = 2_500.0;

/// Returns a table with an excess of work at 10 ms: the first team has had 100 requests, and the
/// second one has been refused as many.
fn table_with_excess(first: Option<u64>, second: Option<u64>) -> fair_share::ShareTable {
    let mut table = fair_share::ShareTable::default();
    ask(&mut table, &[(first, 100)], SHORT_WAIT_MS, 0);
    ask(&mut table, &[(second, 100)], LONG_WAIT_MS, 10);
    table
}

/// Guards against factors that starve a team or let its requests wait without bound.
#[test]
fn factors_stay_between_a_half_and_two() {
    let mut table = table_with_excess(Some(1), Some(2));
    ask(&mut table, &[(Some(3), 100)], LONG_WAIT_MS, 10);
    assert_eq!(table.wait_factor(Some(1), 300), fair_share::MIN_WAIT_FACTOR);
    for team in [2, 3, 4] {
        let factor = table.wait_factor(Some(team), 300);
        assert_eq!(factor, fair_share::MAX_WAIT_FACTOR, "team {team}");
    }
}

/// Guards against teams that are held back long after the last excess of work, and against a
/// refusal by a team's own factor that prolongs the excess.
#[test]
fn factors_end_with_the_excess() {
    let mut table = table_with_excess(Some(1), Some(2));
    assert!(table.wait_factor(Some(1), 1_500) < 0.6);
    // The allowed wait is 1,200 ms without a factor.
    let decided = table.decide(&request(Some(1), 1), &INTAKE, 1_000.0, 1_050.0, 1_500);
    assert!(matches!(
        decided.decision,
        load_shed::IntakeDecision::Refuse { .. }
    ));
    assert_eq!(table.wait_factor(Some(1), 2_100), 1.0);
    assert_eq!(table.wait_factor(Some(2), 2_100), 1.0);
}

/// Guards against an excess that is inferred from a request that even idle engines cannot serve
/// before its deadline.
#[test]
fn a_hopeless_request_is_no_excess() {
    let mut table = fair_share::ShareTable::default();
    ask(&mut table, &[(Some(1), 100)], SHORT_WAIT_MS, 0);
    let hopeless = load_shed::IntakeRequest {
        remaining_ms: 30,
        ..INTAKE
    };
    let decided = table.decide(&request(Some(2), 1), &hopeless, 0.0, 50.0, 0);
    assert!(matches!(
        decided.decision,
        load_shed::IntakeDecision::Refuse { .. }
    ));
    assert_eq!(decided.wait_factor, 1.0);
    assert_eq!(table.wait_factor(Some(3), 0), 1.0);
}

/// Guards against work for deployments without teams.
#[test]
fn nothing_is_kept_without_teams() {
    let mut table = table_with_excess(None, None);
    assert!(table.is_empty());
    assert_eq!(table.wait_factor(None, 10), 1.0);
}

/// Guards against callers without a team that displace all teams.
#[test]
fn requests_without_a_team_count_as_one_team() {
    let mut table = fair_share::ShareTable::default();
    ask(&mut table, &[(Some(1), 1), (None, 100)], SHORT_WAIT_MS, 0);
    ask(
        &mut table,
        &[(Some(1), 100), (Some(2), 100)],
        LONG_WAIT_MS,
        10,
    );
    assert_eq!(table.wait_factor(None, 300), fair_share::MIN_WAIT_FACTOR);
    assert_eq!(table.wait_factor(Some(2), 300), fair_share::MAX_WAIT_FACTOR);
}

/// Guards against memory that grows with the number of teams, and against dropping a team with much
/// recent work for one with little.
#[test]
fn the_largest_teams_are_kept() {
    let mut table = fair_share::ShareTable::default();
    ask(&mut table, &[(Some(0), 100)], SHORT_WAIT_MS, 0);
    let many: Vec<(Option<u64>, u64)> = (1..5_000).map(|team| (Some(team), 1)).collect();
    ask(&mut table, &many, LONG_WAIT_MS, 100);
    assert_eq!(table.len(), fair_share::MAX_TEAMS);
    assert_eq!(table.wait_factor(Some(0), 400), fair_share::MIN_WAIT_FACTOR);
}

/// Guards against a team that raises its guaranteed part by repeating the same request.
#[test]
fn a_repeat_is_not_counted_again() {
    let factors = [1, 400].map(|repeats| {
        let mut table = table_with_excess(Some(1), Some(2));
        for _ in 0..repeats {
            table.decide(
                &request(Some(1), 7),
                &INTAKE,
                LONG_WAIT_MS,
                LONG_WAIT_MS,
                20,
            );
        }
        // The factor of another team shows the level.
        ask(&mut table, &[(Some(3), 20)], SHORT_WAIT_MS, 20);
        (
            table.wait_factor(Some(1), 300),
            table.wait_factor(Some(3), 300),
        )
    });
    assert_eq!(factors[0], factors[1]);
}
