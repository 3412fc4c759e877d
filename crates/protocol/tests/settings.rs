//! Parsing and validation of settings: an invalid file is rejected with the path and the value at
//! fault.

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

fn error_after(change: impl FnOnce(&mut serde_json::Value)) -> settings::SettingsError {
    let mut document = example();
    change(&mut document);
    settings::parse(&document.to_string()).expect_err("the settings must be rejected")
}

/// Guards against example files that the daemon would reject.
#[test]
fn examples_are_valid() {
    for example in EXAMPLES {
        settings::parse(example).expect("example settings");
    }
}

/// Guards against an error that points to a place other than the invalid value.
#[test]
fn errors_report_path_and_value() {
    let error =
        error_after(|document| document["deployment"]["engines"][3]["host"] = "nowhere".into());
    assert_eq!(error.path, "deployment.engines[3].host");
    assert_eq!(error.value, "\"nowhere\"");

    let error = error_after(|document| document["process"]["timers"] = serde_json::json!({"x": 1}));
    assert!(error.path.starts_with("process.timers"), "{error}");

    let error = error_after(|document| document["deployment"]["engines"][0]["slots"] = 0.into());
    assert_eq!(error.path, "deployment.engines[0].slots");

    let error = error_after(|document| document["process"]["table"]["address"] = "host:1".into());
    assert_eq!(error.path, "process.table.address");
    assert_eq!(error.value, "\"host:1\"");
}

/// Guards against two entries with the same name, which make orders and drains ambiguous.
#[test]
fn duplicate_names_are_rejected() {
    let error = error_after(|document| {
        document["deployment"]["engines"][1]["name"] = "drafting-1".into();
    });
    assert_eq!(error.path, "deployment.engines[1].name");
    assert!(error.allowed.contains("engines[0].name"), "{error}");

    let error = error_after(|document| {
        document["deployment"]["services"][0]["instances"][0]["name"] = "drafting-1".into();
    });
    assert_eq!(error.path, "deployment.services[0].instances[0].name");
}

/// Guards against lease timers with which a holder has to stop acting before it can renew its
/// lease.
#[test]
fn lease_ttl_leaves_time_for_a_renewal() {
    let error = error_after(|document| {
        document["process"]["timers"] = serde_json::json!({
            "lease_ttl_ms": 3_000, "lease_renewal_ms": 3_000, "lease_margin_ms": 500,
        });
    });
    assert_eq!(error.path, "process.timers.lease_ttl_ms");
}

/// Guards against rules that silently match nothing because the entry they name does not exist.
#[test]
fn rules_refer_to_existing_entries() {
    let error = error_after(|document| {
        document["deployment"]["rules"]["never_repeat"][0]["service"] = "leger".into();
    });
    assert_eq!(error.path, "deployment.rules.never_repeat[0].service");
    let error = error_after(|document| {
        document["deployment"]["rules"]["drained"] = serde_json::json!(["drafting-99"]);
    });
    assert_eq!(error.path, "deployment.rules.drained[0]");
}

/// Guards against a process in a zone that is not part of its region.
#[test]
fn process_zone_belongs_to_its_region() {
    let error = error_after(|document| document["process"]["zone"] = "elsewhere".into());
    assert_eq!(error.path, "process.zone");
}

/// Guards against panics on truncated or altered files.
#[test]
fn altered_files_never_panic() {
    bolero::check!()
        .with_type::<(u16, u8, bool)>()
        .with_iterations(2_000)
        .for_each(|(offset, byte, truncate)| {
            let mut text = EXAMPLES[2].as_bytes().to_vec();
            let offset = *offset as usize % text.len();
            if *truncate {
                text.truncate(offset);
            } else {
                text[offset] = *byte;
            }
            if let Ok(text) = String::from_utf8(text) {
                let _ = settings::parse(&text);
            }
        });
}
