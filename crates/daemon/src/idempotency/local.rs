//! Calls of this daemon with an idempotency key; at most one call per key works at a time.

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use acaciabank_protocol::ids;
use tokio::{sync::watch, time};

use super::run::RecordedAnswer;
use crate::peer;

type KeyName = (ids::TeamId, String);
type RunMap = Arc<Mutex<HashMap<KeyName, LocalRun>>>;

/// Keyed requests that this daemon coordinates.
#[derive(Debug, Default)]
pub struct KeyCoordinator {
    runs: RunMap,
    pub(super) sightings: super::sighting::SightingLog,
}

#[derive(Debug)]
struct LocalRun {
    progress: watch::Receiver<RunProgress>,
}

/// Progress of a local call, as other calls with the same key see it.
#[derive(Clone, Debug)]
pub(super) enum RunProgress {
    /// Its answer is not known.
    Active,
    /// Its answer is known; its record may still be on the way to the table.
    Answered {
        fingerprint: u64,
        answer: Arc<RecordedAnswer>,
    },
    /// It was refused without a run, because the table did not answer; it still makes sure that its
    /// intent does not stay in the table.
    Unrecorded,
    /// It works on the key no longer.
    Ended,
}

/// Part that a call has among the local calls with its key.
pub(super) enum RunPart {
    /// It works on the key.
    Leader(RunGuard),
    /// Another call works on the key.
    Follower(watch::Receiver<RunProgress>),
}

/// Keeps a call registered; the others with its key are released when it is dropped.
pub(super) struct RunGuard {
    runs: RunMap,
    name: KeyName,
    progress: watch::Sender<RunProgress>,
}

impl KeyCoordinator {
    /// State of a key for another daemon that asks; waits at most `wait_ms` for its end.
    pub async fn local_state(
        &self,
        team: &ids::TeamId,
        key: &str,
        wait_ms: u32,
    ) -> peer::RemoteKey {
        let Some(mut progress) = self.find(team, key) else {
            return peer::RemoteKey::Unknown;
        };
        let ended = progress.wait_for(|progress| matches!(progress, RunProgress::Ended));
        match time::timeout(Duration::from_millis(u64::from(wait_ms)), ended).await {
            Ok(_) => peer::RemoteKey::Finished,
            Err(_) => peer::RemoteKey::Running,
        }
    }

    /// Number of calls that work on a key or write its outcome; a graceful shutdown waits for 0.
    /// Calls that were refused without a run do not count: the table may stay down for long.
    pub fn active_runs(&self) -> usize {
        let runs = lock(&self.runs);
        let is_unrecorded =
            |run: &&LocalRun| matches!(*run.progress.borrow(), RunProgress::Unrecorded);
        runs.len() - runs.values().filter(is_unrecorded).count()
    }

    pub(super) fn join(&self, team: &ids::TeamId, key: &str) -> RunPart {
        let name = (team.clone(), key.to_owned());
        match lock(&self.runs).entry(name.clone()) {
            Entry::Occupied(entry) => RunPart::Follower(entry.get().progress.clone()),
            Entry::Vacant(entry) => {
                let (sender, receiver) = watch::channel(RunProgress::Active);
                entry.insert(LocalRun { progress: receiver });
                RunPart::Leader(RunGuard {
                    runs: Arc::clone(&self.runs),
                    name,
                    progress: sender,
                })
            }
        }
    }

    fn find(&self, team: &ids::TeamId, key: &str) -> Option<watch::Receiver<RunProgress>> {
        lock(&self.runs)
            .get(&(team.clone(), key.to_owned()))
            .map(|run| run.progress.clone())
    }
}

impl RunGuard {
    pub(super) fn mark_unrecorded(&self) {
        self.progress.send_replace(RunProgress::Unrecorded);
    }

    pub(super) fn publish(&self, fingerprint: u64, answer: Arc<RecordedAnswer>) {
        let progress = RunProgress::Answered {
            fingerprint,
            answer,
        };
        self.progress.send_replace(progress);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        lock(&self.runs).remove(&self.name);
        self.progress.send_replace(RunProgress::Ended);
    }
}

fn lock(runs: &RunMap) -> MutexGuard<'_, HashMap<KeyName, LocalRun>> {
    runs.lock().unwrap_or_else(PoisonError::into_inner)
}
