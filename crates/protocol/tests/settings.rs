//! Checks of settings: faults are found before anything starts, and named so that an operator
//! finds them in the file.

use acaciabank_protocol::settings;

const EXAMPLES: [&str; 5] = [
    include_str!("../../../settings/pemberton.json"),
    include_str!("../../../settings/nile-delta.json"),
    include_str!("../../../settings/tour/entry-1.json"),
    include_str!("../../../settings/tour/entry-2.json"),
    include_str!("../../../settings/tour/entry-3.json"),
];

fn example() -> serde_json::Value {
    serde_json::from_str(EXAMPLES[0]).expect("example is JSON")
}

fn fault(change: impl FnOnce(&mut serde_json::Value)) -> settings::SettingsError {
    let mut document = example();
    change(&mut document);
    settings::parse(&document.to_string()).expect_err("the fault must be found")
}

/// Guards against examples that the daemon would refuse.
#[test]
fn examples_are_valid() {
    for example in EXAMPLES {
        settings::parse(example).expect("example settings");
    }
}

/// Guards against a message that names another place than the faulty one.
#[test]
fn faults_name_path_and_value() {
    let problem = fault(|document| document["deployment"]["engines"][3]["host"] = "nowhere".into());
    assert_eq!(problem.path, "deployment.engines[3].host");
    assert_eq!(problem.value, "\"nowhere\"");

    let problem = fault(|document| document["process"]["timers"] = serde_json::json!({"x": 1}));
    assert!(problem.path.starts_with("process.timers"), "{problem}");

    let problem = fault(|document| document["deployment"]["engines"][0]["slots"] = 0.into());
    assert_eq!(problem.path, "deployment.engines[0].slots");

    let problem = fault(|document| document["process"]["table"]["address"] = "host:1".into());
    assert_eq!(problem.path, "process.table.address");
    assert_eq!(problem.value, "\"host:1\"");
}

/// Guards against two entries of one name, which would make orders and drains ambiguous.
#[test]
fn duplicate_names_are_refused() {
    let problem = fault(|document| {
        document["deployment"]["engines"][1]["name"] = "drafting-1".into();
    });
    assert_eq!(problem.path, "deployment.engines[1].name");
    assert!(problem.allowed.contains("engines[0].name"), "{problem}");

    let problem = fault(|document| {
        document["deployment"]["services"][0]["instances"][0]["name"] = "drafting-1".into();
    });
    assert_eq!(problem.path, "deployment.services[0].instances[0].name");
}

/// Guards against a lease that its holder could not renew before it must stop acting.
#[test]
fn lease_terms_leave_room_for_a_renewal() {
    let problem = fault(|document| {
        document["process"]["timers"] = serde_json::json!({
            "lease_ttl_ms": 3_000, "lease_renewal_ms": 3_000, "lease_margin_ms": 500,
        });
    });
    assert_eq!(problem.path, "process.timers.lease_ttl_ms");
}

/// Guards against rules that silently match nothing.
#[test]
fn rules_refer_to_existing_entries() {
    let problem = fault(|document| {
        document["deployment"]["rules"]["never_repeat"][0]["service"] = "leger".into();
    });
    assert_eq!(problem.path, "deployment.rules.never_repeat[0].service");
    let problem = fault(|document| {
        document["deployment"]["rules"]["drained"] = serde_json::json!(["drafting-99"]);
    });
    assert_eq!(problem.path, "deployment.rules.drained[0]");
}

/// Guards against a process in a zone that the deployment does not know.
#[test]
fn process_zone_belongs_to_its_region() {
    let problem = fault(|document| document["process"]["zone"] = "elsewhere".into());
    assert_eq!(problem.path, "process.zone");
}

/// Guards against panics on truncated or altered files.
#[test]
fn altered_files_never_panic() {
    bolero::check!()
        .with_type::<(u16, u8, bool)>()
        .with_iterations(2_000)
        .for_each(|(position, byte, truncate)| {
            let mut text = EXAMPLES[2].as_bytes().to_vec();
            let position = *position as usize % text.len();
            if *truncate {
                text.truncate(position);
            } else {
                text[position] = *byte;
            }
            if let Ok(text) = String::from_utf8(text) {
                let _ = settings::parse(&text);
            }
        });
}
