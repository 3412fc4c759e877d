//! Trials that this daemon asks for.

use std::{fmt, net, rc, time::Duration};

use tokio::sync::oneshot;

use super::{TrialDecision, TrialEnd, TrialRequest, TrialResponse, server};
use crate::{
    clock, gossip, platform,
    scheduler::{self, PeerMessage},
    state,
};

/// Time limit for the answer to a question: a round trip between availability zones, and the time
/// that other tasks take on a small host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Questions to one daemon, as a datagram may be lost.
const MAX_QUESTIONS: usize = 2;
/// Daemons that are asked before this one decides itself.
const MAX_GRANTERS: usize = 2;

/// Permission to run a suspect. Dropping it reports the end of the trial, with what is known of its
/// keys by then.
pub struct TrialPermit {
    /// Time by [`clock::now_ms`] at which the trial was granted.
    pub granted_ms: u64,
    /// Whether no other suspect that shares a key runs.
    pub is_trial: bool,
    end: Option<Box<dyn FnOnce()>>,
}

impl fmt::Debug for TrialPermit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("TrialPermit");
        debug.field("granted_ms", &self.granted_ms);
        debug.finish_non_exhaustive()
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            end();
        }
    }
}

/// Asks whether a suspect with these keys may run.
///
/// # Errors
///
/// Returns the decision if it may not run now.
pub async fn request_trial<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    keys: &[u64],
) -> Result<TrialPermit, TrialDecision> {
    let id = rand::random();
    let candidates = scheduler::candidates(state, clock::now_ms());
    for candidate in candidates.iter().take(MAX_GRANTERS) {
        if candidate.daemon_hash == state.daemon_hash {
            break;
        }
        let Some(address) = state.peers.borrow().address_of(candidate.daemon_hash) else {
            continue;
        };
        // It may run as soon as it is granted, so that an end is reported also if the answer is
        // lost or this question is cancelled.
        let permit = remote_permit(state, id, keys, address);
        if let Some(decision) = ask(state, id, keys, address).await {
            return match decision {
                TrialDecision::Granted => Ok(permit.granted_now()),
                TrialDecision::Clear => Ok(permit.cleared()),
                decision => {
                    permit.cleared();
                    Err(decision)
                }
            };
        }
        metrics::counter!("acaciabank_unanswered_trials_total").increment(1);
    }
    match server::decide(state, id, keys) {
        TrialDecision::Granted => Ok(own_permit(state, id)),
        TrialDecision::Clear => Ok(own_permit(state, id).cleared()),
        decision => Err(decision),
    }
}

impl TrialPermit {
    fn granted_now(mut self) -> Self {
        self.granted_ms = clock::now_ms();
        self
    }

    /// Turns it into that of a request that needs no trial, whose end is not reported.
    fn cleared(mut self) -> Self {
        self.granted_ms = clock::now_ms();
        self.is_trial = false;
        self.end = None;
        self
    }
}

fn remote_permit<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    id: u64,
    keys: &[u64],
    granter: net::SocketAddr,
) -> TrialPermit {
    let (state, keys) = (rc::Rc::clone(state), keys.to_vec());
    let end = move || {
        let suspects = known_suspects(&state, &keys);
        let message = PeerMessage::TrialEnd(TrialEnd { id, suspects });
        state.scheduler.send(&message, granter);
    };
    TrialPermit {
        granted_ms: clock::now_ms(),
        is_trial: true,
        end: Some(Box::new(end)),
    }
}

/// Returns what this daemon knows of the given keys.
fn known_suspects<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    keys: &[u64],
) -> gossip::SuspectEntries {
    let mut suspects = state.suspects.borrow_mut();
    suspects.report_on(keys, clock::now_ms()).into()
}

fn own_permit<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    id: u64,
) -> TrialPermit {
    let state = rc::Rc::clone(state);
    let end = move || {
        state.trials.granted.borrow_mut().end(id);
        state.trials.wake_waiting();
    };
    TrialPermit {
        granted_ms: clock::now_ms(),
        is_trial: true,
        end: Some(Box::new(end)),
    }
}

/// Removes a question from the pending ones when dropped.
struct PendingQuestion<'a> {
    trials: &'a super::TrialState,
    id: u64,
}

impl Drop for PendingQuestion<'_> {
    fn drop(&mut self) {
        self.trials.pending.borrow_mut().remove(&self.id);
    }
}

/// Asks one daemon; returns `None` without an answer in time.
async fn ask<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    id: u64,
    keys: &[u64],
    granter: net::SocketAddr,
) -> Option<TrialDecision> {
    let trials = &state.trials;
    let (sender, mut receiver) = oneshot::channel();
    trials.pending.borrow_mut().insert(id, sender);
    let _pending = PendingQuestion { trials, id };
    let message = PeerMessage::TrialRequest(TrialRequest {
        id,
        keys: keys.to_vec(),
        suspects: known_suspects(state, keys),
    });
    for _ in 0..MAX_QUESTIONS {
        state.scheduler.send(&message, granter);
        if let Ok(answer) = tokio::time::timeout(ANSWER_TIMEOUT, &mut receiver).await {
            return answer.ok();
        }
    }
    None
}

/// Passes an answer to the task that waits for it; a late answer is ignored.
pub fn receive_response<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    response: TrialResponse,
) {
    let sender = state.trials.pending.borrow_mut().remove(&response.id);
    if let Some(sender) = sender {
        // The question may have just timed out.
        let _: Result<(), TrialDecision> = sender.send(response.answer);
    }
}
