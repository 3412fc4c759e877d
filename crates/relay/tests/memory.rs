//! Tests of the memory budget and of reading request bodies into it.

use std::{
    convert::Infallible,
    time::{Duration, Instant},
};

use acaciabank_relay::{
    connection::{self, RequestBodyError, RequestLimits},
    memory::{BodyBuffer, BufferError, MemoryBudget, MemoryLimits, MemoryPart},
};
use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;

const MIB: usize = 1 << 20;
const LIMITS: MemoryLimits = MemoryLimits {
    request_bytes: 16 * MIB,
    response_bytes: 16 * MIB,
};
/// Longest time without a byte of a body in these tests, more than that after which it is evicted.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);

type Frames = stream::BoxStream<'static, Result<Frame<Bytes>, Infallible>>;

fn limits(budget: &MemoryBudget) -> RequestLimits<'_> {
    RequestLimits {
        budget,
        max_bytes: 4 * MIB,
        stall_timeout: STALL_TIMEOUT,
        deadline: Instant::now() + Duration::from_secs(60),
    }
}

fn used(budget: &MemoryBudget) -> usize {
    budget.used_bytes(MemoryPart::Requests)
}

/// Returns a body of frames with one byte each that does not end by itself.
fn endless_bytes(count: usize) -> StreamBody<Frames> {
    // Slices of one large buffer, as hyper hands them out.
    let buffer = Bytes::from(vec![b'x'; 64 << 10]);
    let frames = (0..count).map(move |number| {
        let offset = number % buffer.len();
        Ok(Frame::data(buffer.slice(offset..offset + 1)))
    });
    StreamBody::new(stream::iter(frames).chain(stream::pending()).boxed())
}

/// Guards against memory that is given back while a copy of the body is still in use, or never.
#[tokio::test]
async fn a_reservation_ends_with_the_last_copy() {
    let budget = MemoryBudget::new(LIMITS);
    let mut body = Full::new(Bytes::from(vec![b'x'; MIB]));
    let bytes = connection::read_request_body(&mut body, limits(&budget)).await;
    let bytes = bytes.expect("a body");
    assert_eq!((bytes.len(), used(&budget)), (MIB, MIB));
    let copy = bytes.slice(10..20);
    drop(bytes);
    assert_eq!(used(&budget), MIB);
    drop(copy);
    assert_eq!(used(&budget), 0);
}

/// Guards against parts that keep the buffers alive that they are slices of: a body of tiny parts is
/// charged what it takes, at most twice its size.
#[test]
fn tiny_parts_are_copied_together() {
    let budget = MemoryBudget::new(LIMITS);
    let mut buffer = BodyBuffer::new(4 * MIB, Some(budget.open(MemoryPart::Requests)));
    for _ in 0..100_000 {
        buffer.push(b"x").expect("room");
    }
    assert!((100_000..=200_000).contains(&used(&budget)), "{budget:?}");
    let bytes = buffer.into_bytes().expect("a body");
    assert_eq!((bytes.len(), used(&budget)), (100_000, 100_000));
}

/// Guards against bodies that are read although they cannot be accepted.
#[tokio::test]
async fn announced_bodies_without_room_are_not_read() {
    let budget = MemoryBudget::new(LIMITS);
    let mut body = Full::new(Bytes::from(vec![b'x'; 5 * MIB]));
    let failure = connection::read_request_body(&mut body, limits(&budget)).await;
    let failure = failure.expect_err("a body over the limit");
    assert_eq!(failure.read_bytes, 0);
    let error = RequestBodyError::Memory(BufferError::TooLarge(4 * MIB));
    assert_eq!(failure.error.to_string(), error.to_string());

    let mut held = Vec::new();
    for _ in 0..3 {
        let mut body = Full::new(Bytes::from(vec![b'x'; 4 * MIB]));
        let bytes = connection::read_request_body(&mut body, limits(&budget)).await;
        held.push(bytes.expect("a body"));
    }
    let mut body = Full::new(Bytes::from(vec![b'x'; 4 * MIB]));
    let failure = connection::read_request_body(&mut body, limits(&budget)).await;
    let failure = failure.expect_err("a body without room");
    assert_eq!(failure.read_bytes, 0);
    assert!(matches!(
        failure.error,
        RequestBodyError::Memory(BufferError::NoRoom)
    ));
    let mut small = Full::new(Bytes::from_static(b"small"));
    let bytes = connection::read_request_body(&mut small, limits(&budget)).await;
    assert_eq!(bytes.expect("a small body"), "small");
    drop(held);
    assert_eq!(used(&budget), 0);
}

/// Guards against a body that never ends and holds its memory until the deadline.
#[tokio::test]
async fn a_body_without_progress_is_given_up() {
    let budget = MemoryBudget::new(LIMITS);
    let mut body = endless_bytes(1_000);
    let failure = connection::read_request_body(&mut body, limits(&budget)).await;
    let failure = failure.expect_err("a stalled body");
    assert!(matches!(failure.error, RequestBodyError::Stalled));
    assert_eq!((failure.read_bytes, used(&budget)), (1_000, 0));
}

/// Guards against a stalled body that keeps its memory although small ones need it.
#[tokio::test]
async fn an_evicted_body_ends_at_once() {
    let budget = MemoryBudget::new(MemoryLimits {
        request_bytes: 64 << 10,
        ..LIMITS
    });
    let mut body = endless_bytes(40_000);
    let stalled = connection::read_request_body(&mut body, limits(&budget));
    let small = async {
        // The stall is timed by the clock of the host.
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        let mut body = Full::new(Bytes::from(vec![b'x'; 32 << 10]));
        connection::read_request_body(&mut body, limits(&budget)).await
    };
    let (stalled, small) = tokio::join!(stalled, small);
    let failure = stalled.expect_err("an evicted body");
    assert!(matches!(
        failure.error,
        RequestBodyError::Memory(BufferError::Evicted)
    ));
    assert_eq!(small.expect("a small body").len(), 32 << 10);
}
