//! `acaciabank explain`: which log lines it prints, and its exit statuses.

use std::{fs, path, process};

fn acaciabank(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_acaciabank"))
        .args(arguments)
        .output()
        .expect("the program runs")
}

fn log_file(name: &str, lines: &[&str]) -> String {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, lines.join("\n")).expect("temporary file is writable");
    file.display().to_string()
}

/// Guards against output that misses events of the request's target, includes lines of other
/// requests or of uninvolved hosts, or orders a host's lines by its clock.
#[test]
fn request_lines_are_grouped_by_host() {
    let first = log_file(
        "explain-1.log",
        &[
            r#"prefix {"ms":900,"host":"h-1","event":"target_crashed","target_id":"t-1"}"#,
            r#"{"ms":1000,"host":"h-1","event":"attempt_failed","id":"a","target_id":"t-1","verdict":"may_have_run"}"#,
            r#"{"ms":1001,"host":"h-1","event":"answered","id":"b","target_id":"t-2"}"#,
            r#"{"ms":990,"host":"h-1","event":"refused","id":"a","status":502}"#,
            "not a line of a daemon",
        ],
    );
    let second = log_file(
        "explain-2.log",
        &[r#"{"ms":500,"host":"h-2","event":"target_crashed","target_id":"t-1"}"#],
    );
    let output = acaciabank(&["explain", "--log", &first, "--log", &second, "a"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout);
    let events: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split_whitespace().nth(3))
        .collect();
    assert_eq!(
        &events[1..],
        ["target_crashed", "attempt_failed", "refused"],
        "{text}"
    );
    assert!(!text.contains("t-2"), "{text}");

    let output = acaciabank(&["explain", "--log", &first, "--json", "a"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json[0]["lines"].as_array().map(Vec::len), Some(3));
}

/// Guards against an unknown request or a missing log that exits with the status of a success.
#[test]
fn unknown_request_and_missing_log_fail() {
    let log = log_file("explain-3.log", &["{}"]);
    let output = acaciabank(&["explain", "--log", &log, "none"]);
    assert_eq!(output.status.code(), Some(1));
    let output = acaciabank(&["explain", "--log", "no-such-file", "none"]);
    assert_eq!(output.status.code(), Some(2));
}
