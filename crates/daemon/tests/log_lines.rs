//! Format of log lines.

use acaciabank_daemon::telemetry::logging;

/// Guards against records that lose their key-value pairs or span several lines, as a message with
/// a line break would.
#[test]
fn a_record_becomes_one_json_line_with_its_key_values() {
    let pairs = [
        ("request_id", log::kv::Value::from("front-1-00")),
        ("attempt", 2_u64.into()),
    ];
    let arguments = format_args!("two\nlines");
    let record = log::Record::builder()
        .args(arguments)
        .level(log::Level::Warn)
        .target("acaciabank_daemon::entry")
        .key_values(&pairs)
        .build();
    let line = logging::format_record(&record);
    assert_eq!(line["request_id"], "front-1-00");
    assert_eq!(line["attempt"], 2);
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["target"], "acaciabank_daemon::entry");
    assert_eq!(line["message"], "two\nlines");
    assert!(
        line["timestamp_ms"]
            .as_u64()
            .is_some_and(|unix_ms| unix_ms > 0)
    );
    assert!(!line.to_string().contains('\n'));
}
