//! Reads bodies into memory with limits on their size and time. A faulty sender may send bytes
//! without end.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::memory::{BodyBuffer, BufferError, MemoryBudget, MemoryPart};

/// Maximum size of a document from the store, a target or another daemon. A page of the
/// store's rows has at most 1 MB before its values are encoded as base64; a list of more than a
/// thousand targets, each of a few hundred bytes, fits several times.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection broke or the body is malformed.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// The body is larger than allowed.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// Other bodies take the memory that is set aside for them.
    #[error("the memory for buffered bodies is exhausted")]
    OutOfMemory,
    /// The body did not end in time.
    #[error("the body did not end in time")]
    Timeout,
}

impl From<BufferError> for BodyError {
    fn from(error: BufferError) -> Self {
        match error {
            BufferError::TooLarge(max_bytes) => Self::TooLarge(max_bytes),
            BufferError::NoRoom | BufferError::Evicted => Self::OutOfMemory,
        }
    }
}

/// Limits on the memory that one body takes.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits<'a> {
    /// Maximum size of the body.
    pub max_bytes: usize,
    /// Budget that the body shares with others, if any.
    pub budget: Option<&'a MemoryBudget>,
}

impl BodyLimits<'static> {
    /// Limits for documents, of which few are read at a time.
    pub const DOCUMENT: Self = Self {
        max_bytes: MAX_DOCUMENT_BYTES,
        budget: None,
    };
}

/// Reads the body of a response or a document to its end.
///
/// # Errors
///
/// Returns why the body was not read to its end by the deadline.
pub async fn read_body(
    mut body: Incoming,
    limits: BodyLimits<'_>,
    deadline: Instant,
) -> Result<Bytes, BodyError> {
    let reservation = limits
        .budget
        .map(|budget| budget.open(MemoryPart::Responses));
    let mut buffer = BodyBuffer::new(limits.max_bytes, reservation);
    if let Some(announced) = body.size_hint().exact()
        && limits.budget.is_some()
    {
        buffer.allocate(usize::try_from(announced).unwrap_or(usize::MAX))?;
    }
    loop {
        let frame = tokio::time::timeout_at(deadline.into(), body.frame()).await;
        let Some(frame) = frame.map_err(|_| BodyError::Timeout)? else {
            return Ok(buffer.into_bytes()?);
        };
        if let Ok(part) = frame?.into_data() {
            buffer.push(&part)?;
        }
        // A body whose parts are always ready never reaches the timeout above.
        if Instant::now() >= deadline {
            return Err(BodyError::Timeout);
        }
    }
}
