//! Load scripts, their schedules and the comparison chart.

use acaciabank_cli::load;

const SCRIPT: &str = include_str!("../../../settings/load/shifts.json");

/// Guards against runs that cannot be compared because the same seed gives different requests.
#[test]
fn the_same_seed_gives_the_same_requests() {
    let script = load::LoadScript::from_json(SCRIPT).expect("example script");
    assert_eq!(load::plan(&script, 7), load::plan(&script, 7));
    assert_ne!(load::plan(&script, 7), load::plan(&script, 8));
}

/// Guards against a schedule whose arrival rate or mix differs from the script's: 45 s at 12
/// requests per second.
#[test]
fn arrivals_follow_rate_and_mix() {
    let script = load::LoadScript::from_json(SCRIPT).expect("example script");
    let requests = load::plan(&script, 7);
    // 540 are expected; six standard deviations of that Poisson count are 140.
    assert!(
        (400..=680).contains(&requests.len()),
        "{} requests",
        requests.len()
    );
    assert!(requests.is_sorted_by_key(|request| request.offset_us));
    let keyed = requests
        .iter()
        .filter(|request| request.idempotency_key.is_some())
        .count();
    assert!((10..=110).contains(&keyed), "{keyed} keyed requests");
}

/// Guards against scripts with an invalid value or a misspelled field that are accepted and run
/// with other values than intended.
#[test]
fn invalid_scripts_name_the_field() {
    let error_after_replacing = |from: &str, to: &str| {
        load::LoadScript::from_json(&SCRIPT.replacen(from, to, 1))
            .expect_err("the script is invalid")
    };
    assert!(
        error_after_replacing("\"min\": 2500", "\"min\": 9500")
            .contains("phases[0].mix[0].prompt_tokens")
    );
    assert!(
        error_after_replacing("\"rate_per_s\": 12", "\"rate_per_s\": -1")
            .contains("phases[0].rate_per_s")
    );
    assert!(error_after_replacing("\"weight\"", "\"weigth\"").contains("weigth"));
}

/// Guards against a comparison chart that omits runs.
#[test]
fn comparison_chart_names_every_run() {
    let report = |name: &str| load::RunReport {
        name: name.to_owned(),
        goodput: 0.5,
        role_changes: Some(3),
        ..load::RunReport::default()
    };
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("comparison.svg");
    load::write_comparison(&file, &[report("first"), report("second")]).expect("chart is written");
    let svg = std::fs::read_to_string(&file).expect("chart is readable");
    assert!(svg.contains("first") && svg.contains("second"));
}
