//! State of the shutdown that requests look at: its moments, and the signal that they end.

use std::{collections::HashSet, future, sync};

use acaciabank_core::shutdown;
use acaciabank_protocol::{ids, reason, verdict};
use tokio_util::sync::CancellationToken;

use crate::telemetry::names;

/// State of the daemon's shutdown.
#[derive(Debug, Default)]
pub struct ShutdownState {
    times: sync::OnceLock<shutdown::ShutdownTimes>,
    begun: CancellationToken,
    ended: CancellationToken,
    /// Requests that the shutdown has cut.
    interrupted: sync::Mutex<HashSet<ids::RequestId>>,
}

impl ShutdownState {
    /// Starts the shutdown; later calls have no effect.
    pub fn begin(&self, times: shutdown::ShutdownTimes) {
        let _ = self.times.set(times);
        self.begun.cancel();
    }

    /// Ends the requests that still run.
    pub fn end(&self) {
        self.ended.cancel();
    }

    /// Returns the moments of the shutdown; `None` before it.
    pub fn times(&self) -> Option<&shutdown::ShutdownTimes> {
        self.times.get()
    }

    /// Whether running requests have been ended.
    pub fn has_ended(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Waits until the shutdown begins.
    pub async fn wait_begin(&self) -> &shutdown::ShutdownTimes {
        self.begun.cancelled().await;
        match self.times.get() {
            Some(times) => times,
            // The times are set before the signal.
            None => future::pending().await,
        }
    }

    /// Waits until running requests end.
    pub async fn wait_end(&self) {
        self.ended.cancelled().await;
    }

    /// Counts a request that the shutdown has cut; returns whether it is the first time.
    pub fn record_interrupted(&self, request: &ids::RequestId) -> bool {
        let is_first = self.lock().insert(request.clone());
        if is_first {
            metrics::counter!(names::INTERRUPTED).increment(1);
        }
        is_first
    }

    /// Returns the number of requests that the shutdown has cut.
    pub fn interrupted(&self) -> usize {
        self.lock().len()
    }

    /// Locks the set. A panic while the lock is held leaves it consistent, so poisoning is ignored.
    fn lock(&self) -> sync::MutexGuard<'_, HashSet<ids::RequestId>> {
        let interrupted = self.interrupted.lock();
        interrupted.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Creates the refusal of a request that the shutdown leaves no time for. Another daemon can serve
/// it at once.
pub fn refusal(verdict: verdict::Verdict, message: &str) -> reason::Refusal {
    reason::Refusal {
        retry_after_s: Some(0),
        ..reason::Refusal::with_verdict(reason::RefusalReason::ShuttingDown, verdict, message)
    }
}
