//! Turns of crash suspects: a request that may have crashed a target runs only while no identical
//! one runs at any daemon of the region.

use std::time::{Duration, Instant};

use acaciabank_core::suspect::{self, SuspectStatus};

use crate::{process, target};

/// Longest wait for a turn. A request that crashes its target does so within its first tokens, so
/// an identical one that has run for so long is not about to crash its target.
const MAX_TURN_WAIT: Duration = Duration::from_secs(2);
/// Interval at which a request that is held back asks again.
const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// A request's place among identical requests, from its arrival to its end.
pub(super) struct RequestTurn {
    state: process::SharedState,
    ticket: suspect::TurnTicket,
}

impl RequestTurn {
    /// Adds a request, which does not run yet.
    pub(super) fn enter(state: &process::SharedState, fingerprint: u64) -> Self {
        let ticket = state
            .targets
            .admission
            .crash_state()
            .turns
            .enter(fingerprint);
        Self {
            state: std::sync::Arc::clone(state),
            ticket,
        }
    }

    /// Waits until the request may run: at once if it is no suspect or is to be refused.
    pub(super) async fn wait(&self) {
        let until = Instant::now() + MAX_TURN_WAIT;
        while self.begin_wait() && Instant::now() < until {
            if !self.is_held_back().await {
                return;
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    }

    /// Records that the request starts at a target. Returns `false` if it has become a suspect
    /// since it last waited for its turn.
    pub(super) fn try_start(&self) -> bool {
        let mut crashes = self.state.targets.admission.crash_state();
        let status = crashes
            .suspects
            .status(self.ticket.fingerprint(), target::now_ms());
        let may_start = match status {
            SuspectStatus::Clear => true,
            SuspectStatus::Isolated => crashes.turns.is_waiting(self.ticket),
            SuspectStatus::Refused => false,
        };
        if may_start {
            crashes.turns.start(self.ticket);
        }
        may_start
    }

    /// Records that the request no longer runs.
    pub(super) fn stop(&self) {
        let mut crashes = self.state.targets.admission.crash_state();
        crashes.turns.stop(self.ticket);
    }

    /// Records that the request's target crashed. No daemon sees the request stopped without also
    /// seeing the crash.
    pub(super) fn record_crash(&self, target_hash: u32) {
        let mut crashes = self.state.targets.admission.crash_state();
        let fingerprint = self.ticket.fingerprint();
        crashes
            .suspects
            .record_crash(fingerprint, target_hash, target::now_ms());
        crashes.turns.stop(self.ticket);
    }

    /// Lets the request wait if it is a suspect. Returns whether it is one.
    fn begin_wait(&self) -> bool {
        let mut crashes = self.state.targets.admission.crash_state();
        let status = crashes
            .suspects
            .status(self.ticket.fingerprint(), target::now_ms());
        let is_suspect = status == SuspectStatus::Isolated;
        if is_suspect {
            crashes.turns.wait(self.ticket);
        }
        is_suspect
    }

    async fn is_held_back(&self) -> bool {
        let clock = {
            let mut crashes = self.state.targets.admission.crash_state();
            if crashes.turns.is_held_back(self.ticket) {
                return true;
            }
            crashes.turns.wait(self.ticket)
        };
        let fingerprint = self.ticket.fingerprint();
        self.state.peers.ask_for_turn(fingerprint, clock).await
    }
}

impl Drop for RequestTurn {
    fn drop(&mut self) {
        let mut crashes = self.state.targets.admission.crash_state();
        crashes.turns.leave(self.ticket);
    }
}
