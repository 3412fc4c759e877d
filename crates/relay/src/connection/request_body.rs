//! Reads the bodies of requests into the memory budget of the process.

use std::{
    fmt,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};

use crate::memory::{BodyBuffer, BufferError, MemoryBudget, MemoryPart};

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits<'a> {
    /// Budget that the body shares with others.
    pub budget: &'a MemoryBudget,
    /// Maximum size of the body.
    pub max_bytes: usize,
    /// Longest time without a byte of the body.
    pub stall_timeout: Duration,
    /// Time by which the body must be complete.
    pub deadline: Instant,
}

/// Why the body of a request was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum RequestBodyError {
    /// It is too large, finds no room, or has given way to another one.
    #[error("{0}")]
    Memory(#[from] BufferError),
    /// No byte of it has arrived for the allowed time.
    #[error("no byte of the body arrived for too long")]
    Stalled,
    /// It was not complete at the deadline.
    #[error("the body was not complete at the deadline")]
    Late,
    /// The connection broke or the body is malformed.
    #[error("{0}")]
    Broken(String),
}

/// A body that was not read to its end.
#[derive(Debug)]
pub struct RequestBodyFailure {
    /// Why.
    pub error: RequestBodyError,
    /// Number of bytes that have been read.
    pub read_bytes: usize,
}

/// Reads the body of a request to its end. If it announces a size that is not allowed or finds no
/// room, nothing of it is read.
///
/// # Errors
///
/// Returns why the body was not read to its end. Its memory is free then.
pub async fn read_request_body<Source>(
    body: &mut Source,
    limits: RequestLimits<'_>,
) -> Result<Bytes, RequestBodyFailure>
where
    Source: Body<Data = Bytes> + Unpin,
    Source::Error: fmt::Display,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let reservation = limits.budget.open(MemoryPart::Requests);
    let mut buffer = BodyBuffer::new(limits.max_bytes, Some(reservation));
    let result = read_into(body, &mut buffer, limits).await;
    let read_bytes = buffer.len();
    let bytes = result.and_then(|()| Ok(buffer.into_bytes()?));
    bytes.map_err(|error| RequestBodyFailure { error, read_bytes })
}

async fn read_into<Source>(
    body: &mut Source,
    buffer: &mut BodyBuffer,
    limits: RequestLimits<'_>,
) -> Result<(), RequestBodyError>
where
    Source: Body<Data = Bytes> + Unpin,
    Source::Error: fmt::Display,
{
    if let Some(announced) = body.size_hint().exact() {
        buffer.allocate(usize::try_from(announced).unwrap_or(usize::MAX))?;
    }
    let mut stalled_at = Instant::now() + limits.stall_timeout;
    loop {
        let until = limits.deadline.min(stalled_at);
        let frame = match next_frame(body, buffer, until).await? {
            FrameWait::Frame(Ok(frame)) => frame,
            FrameWait::Frame(Err(error)) => {
                return Err(RequestBodyError::Broken(error.to_string()));
            }
            FrameWait::End => return Ok(()),
            FrameWait::TimedOut if until < limits.deadline => {
                return Err(RequestBodyError::Stalled);
            }
            FrameWait::TimedOut => return Err(RequestBodyError::Late),
        };
        let now = Instant::now();
        // A body whose parts are always ready never reaches the timeout of a part.
        if now >= limits.deadline {
            return Err(RequestBodyError::Late);
        }
        if let Ok(part) = frame.into_data()
            && !part.is_empty()
        {
            buffer.push(&part)?;
            stalled_at = now + limits.stall_timeout;
        }
    }
}

/// How the wait for a frame of a body ended.
enum FrameWait<Error> {
    Frame(Result<Frame<Bytes>, Error>),
    End,
    TimedOut,
}

/// Waits for a frame until `until` or until the body is evicted.
async fn next_frame<Source>(
    body: &mut Source,
    buffer: &BodyBuffer,
    until: Instant,
) -> Result<FrameWait<Source::Error>, BufferError>
where
    Source: Body<Data = Bytes> + Unpin,
{
    loop {
        // Created before the check, so that an eviction after it is not missed.
        let eviction = buffer.wait_eviction();
        buffer.check_evicted()?;
        tokio::select! {
            biased;
            frame = tokio::time::timeout_at(until.into(), body.frame()) => {
                return Ok(match frame {
                    Ok(Some(frame)) => FrameWait::Frame(frame),
                    Ok(None) => FrameWait::End,
                    Err(_) => FrameWait::TimedOut,
                });
            }
            () = eviction => {}
        }
    }
}
