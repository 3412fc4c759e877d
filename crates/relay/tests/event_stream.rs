//! Splitting of event streams into events.

use std::time::{Duration, Instant};

use acaciabank_relay::event_stream::EventBuffer;

/// Splits bytes into parts of the given sizes, which are used in turn.
fn parts<'a>(bytes: &'a [u8], sizes: &[u8]) -> Vec<&'a [u8]> {
    let mut rest = bytes;
    let mut sizes = sizes.iter().cycle();
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let size = sizes
            .next()
            .map_or(rest.len(), |size| usize::from(*size) + 1);
        let (part, after) = rest.split_at(size.min(rest.len()));
        parts.push(part);
        rest = after;
    }
    parts
}

/// Makes streams out of the bytes that matter to their structure.
fn stream(bytes: &[u8]) -> Vec<u8> {
    let pieces: [&[u8]; 8] = [
        b"\n",
        b"\n",
        b"\r\n",
        b"data: x",
        b"id: 7",
        b": comment",
        b"\r",
        b"\xff",
    ];
    let chosen = bytes.iter().map(|byte| pieces[usize::from(byte % 8)]);
    chosen.collect::<Vec<_>>().concat()
}

/// Guards against bytes that are lost, repeated or reordered, against an event that is passed on
/// before its end, and against events that depend on how the network has split the stream.
#[test]
fn events_do_not_depend_on_the_parts_of_a_stream() {
    bolero::check!()
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .for_each(|(bytes, sizes)| {
            let stream = stream(bytes);
            let mut whole = EventBuffer::default();
            whole.push(&stream);
            let expected: Vec<_> = std::iter::from_fn(|| whole.take_event()).collect();
            let (mut one_by_one, mut together) = (EventBuffer::default(), EventBuffer::default());
            let (mut events, mut batches) = (Vec::new(), Vec::new());
            for part in parts(&stream, sizes) {
                one_by_one.push(part);
                events.extend(std::iter::from_fn(|| one_by_one.take_event()));
                together.push(part);
                batches.extend(together.take_events());
            }
            assert_eq!(events, expected);
            for event in events.iter().chain(&batches) {
                let text = event.strip_suffix(b"\n").expect("the end of a line");
                let text = text.strip_suffix(b"\r").unwrap_or(text);
                assert!(
                    text.ends_with(b"\n"),
                    "{event:?} does not end with an empty line"
                );
            }
            let rest = one_by_one.take_rest();
            assert_eq!([events.concat(), rest.to_vec()].concat(), stream);
            let rest = together.take_rest();
            assert_eq!([batches.concat(), rest.to_vec()].concat(), stream);
        });
}

/// Guards against a stream of comments that counts as events.
#[test]
fn comments_are_taken_with_the_next_event() {
    let mut buffer = EventBuffer::default();
    buffer.push(b": keep-alive\n\n: keep-alive\r\n\r\n");
    assert_eq!(buffer.take_events(), None);
    assert!(buffer.is_complete());
    buffer.push(b"data: x\n");
    assert_eq!(buffer.take_events(), None);
    assert!(!buffer.is_complete());
    buffer.push(b"\ndata:");
    let events = buffer.take_events().expect("the event with the comments");
    assert!(events.ends_with(b"data: x\n\n"));
    assert_eq!(buffer.take_rest(), "data:");
}

/// Guards against time that grows with the square of an event's size when it arrives in tiny parts:
/// a few faulty targets would take the processor from all other requests.
#[test]
fn an_event_in_tiny_parts_takes_little_time() {
    let started = Instant::now();
    let (mut one_by_one, mut together) = (EventBuffer::default(), EventBuffer::default());
    for _ in 0..1 << 20 {
        one_by_one.push(b"x");
        assert_eq!(one_by_one.take_event(), None);
        together.push(b":\n");
        assert_eq!(together.take_events(), None);
    }
    // With a second look at all bytes for each part it takes hours.
    assert!(
        started.elapsed() < Duration::from_secs(30),
        "{:?}",
        started.elapsed()
    );
}
