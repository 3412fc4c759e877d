//! Reads bodies into memory with limits on their size and time. A faulty sender may send bytes
//! without end.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Instant,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

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

/// Memory for the bodies that are being read at the same time.
#[derive(Debug)]
pub struct BufferBudget {
    free: AtomicUsize,
}

impl BufferBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            free: AtomicUsize::new(max_bytes),
        }
    }

    fn try_take(&self, bytes: usize) -> bool {
        let take = |free: usize| free.checked_sub(bytes);
        self.free
            .try_update(Ordering::AcqRel, Ordering::Acquire, take)
            .is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.free.fetch_add(bytes, Ordering::AcqRel);
    }
}

/// Limits on the memory that one body takes.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits<'a> {
    /// Maximum size of the body.
    pub max_bytes: usize,
    /// Budget that the body shares with others, if any.
    pub budget: Option<&'a BufferBudget>,
}

impl BodyLimits<'static> {
    /// Limits for documents, of which few are read at a time.
    pub const DOCUMENT: Self = Self {
        max_bytes: MAX_DOCUMENT_BYTES,
        budget: None,
    };
}

/// A body that is being read, with its share of the budget.
struct BodyBuffer<'a> {
    limits: BodyLimits<'a>,
    bytes: BytesMut,
    /// Bytes taken from the budget.
    taken: usize,
}

impl BodyBuffer<'_> {
    fn push(&mut self, part: &Bytes) -> Result<(), BodyError> {
        let max_bytes = self.limits.max_bytes;
        if self.bytes.len() + part.len() > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        let budget = self.limits.budget;
        if budget.is_some_and(|budget| !budget.try_take(part.len())) {
            return Err(BodyError::OutOfMemory);
        }
        self.taken += part.len();
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the body. Its share of the budget is given back.
    fn close(mut self) -> Bytes {
        std::mem::take(&mut self.bytes).freeze()
    }
}

impl Drop for BodyBuffer<'_> {
    fn drop(&mut self) {
        if let Some(budget) = self.limits.budget {
            budget.give_back(self.taken);
        }
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// Returns why the body was not read to its end by the deadline.
pub async fn read_body(
    mut body: Incoming,
    limits: BodyLimits<'_>,
    deadline: Instant,
) -> Result<Bytes, BodyError> {
    let mut buffer = BodyBuffer {
        limits,
        bytes: BytesMut::new(),
        taken: 0,
    };
    loop {
        let frame = tokio::time::timeout_at(deadline.into(), body.frame()).await;
        let Some(frame) = frame.map_err(|_| BodyError::Timeout)? else {
            return Ok(buffer.close());
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

/// Reads a body that nobody needs, so that the connection can carry the next request. Reading ends
/// with the body, after `max_bytes` or at the deadline; the connection is closed unless the body
/// has ended.
pub async fn discard_body(mut body: Incoming, max_bytes: usize, deadline: Instant) {
    let mut left = max_bytes;
    while let Ok(Some(Ok(frame))) = tokio::time::timeout_at(deadline.into(), body.frame()).await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(length) {
            Some(rest) if Instant::now() < deadline => left = rest,
            _ => return,
        }
    }
}
