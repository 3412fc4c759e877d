//! Checks the documentation's settings, command help and reasons against the code.

use acaciabank_protocol::{reason, settings};

const SETTINGS_PAGE: &str = include_str!("../../../docs/settings.md");
const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const COMMANDS_PAGE: &str = include_str!("../../../docs/commands.md");

const COMMANDS: &[&[&str]] = &[
    &[],
    &["check"],
    &["status"],
    &["targets"],
    &["config"],
    &["config", "get"],
    &["config", "set"],
    &["config", "watch"],
    &["config", "history"],
    &["config", "diff"],
    &["drain"],
    &["undrain"],
    &["requests"],
    &["keys"],
    &["keys", "get"],
    &["keys", "resolve"],
    &["log-level"],
    &["addresses"],
    &["load"],
    &["explain"],
    &["plot"],
    &["complete"],
];

fn defaults() -> serde_json::Value {
    let table = serde_json::json!({"address": "127.0.0.1:1"});
    let table: settings::TableSettings = serde_json::from_value(table).expect("a table");
    serde_json::json!({
        "process.table": table,
        "process.limits": settings::LimitSettings::default(),
        "process.timers": settings::TimerSettings::default(),
        "deployment.policy.adaptation": settings::AdaptationSettings::default(),
    })
}

/// Guards against a settings reference whose defaults or ranges differ from the code's.
#[test]
fn settings_reference_matches_the_code() {
    let defaults = defaults();
    let mut missing = Vec::new();
    for rule in settings::FIELD_RANGES {
        let default = &defaults[rule.object][rule.field];
        assert!(
            !default.is_null(),
            "{}.{} has no default",
            rule.object,
            rule.field
        );
        let row = format!(
            "| `{}` | {default} | {} to {} |",
            rule.field, rule.min, rule.max
        );
        if !SETTINGS_PAGE.contains(&row) {
            missing.push(row);
        }
    }
    assert!(
        missing.is_empty(),
        "rows missing in docs/settings.md:\n{}",
        missing.join("\n")
    );
}

/// Guards against numeric settings that were added without a range, and thus without a row in the
/// reference.
#[test]
fn every_number_with_a_default_has_a_range() {
    for (object, fields) in defaults().as_object().expect("an object") {
        for (field, value) in fields.as_object().expect("an object") {
            let has_range = settings::FIELD_RANGES
                .iter()
                .any(|rule| rule.object == object && rule.field == field);
            assert!(
                has_range || !value.is_u64(),
                "{object}.{field} has no range"
            );
        }
    }
}

/// Guards against documented help texts that differ from what the program prints.
#[test]
fn documented_command_help_matches_the_program() {
    for command in COMMANDS {
        let help = acaciabank_cli::help_text(command);
        assert!(!help.is_empty(), "{command:?} has no help");
        let block = format!("```text\n{}\n```", help.trim_end());
        assert!(
            COMMANDS_PAGE.contains(&block),
            "docs/commands.md lacks the help of {command:?}:\n{block}"
        );
    }
}

/// Guards against refusal and retry reasons that the operators' documentation omits.
#[test]
fn every_reason_is_documented() {
    for reason in reason::RefusalReason::ALL {
        let row = format!("| `{}` | {} |", reason.as_str(), reason.status());
        assert!(
            OPERATIONS_PAGE.contains(&row),
            "docs/OPERATIONS.md lacks {row}"
        );
    }
    for reason in [
        reason::RetryReason::ConnectFailed,
        reason::RetryReason::NotWritten,
        reason::RetryReason::ConnectionBroken,
        reason::RetryReason::TargetUnavailable,
        reason::RetryReason::TargetRefused,
        reason::RetryReason::StreamResumed,
        reason::RetryReason::MismatchedResponse,
        reason::RetryReason::FirstTokenTimeout,
    ] {
        let name = format!("`{}`", reason.as_str());
        assert!(
            OPERATIONS_PAGE.contains(&name),
            "docs/OPERATIONS.md lacks {name}"
        );
    }
}
