//! Load scripts and their schedule.

use acaciabank_cli::load;

const SCRIPT: &str = include_str!("../../../settings/load/shifts.json");

/// Guards against runs that cannot be compared because the same seed gives other requests.
#[test]
fn the_same_seed_gives_the_same_requests() {
    let script = load::LoadScript::from_json(SCRIPT).expect("example script");
    assert_eq!(load::plan(&script, 7), load::plan(&script, 7));
    assert_ne!(load::plan(&script, 7), load::plan(&script, 8));
}

/// Guards against rates and shares that differ from the script: 45 s at 12 a second.
#[test]
fn arrivals_follow_rate_and_mix() {
    let script = load::LoadScript::from_json(SCRIPT).expect("example script");
    let requests = load::plan(&script, 7);
    // 540 expected; six standard deviations of a Poisson count are 140.
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

/// Guards against scripts that run as something else than what was written.
#[test]
fn faulty_scripts_name_the_place() {
    let faulty = |from: &str, to: &str| {
        load::LoadScript::from_json(&SCRIPT.replacen(from, to, 1)).expect_err("a fault")
    };
    assert!(faulty("\"min\": 2500", "\"min\": 9500").contains("phases[0].mix[0].prompt_tokens"));
    assert!(faulty("\"rate_per_s\": 12", "\"rate_per_s\": -1").contains("phases[0].rate_per_s"));
    assert!(faulty("\"weight\"", "\"weigth\"").contains("weigth"));
}

/// Guards against a comparison picture that leaves runs out.
#[test]
fn the_picture_names_every_run() {
    let report = |name: &str| load::LoadReport {
        name: name.to_owned(),
        goodput: 0.5,
        role_changes: Some(3),
        ..load::LoadReport::default()
    };
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("comparison.svg");
    load::write_comparison(&file, &[report("first"), report("second")]).expect("written");
    let svg = std::fs::read_to_string(&file).expect("readable");
    assert!(svg.contains("first") && svg.contains("second"));
}
