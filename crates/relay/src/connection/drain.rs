//! Reads what is left of a refused body, within bounds.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Maximum number of bodies that are drained at a time. Each takes a read buffer and the kernel's
/// receive buffer, about 100 KB together.
const MAX_DRAINS: usize = 32;

/// The bodies that are being drained. Clones share the number.
#[derive(Clone, Debug, Default)]
pub struct DrainSlots(Arc<AtomicUsize>);

impl DrainSlots {
    /// Takes a slot until it is dropped; `None` if all are taken.
    pub fn try_take(&self) -> Option<DrainSlot> {
        let take = |taken: usize| (taken < MAX_DRAINS).then_some(taken + 1);
        let taken = self.0.try_update(Ordering::AcqRel, Ordering::Acquire, take);
        taken.is_ok().then(|| DrainSlot(Arc::clone(&self.0)))
    }
}

/// A body that is being drained.
#[derive(Debug)]
pub struct DrainSlot(Arc<AtomicUsize>);

impl Drop for DrainSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Reads a body that nobody needs, so that the connection can carry the next request. Reading ends
/// with the body, after `max_bytes` or at the deadline. Returns whether the body has ended; the
/// connection is closed otherwise.
pub async fn discard_body(mut body: Incoming, max_bytes: usize, deadline: Instant) -> bool {
    let mut left = max_bytes;
    loop {
        let frame = match tokio::time::timeout_at(deadline.into(), body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return true,
            Ok(Some(Err(_))) | Err(_) => return false,
        };
        let length = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(length) {
            Some(rest) if Instant::now() < deadline => left = rest,
            _ => return false,
        }
    }
}
