//! Trials that this daemon asks for.

use std::{cell::Cell, fmt, net, rc, time::Duration};

use acaciabank_core::suspect::{self, TrialAnswer};

use super::{TrialEnd, TrialRequest, TrialResponse, server};
use crate::{
    clock, platform,
    scheduler::{self, PeerMessage},
    state,
};

/// Time limit for the answer to a question: a round trip between availability zones, and the time
/// that other tasks take on a small host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Daemons that are asked before this one decides itself.
const MAX_GRANTERS: usize = 2;
/// Reports of the end of a trial, as a datagram may be lost.
const END_REPORTS: usize = 2;

/// Permission to run a suspect. Dropping it reports the end of the trial, with what is known of its
/// keys by then.
pub struct TrialPermit {
    /// Time by [`clock::now_ms`] at which the trial was granted.
    pub granted_ms: u64,
    /// Why it may run.
    pub answer: TrialAnswer,
    /// Keys for which the request is a suspect.
    pub open_keys: Vec<u64>,
    /// Whether the request was sent to a target.
    pub was_sent: Cell<bool>,
    end: Option<Box<dyn FnOnce(bool)>>,
}

impl fmt::Debug for TrialPermit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("TrialPermit");
        debug.field("granted_ms", &self.granted_ms);
        debug.field("answer", &self.answer);
        debug.finish_non_exhaustive()
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            end(self.was_sent.get());
        }
    }
}

impl TrialPermit {
    fn new(open_keys: &[u64], end: impl FnOnce(bool) + 'static) -> Self {
        Self {
            granted_ms: clock::now_ms(),
            answer: TrialAnswer::Granted,
            open_keys: open_keys.to_vec(),
            was_sent: Cell::new(false),
            end: Some(Box::new(end)),
        }
    }

    /// Returns the permission that an answer gives, or else the answer. Only the end of a trial that
    /// was granted is reported.
    fn resolve(mut self, answer: TrialAnswer) -> Result<Self, TrialAnswer> {
        self.granted_ms = clock::now_ms();
        self.answer = answer;
        match answer {
            TrialAnswer::Granted | TrialAnswer::GrantedAtOnce => Ok(self),
            TrialAnswer::Clear => {
                self.end = None;
                Ok(self)
            }
            TrialAnswer::Wait | TrialAnswer::Refused => {
                self.end = None;
                Err(answer)
            }
        }
    }
}

/// Asks whether a suspect with these keys may run; `open_keys` are those that this daemon suspects.
///
/// # Errors
///
/// Returns the answer if it may not run now.
pub async fn request_trial<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    keys: &[u64],
    open_keys: &[u64],
) -> Result<TrialPermit, TrialAnswer> {
    let id = rand::random();
    let candidates = scheduler::candidates(state, clock::now_ms());
    for candidate in candidates.iter().take(MAX_GRANTERS) {
        if candidate.daemon_hash == state.daemon_hash {
            break;
        }
        let Some(address) = state.peers.borrow().address_of(candidate.daemon_hash) else {
            continue;
        };
        // It may be granted although the answer is lost or this question is cancelled, so that
        // dropping the permission reports the end in these cases too.
        let permit = remote_permit(state, id, open_keys, address);
        if let Some(answer) = ask(state, id, keys, address).await {
            return permit.resolve(answer);
        }
        metrics::counter!("acaciabank_unanswered_trials_total").increment(1);
    }
    let answer = server::decide(state, id, keys);
    own_permit(state, id, open_keys).resolve(answer)
}

fn remote_permit<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    id: u64,
    open_keys: &[u64],
    granter: net::SocketAddr,
) -> TrialPermit {
    let (state, keys) = (rc::Rc::clone(state), open_keys.to_vec());
    TrialPermit::new(open_keys, move |was_sent| {
        let message = PeerMessage::TrialEnd(TrialEnd {
            id,
            was_sent,
            suspects: known_suspects(&state, &keys),
        });
        for _ in 0..END_REPORTS {
            state.scheduler.send(&message, granter);
        }
    })
}

/// Returns what this daemon knows of the given keys.
fn known_suspects<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    keys: &[u64],
) -> suspect::SuspectReport {
    let mut suspects = state.suspects.borrow_mut();
    suspects.report_on(keys, clock::now_ms())
}

fn own_permit<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    id: u64,
    open_keys: &[u64],
) -> TrialPermit {
    let state = rc::Rc::clone(state);
    TrialPermit::new(open_keys, move |was_sent| {
        state.trials.granted.borrow_mut().end(id, was_sent);
        state.trials.wake_waiting();
    })
}

/// Asks one daemon; returns `None` without an answer in time.
async fn ask<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    id: u64,
    keys: &[u64],
    granter: net::SocketAddr,
) -> Option<TrialAnswer> {
    let trials = &state.trials;
    let message = PeerMessage::TrialRequest(TrialRequest {
        id,
        keys: keys.to_vec(),
        suspects: known_suspects(state, keys),
    });
    let send = || state.scheduler.send(&message, granter);
    trials.pending.ask(id, ANSWER_TIMEOUT, send).await
}

/// Passes an answer to the task that waits for it.
pub fn receive_response<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    response: TrialResponse,
) {
    let pending = &state.trials.pending;
    pending.resolve(response.id, response.answer);
}
