//! Parsing of request heads and bodies.

use std::time;

use acaciabank_daemon::entry::parse;
use acaciabank_protocol::reason::RefusalReason;
use hyper::{HeaderMap, header::HeaderValue};

/// Number of inputs of each fuzz target, which bounds its time in `cargo test`.
const ITERATIONS: usize = 5_000;

/// Guards against a request body that makes the parser panic.
#[test]
fn any_completion_body_is_parsed_or_refused() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .for_each(|body: &[u8]| {
            for path in [parse::COMPLETIONS_PATH, parse::CHAT_PATH] {
                if let Err(refusal) = parse::parse_completion(path, body) {
                    assert_eq!(refusal.reason, RefusalReason::BadRequest);
                }
            }
        });
}

/// Guards against a path that makes the parser panic, and against repeated slashes in the
/// normalized path, by which a request would evade a never_repeat rule.
#[test]
fn any_path_is_normalized() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .for_each(|input: &[u8]| {
            let text = String::from_utf8_lossy(input);
            let normalized = parse::normalize_path(&text);
            assert!(normalized.starts_with('/'));
            assert!(!normalized.contains("//"));
            let _ = parse::split_service_path(&text);
            let _ = parse::query_parameter(&text, "zone");
            let _ = parse::parse_digest(&text);
        });
}

/// Guards against a header value that makes a parser panic or overflow.
#[test]
fn any_header_value_is_parsed_or_refused() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .for_each(|input: &[u8]| {
            let Ok(value) = HeaderValue::from_bytes(input) else {
                return;
            };
            let mut headers = HeaderMap::new();
            for name in ["x-priority", "x-timeout-ms", "idempotency-key"] {
                headers.insert(name, value.clone());
            }
            let _ = parse::parse_priority(&headers);
            let _ = parse::parse_deadline(&headers, time::Instant::now(), 1_000);
            if let Ok(Some(key)) = parse::parse_idempotency_key(&headers) {
                assert!(parse::is_valid_key(key.as_bytes()));
            }
        });
}

/// Guards against a refusal that does not say where the JSON is malformed.
#[test]
fn malformed_json_is_refused_with_its_position() {
    let body = b"{\n  \"model\": draft\n}";
    let refusal = parse::parse_completion(parse::COMPLETIONS_PATH, body).unwrap_err();
    assert!(refusal.message.contains("line 2 column"), "{refusal}");
}

/// Guards against text parts that are lost or reordered when messages are joined.
#[test]
fn chat_messages_are_joined_in_order() {
    let body = br#"{"model":"draft","max_tokens":7,"stream":true,"seed":3,"messages":[
        {"role":"system","content":"Be brief."},
        {"role":"user","content":[{"type":"text","text":"Dear "},{"type":"text","text":"club"}]}]}"#;
    let fields = parse::parse_completion(parse::CHAT_PATH, body).expect("fields");
    assert_eq!(fields.prompt, "system: Be brief.\nuser: Dear club\n");
    assert_eq!((fields.max_tokens, fields.stream), (7, true));
    assert_eq!(fields.body["seed"], 3);
}

/// Guards against keys that are too long for the table and against a second, ambiguous key.
#[test]
fn idempotency_keys_outside_the_limits_are_refused() {
    let long = "k".repeat(256);
    for (value, valid) in [
        ("k", true),
        ("", false),
        ("a b", false),
        (&long[..255], true),
        (&long, false),
    ] {
        let mut headers = HeaderMap::new();
        headers.insert(
            "idempotency-key",
            HeaderValue::from_str(value).expect("value"),
        );
        assert_eq!(
            parse::parse_idempotency_key(&headers).is_ok(),
            valid,
            "{value:?}"
        );
        headers.append("idempotency-key", HeaderValue::from_static("second"));
        assert!(parse::parse_idempotency_key(&headers).is_err());
    }
}

/// Guards against an overflow when a very long timeout is added to the arrival time.
#[test]
fn long_timeouts_are_capped() {
    let mut headers = HeaderMap::new();
    let arrival = time::Instant::now();
    headers.insert("x-timeout-ms", HeaderValue::from(u64::MAX));
    let deadline = parse::parse_deadline(&headers, arrival, 1).expect("deadline");
    let max_timeout = time::Duration::from_millis(parse::MAX_TIMEOUT_MS);
    assert_eq!(deadline, arrival + max_timeout);
}

/// Guards against short bodies of many values, of which each takes many times its text, and against
/// long prompts that are counted as such.
#[test]
fn the_memory_of_a_parsed_body_is_estimated_by_its_values() {
    let zeros = format!("{{\"a\":[{}0]}}", "0,".repeat(1 << 20));
    assert!(parse::parsed_bytes(zeros.as_bytes()) > 32 << 20);
    let objects = format!("[{}{{}}]", "{\"a\":0},".repeat(1 << 16));
    assert!(parse::parsed_bytes(objects.as_bytes()) > 40 << 20);
    let prompt = "[{,:\\\"".repeat(1 << 16);
    let text = format!("{{\"prompt\":\"{prompt}\"}}");
    assert!(parse::parsed_bytes(text.as_bytes()) < 3 * text.len() + 2_000);
}
