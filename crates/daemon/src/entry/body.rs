//! Bodies of requests: reading them into the memory budget, and dropping the rest of those that are
//! refused.

use std::time::{Duration, Instant};

use acaciabank_core::body_memory::{LARGE_BYTES, ReserveOutcome};
use acaciabank_protocol::{
    reason::{Refusal, RefusalReason},
    verdict::Verdict,
};
use acaciabank_relay::{
    connection::{self, RequestBodyError},
    memory::{BufferError, MemoryPart, MemoryReservation},
    telemetry::{OverloadReason, count_overload},
};
use bytes::Bytes;
use hyper::{
    body::{Body, Incoming},
    header,
};

use super::{EntryState, parse};
use crate::process;

/// Longest time for which the rest of a refused body is read, so that its caller gets the refusal.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(2);
/// Bytes over the largest size of a body that are read of one, counted from its beginning. A body of
/// legal size that is refused for lack of memory is read to its end, so that its caller gets the
/// refusal.
const EXCESS_BYTES: usize = 1 << 20;

/// Largest memory of the parsed form with which a small body counts as small: its text in three
/// copies and its values.
const MAX_SMALL_PARSED_BYTES: usize = 4 * LARGE_BYTES;

/// The body of a request that has not been read.
pub(super) struct UnreadBody {
    body: Incoming,
    /// Held until the body has been read or dropped.
    guard: Option<connection::BodyGuard>,
    /// Whether the caller sends the body only after a response with status 100.
    is_awaited: bool,
}

impl UnreadBody {
    /// Takes the body of a request, with what its head says about it.
    pub(super) fn new(head: &mut http::request::Parts, body: Incoming) -> Self {
        Self {
            body,
            guard: head.extensions.remove(),
            is_awaited: head.headers.contains_key(header::EXPECT),
        }
    }

    /// Reads the body into the memory budget. No target is sent the request before it is complete.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body is too large, finds no room, breaks or does not arrive in
    /// time. What is left of it is read in the background for a short time.
    pub(super) async fn read(
        mut self,
        entry: &EntryState,
        deadline: Instant,
    ) -> Result<Bytes, Refusal> {
        let settings = &entry.state.settings;
        let limits = connection::RequestLimits {
            budget: &entry.state.memory,
            max_bytes: settings.limits.max_body_bytes,
            stall_timeout: Duration::from_millis(settings.timers.body_timeout_ms),
            deadline,
        };
        let result = tokio::select! {
            biased;
            result = connection::read_request_body(&mut self.body, limits) => result,
            () = entry.state.shutdown.wait_end() => {
                let message = "the daemon shut down before the body was complete";
                return Err(process::shutdown_refusal(Verdict::NotRun, message));
            }
        };
        result.map_err(|failure| {
            let refusal = refusal(&failure.error);
            // A caller that waits for a 100 sends no body after a refusal.
            if failure.read_bytes > 0 || !self.is_awaited {
                self.drain(entry, failure.read_bytes);
            }
            refusal
        })
    }

    /// Reads the rest of a refused body in the background, of which `read_bytes` have been read. A connection that is closed with unread
    /// bytes is reset, and the caller may lose the refusal.
    fn drain(self, entry: &EntryState, read_bytes: usize) {
        if self.body.is_end_stream() {
            return;
        }
        let Some(slot) = entry.drains.try_take() else {
            count_overload(OverloadReason::DrainEnded, 1);
            return;
        };
        let max_body_bytes = entry.state.settings.limits.max_body_bytes;
        let max_bytes = (max_body_bytes + EXCESS_BYTES).saturating_sub(read_bytes);
        let deadline = Instant::now() + MAX_DRAIN_TIME;
        tokio::spawn(async move {
            if !connection::discard_body(self.body, max_bytes, deadline).await {
                count_overload(OverloadReason::DrainEnded, 1);
            }
            drop((self.guard, slot));
        });
    }
}

/// Reserves the memory that a body of JSON takes when it is parsed, and when it is written to an
/// engine. That of a small body is reserved in pieces, which may use the room of small bodies.
///
/// # Errors
///
/// `overloaded` if there is no room, `body_too_large` if there is never room for such a body.
pub(super) fn reserve_parsed(
    entry: &EntryState,
    body: &[u8],
) -> Result<Vec<MemoryReservation>, Refusal> {
    let bytes = parse::parsed_bytes(body);
    let state = &entry.state;
    if bytes > process::max_parsed_bytes(&state.settings.limits) {
        count_overload(OverloadReason::BodyTooLarge, 1);
        let message = format!("the parsed body would take {bytes} bytes");
        return Err(Refusal::not_run(RefusalReason::BodyTooLarge, message));
    }
    let is_small = body.len() <= LARGE_BYTES && bytes <= MAX_SMALL_PARSED_BYTES;
    let piece_bytes = if is_small { LARGE_BYTES } else { bytes };
    let mut reservations = Vec::new();
    let mut left = bytes;
    while left > 0 {
        let reservation = state.memory.open(MemoryPart::Requests);
        // The body has arrived, so that it gives way to no other.
        reservation.complete();
        let piece = left.min(piece_bytes);
        if reservation.resize(piece) != ReserveOutcome::Granted {
            return Err(refusal(&RequestBodyError::Memory(BufferError::NoRoom)));
        }
        reservations.push(reservation);
        left -= piece;
    }
    Ok(reservations)
}

/// Returns and counts the refusal of a request whose body was not read to its end.
fn refusal(error: &RequestBodyError) -> Refusal {
    let (reason, counted) = match error {
        RequestBodyError::Memory(BufferError::TooLarge(_)) => {
            (RefusalReason::BodyTooLarge, OverloadReason::BodyTooLarge)
        }
        RequestBodyError::Memory(BufferError::NoRoom) => {
            (RefusalReason::Overloaded, OverloadReason::NoMemory)
        }
        RequestBodyError::Memory(BufferError::Evicted) | RequestBodyError::Stalled => {
            (RefusalReason::BodyTimeout, OverloadReason::BodyStalled)
        }
        RequestBodyError::Late => (RefusalReason::BodyTimeout, OverloadReason::BodyLate),
        RequestBodyError::Broken(error) => return parse::bad_request(format!("body: {error}")),
    };
    count_overload(counted, 1);
    Refusal::not_run(reason, error.to_string())
}
