//! Turns of crash suspects: a request that may have crashed a target runs only while no identical
//! one, and no other suspect whose prompt shares a suspected beginning, runs at any daemon of the
//! region. Crashes are recorded for the request and for the beginnings of its prompt.

use std::{
    sync,
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

use acaciabank_core::suspect::{self, SuspectStatus};

use super::admission;
use crate::{peer, process};

/// Longest wait for a turn. A request that crashes its target does so within its first tokens, so
/// an identical one that has run for so long is not about to crash its target.
const MAX_TURN_WAIT: Duration = Duration::from_secs(2);
/// Interval at which a request that is held back asks again.
const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// A request's place among identical requests, from its arrival to its end.
pub(super) struct RequestTurn {
    state: process::SharedState,
    ticket: suspect::TurnTicket,
    /// Hashes of the prompt's complete pieces; empty for a service call.
    piece_hashes: sync::Arc<[u64]>,
    /// Whether the current attempt runs while no other suspect that shares a key does.
    is_trial: AtomicBool,
}

/// A target's crash while it ran an attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptCrash {
    /// Hash of the target's name.
    pub(super) target_hash: u32,
    /// Time by [`admission::crash_now_ms`] at which the request was sent to the target.
    pub(super) sent_ms: u64,
    /// Time at which the attempt failed.
    pub(super) failed_ms: u64,
    /// Whether the target had sent output of this attempt. A prompt crashes its target before.
    pub(super) has_output: bool,
}

impl RequestTurn {
    /// Adds a request, which does not run yet.
    pub(super) fn enter(
        state: &process::SharedState,
        fingerprint: u64,
        piece_hashes: sync::Arc<[u64]>,
    ) -> Self {
        let ticket = state
            .targets
            .admission
            .crash_state()
            .turns
            .enter(fingerprint);
        Self {
            state: sync::Arc::clone(state),
            ticket,
            piece_hashes,
            is_trial: AtomicBool::new(false),
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
    /// since it last waited for its turn, or is to be refused.
    /// Other suspects that share a key with it wait until it ends, so that it runs as a trial.
    pub(super) fn try_start(&self) -> bool {
        let mut crashes = self.state.targets.admission.crash_state();
        let status = crashes.status(self.ticket.fingerprint(), &self.piece_hashes);
        let may_start = match status {
            SuspectStatus::Clear => true,
            SuspectStatus::Isolated => crashes.turns.is_waiting(self.ticket),
            SuspectStatus::Refused => false,
        };
        if may_start {
            crashes.turns.start(self.ticket);
            let is_trial = status == SuspectStatus::Isolated;
            self.is_trial.store(is_trial, Ordering::Relaxed);
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
    pub(super) fn record_crash(&self, crash: AttemptCrash) {
        let mut crashes = self.state.targets.admission.crash_state();
        let pieces: &[u64] = match crash.has_output {
            true => &[],
            false => &self.piece_hashes,
        };
        let keys = admission::suspect_keys(self.ticket.fingerprint(), pieces);
        let record = match self.is_trial.load(Ordering::Relaxed) {
            true => suspect::SuspectTable::record_trial_crash,
            false => suspect::SuspectTable::record_crash,
        };
        let (target_hash, sent_ms) = (crash.target_hash, crash.sent_ms);
        record(
            &mut crashes.suspects,
            &keys,
            target_hash,
            sent_ms,
            crash.failed_ms,
        );
        crashes.turns.stop(self.ticket);
    }

    /// Records that a target has sent the first output on the request's prompt. Suspects that share
    /// only a beginning with it wait no longer.
    pub(super) fn record_output(&self) {
        let mut crashes = self.state.targets.admission.crash_state();
        crashes.turns.set_suspected(self.ticket, Vec::new());
        crashes
            .suspects
            .record_answer(&self.piece_hashes, admission::crash_now_ms());
    }

    /// Records that a target has run the request to its end. Few requests recur, so that only
    /// suspected ones are recorded.
    pub(super) fn record_completion(&self) {
        let mut crashes = self.state.targets.admission.crash_state();
        let fingerprint = self.ticket.fingerprint();
        if crashes.suspects.is_known(fingerprint) {
            let now_ms = admission::crash_now_ms();
            crashes.suspects.record_answer(&[fingerprint], now_ms);
        }
    }

    /// Whether the request is to be refused because targets crashed on it or its beginning.
    pub(super) fn is_refused(&self) -> bool {
        let crashes = self.state.targets.admission.crash_state();
        let status = crashes.status(self.ticket.fingerprint(), &self.piece_hashes);
        status == SuspectStatus::Refused
    }

    /// Lets the request wait if it is a suspect. Returns whether it is one.
    fn begin_wait(&self) -> bool {
        let mut crashes = self.state.targets.admission.crash_state();
        let status = crashes.status(self.ticket.fingerprint(), &self.piece_hashes);
        let is_suspect = status == SuspectStatus::Isolated;
        if is_suspect {
            let now_ms = admission::crash_now_ms();
            let suspected = crashes.suspects.open_keys(&self.piece_hashes, now_ms);
            crashes.turns.set_suspected(self.ticket, suspected);
            crashes.turns.wait(self.ticket);
        }
        is_suspect
    }

    async fn is_held_back(&self) -> bool {
        let question = {
            let mut crashes = self.state.targets.admission.crash_state();
            if crashes.turns.is_held_back(self.ticket) {
                return true;
            }
            peer::TurnQuestion {
                fingerprint: self.ticket.fingerprint(),
                clock: crashes.turns.wait(self.ticket),
                pieces: crashes.turns.suspected(self.ticket).to_vec(),
            }
        };
        self.state.peers.ask_for_turn(question).await
    }
}

impl Drop for RequestTurn {
    fn drop(&mut self) {
        let mut crashes = self.state.targets.admission.crash_state();
        crashes.turns.leave(self.ticket);
    }
}
