//! `acaciabank check`, and the exit statuses of the command line.

use std::{fs, path, process};

fn acaciabank(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_acaciabank"))
        .args(arguments)
        .env_remove("ACACIABANK_ADMIN")
        .output()
        .expect("the program runs")
}

fn example_file() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings/pemberton.json")
}

fn temporary_file(name: &str, text: &str) -> path::PathBuf {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).expect("temporary file is writable");
    file
}

fn assert_one_line(output: &process::Output, parts: &[&str]) {
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        text.trim_end().lines().count(),
        1,
        "one line expected: {text}"
    );
    for part in parts {
        assert!(text.contains(part), "`{part}` expected in: {text}");
    }
}

/// Guards against valid settings being refused.
#[test]
fn valid_settings_pass() {
    let output = acaciabank(&["check", example_file().to_str().expect("UTF-8 path")]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// Guards against an error message that lacks the path, the value or what is allowed.
#[test]
fn invalid_settings_name_path_value_and_allowed_range() {
    let text = fs::read_to_string(example_file()).expect("example settings");
    let mut document: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    document["deployment"]["engines"][2]["slots"] = 0.into();
    let file = temporary_file("slots.json", &document.to_string());
    let output = acaciabank(&["check", file.to_str().expect("UTF-8 path")]);
    assert_eq!(output.status.code(), Some(2));
    assert_one_line(
        &output,
        &["deployment.engines[2].slots", ": 0;", "from 1 to 100000"],
    );
}

/// Guards against a panic or a message of many lines on a truncated or missing file.
#[test]
fn unreadable_settings_give_one_line() {
    let text = fs::read_to_string(example_file()).expect("example settings");
    let file = temporary_file("truncated.json", &text[..text.len() / 2]);
    let output = acaciabank(&["check", file.to_str().expect("UTF-8 path")]);
    assert_eq!(output.status.code(), Some(2));
    assert_one_line(&output, &["expected JSON"]);

    let output = acaciabank(&["check", "no-such-file.json"]);
    assert_eq!(output.status.code(), Some(2));
    assert_one_line(&output, &["no-such-file.json"]);
}

/// Guards against exit statuses that differ from the documented ones.
#[test]
fn usage_and_unreachable_have_their_own_status() {
    assert_eq!(acaciabank(&["no-such-command"]).status.code(), Some(2));
    assert_eq!(acaciabank(&["--help"]).status.code(), Some(0));
    // Port 1 on loopback has no listener.
    let output = acaciabank(&["status", "--admin", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(4));
    assert_one_line(&output, &["127.0.0.1:1 does not answer"]);
}

/// Guards against a duplicate JSON key, of which the parser would silently drop one value.
#[test]
fn duplicate_keys_are_refused() {
    let text = fs::read_to_string(example_file()).expect("example settings");
    let duplicated = text.replacen("\"slots\":", "\"slots\": 8, \"slots\":", 1);
    assert_ne!(text, duplicated);
    let file = temporary_file("duplicated.json", &duplicated);
    let output = acaciabank(&["check", file.to_str().expect("UTF-8 path")]);
    assert_eq!(output.status.code(), Some(2));
    assert_one_line(&output, &["deployment.engines[0].slots", "given twice"]);
}
