//! Detects that this process was paused, so that messages which waited meanwhile are not taken for
//! new ones.

use std::cell::Cell;

/// Time without an observation from which the process counts as paused; observations are made at
/// least every 250 ms.
const MIN_PAUSE_MS: u64 = 1_000;
/// Time after a pause in which the messages that arrived during it are processed.
const BACKLOG_MS: u64 = 250;

/// Pauses of this process.
#[derive(Debug, Default)]
pub struct PauseDetector {
    observed_ms: Cell<Option<u64>>,
    /// End of the time in which messages may have waited.
    backlog_until_ms: Cell<u64>,
}

impl PauseDetector {
    /// Records that the process runs.
    pub fn observe(&self, now_ms: u64) {
        let last_ms = self.observed_ms.replace(Some(now_ms)).unwrap_or(now_ms);
        if now_ms.saturating_sub(last_ms) >= MIN_PAUSE_MS {
            self.backlog_until_ms.set(now_ms + BACKLOG_MS);
        }
    }

    /// Whether a message that is processed now may have waited during a pause.
    pub fn may_have_waited(&self, now_ms: u64) -> bool {
        now_ms < self.backlog_until_ms.get()
    }
}
