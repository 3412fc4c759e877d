//! Parsing of the events that an engine sends.

use acaciabank_daemon::dispatch::sse::{ChunkSummary, EventParser, StreamEvent};
use bytes::Bytes;
use serde_json::{Value, json};

/// What a parser returned for a stream: the chunks and ends, and whether it failed.
fn parse(parts: &[&[u8]]) -> (Vec<Option<ChunkSummary>>, bool) {
    let mut parser = EventParser::default();
    let mut events = Vec::new();
    for part in parts {
        parser.push(part);
        loop {
            match parser.next_event() {
                Ok(Some(StreamEvent::Done)) => events.push(None),
                Ok(Some(StreamEvent::Chunk(chunk))) => events.push(Some(chunk.summary)),
                Ok(None) => break,
                Err(_) => return (events, true),
            }
        }
    }
    (events, false)
}

/// Guards against a panic on bytes that are no event, and against events that depend on how the
/// network has split the stream.
#[test]
fn any_bytes_are_parsed_alike_however_they_are_split() {
    bolero::check!()
        .with_type::<(Vec<u8>, Vec<u8>, usize)>()
        .for_each(|(before, after, split)| {
            let chunk = br#"data: {"id":"c","choices":[{"text":"a"}]}"#.as_slice();
            let stream = [
                b"data: ",
                before.as_slice(),
                b"\n\n",
                chunk,
                b"\r\n\r\n",
                after,
            ]
            .concat();
            let (first, second) = stream.split_at(split % (stream.len() + 1));
            let whole = parse(&[&stream]);
            assert_eq!(parse(&[first, second]), whole);
            let bytes: Vec<&[u8]> = stream.chunks(1).collect();
            assert_eq!(parse(&bytes), whole);
        });
}

/// Guards against an event without end that takes the memory of the host.
#[test]
fn an_event_without_end_is_an_error() {
    let part = vec![b'x'; 4_096];
    let mut parser = EventParser::default();
    let pushed = (0..1_000).position(|_| {
        parser.push(&part);
        parser.next_event().is_err()
    });
    assert!(
        pushed.is_some_and(|parts| parts * part.len() <= 512 << 10),
        "{pushed:?}"
    );
}

/// Makes a chunk whose fields have the expected or another type.
fn chunk(choices: &[u8]) -> Value {
    let value = |choice: u8| match choice % 7 {
        0 => Value::Null,
        1 => json!(""),
        2 => json!("a \"b\" \\u0041"),
        3 => json!(3),
        4 => json!({"message": "overloaded"}),
        5 => json!([{"text": "x"}]),
        _ => json!(true),
    };
    let mut choices = choices.iter().copied().cycle();
    let mut next = || choices.next().unwrap_or(0);
    let choice = match next() % 4 {
        0 => value(next()),
        1 => json!({"text": value(next()), "finish_reason": value(next())}),
        2 => json!({"delta": {"content": value(next())}, "finish_reason": value(next())}),
        _ => json!({"text": value(next()), "delta": {"content": value(next())}}),
    };
    let choices = match next() % 3 {
        0 => json!([]),
        1 => json!([choice]),
        _ => json!([choice, {"text": "second"}]),
    };
    json!({
        "id": value(next()),
        "choices": choices,
        "usage": {"completion_tokens": value(next())},
        "error": value(next()),
    })
}

/// Guards against a fast path of the parser that decides differently about a chunk than the JSON
/// tree, such as a chunk whose text it does not see and whose token is then missing or repeated.
#[test]
fn the_fast_path_reads_what_the_json_tree_says() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|choices| {
        let chunk = chunk(choices);
        let data = Bytes::from(chunk.to_string());
        let parsed = ChunkSummary::parse(&data).expect("valid JSON");
        assert_eq!(parsed, ChunkSummary::from_value(&chunk), "{chunk}");
    });
}
