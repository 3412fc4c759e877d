//! Keyed calls at this daemon. At most one call per key proceeds at a time; the others wait for it.

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use acaciabank_protocol::ids;
use tokio::{sync::watch, time};

use super::run::RecordedResponse;
use crate::peer;

type CallKey = (ids::TeamId, String);
type CallMap = Arc<Mutex<HashMap<CallKey, LocalCall>>>;

/// Registry of the keyed calls at this daemon.
#[derive(Debug, Default)]
pub struct KeyCoordinator {
    calls: CallMap,
    pub(super) intent_deadlines: super::intent_deadlines::IntentDeadlines,
}

#[derive(Debug)]
struct LocalCall {
    progress: watch::Receiver<CallProgress>,
}

/// Progress of a local call, as observed by other calls with the same key.
#[derive(Clone, Debug)]
pub(super) enum CallProgress {
    /// The response is not known yet.
    Active,
    /// The response is known; it may not have been written to the table yet.
    Answered {
        fingerprint: u64,
        response: Arc<RecordedResponse>,
    },
    /// The call was refused without a dispatch because the table did not respond. It still has to
    /// ensure that its intent does not stay in the table.
    Unrecorded,
    /// The call has ended.
    Ended,
}

/// Role of a call among the local calls with its key.
pub(super) enum CallRole {
    /// The call that coordinates the key.
    Leader(CallGuard),
    /// Another call coordinates the key; its progress can be observed.
    Follower(watch::Receiver<CallProgress>),
}

/// Keeps the leading call of a key registered. Dropping it ends the call and wakes its followers.
pub(super) struct CallGuard {
    calls: CallMap,
    call_key: CallKey,
    progress: watch::Sender<CallProgress>,
}

impl KeyCoordinator {
    /// State of a key's local call, for another daemon; waits at most `wait_ms` for the call to
    /// end.
    pub async fn local_state(
        &self,
        team: &ids::TeamId,
        key: &str,
        wait_ms: u32,
    ) -> peer::RemoteKeyState {
        let Some(mut progress) = self.find(team, key) else {
            return peer::RemoteKeyState::Unknown;
        };
        let ended = progress.wait_for(|progress| matches!(progress, CallProgress::Ended));
        match time::timeout(Duration::from_millis(u64::from(wait_ms)), ended).await {
            Ok(_) => peer::RemoteKeyState::Finished,
            Err(_) => peer::RemoteKeyState::Running,
        }
    }

    /// Number of calls that coordinate a key or write its outcome; a graceful shutdown waits for 0.
    /// Calls that were refused without a dispatch do not count, because the table may be
    /// unavailable for long.
    pub fn active_call_count(&self) -> usize {
        let calls = lock(&self.calls);
        let is_unrecorded =
            |call: &&LocalCall| matches!(*call.progress.borrow(), CallProgress::Unrecorded);
        calls.len() - calls.values().filter(is_unrecorded).count()
    }

    /// Registers a call as the leader of a key, or as a follower of the registered leader.
    pub(super) fn join(&self, team: &ids::TeamId, key: &str) -> CallRole {
        let call_key = (team.clone(), key.to_owned());
        match lock(&self.calls).entry(call_key.clone()) {
            Entry::Occupied(entry) => CallRole::Follower(entry.get().progress.clone()),
            Entry::Vacant(entry) => {
                let (sender, receiver) = watch::channel(CallProgress::Active);
                entry.insert(LocalCall { progress: receiver });
                CallRole::Leader(CallGuard {
                    calls: Arc::clone(&self.calls),
                    call_key,
                    progress: sender,
                })
            }
        }
    }

    fn find(&self, team: &ids::TeamId, key: &str) -> Option<watch::Receiver<CallProgress>> {
        lock(&self.calls)
            .get(&(team.clone(), key.to_owned()))
            .map(|call| call.progress.clone())
    }
}

impl CallGuard {
    /// Lets followers know that the call was refused without a dispatch.
    pub(super) fn mark_unrecorded(&self) {
        self.progress.send_replace(CallProgress::Unrecorded);
    }

    /// Passes the response to the followers.
    pub(super) fn publish(&self, fingerprint: u64, response: Arc<RecordedResponse>) {
        let progress = CallProgress::Answered {
            fingerprint,
            response,
        };
        self.progress.send_replace(progress);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        lock(&self.calls).remove(&self.call_key);
        self.progress.send_replace(CallProgress::Ended);
    }
}

fn lock(calls: &CallMap) -> MutexGuard<'_, HashMap<CallKey, LocalCall>> {
    calls.lock().unwrap_or_else(PoisonError::into_inner)
}
