//! Registry of running requests, for operators and for shutdown.

use std::{
    sync,
    sync::atomic::{AtomicUsize, Ordering},
    time,
};

use acaciabank_protocol::{ids, wire};
use slab::Slab;

use crate::telemetry::names;

/// Number of locks; several of them reduce contention on the request path.
const SHARD_COUNT: usize = 16;

/// A running request.
#[derive(Clone, Debug)]
pub struct RunningRequest {
    /// Id that the daemon gave to the request.
    pub id: ids::RequestId,
    /// Team of the caller.
    pub team: ids::TeamId,
    /// Priority; the value of the header until the rules have been applied.
    pub priority: wire::Priority,
    /// What the request calls: its path at first, then the model or service.
    pub work: String,
    /// Time at which its head had been read.
    pub arrival: time::Instant,
}

/// Running requests, sharded to reduce contention.
#[derive(Debug, Default)]
pub struct RunningRegistry {
    shards: [sync::Mutex<Slab<RunningRequest>>; SHARD_COUNT],
    next_shard: AtomicUsize,
    count: AtomicUsize,
}

impl RunningRegistry {
    /// Registers a request until the returned guard is dropped.
    pub fn insert(self: &sync::Arc<Self>, request: RunningRequest) -> RunningGuard {
        let shard = self.next_shard.fetch_add(1, Ordering::Relaxed) % SHARD_COUNT;
        let key = lock(&self.shards[shard]).insert(request);
        self.count.fetch_add(1, Ordering::AcqRel);
        metrics::gauge!(names::RUNNING).increment(1.0);
        RunningGuard {
            registry: sync::Arc::clone(self),
            shard,
            key,
        }
    }

    /// Number of running requests.
    pub fn len(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Whether no request is running.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns copies of all entries, oldest first.
    pub fn list(&self) -> Vec<RunningRequest> {
        let mut requests: Vec<RunningRequest> = Vec::new();
        for shard in &self.shards {
            requests.extend(lock(shard).iter().map(|(_, request)| request.clone()));
        }
        requests.sort_by_key(|request| request.arrival);
        requests
    }
}

/// Removes its request from the registry when dropped. A request is registered as soon as its head
/// has been read, so that a shutdown also waits for requests whose body is still arriving.
#[derive(Debug)]
pub struct RunningGuard {
    registry: sync::Arc<RunningRegistry>,
    shard: usize,
    key: usize,
}

impl RunningGuard {
    /// Sets the priority and the model or service, which are known only after the checks.
    pub fn update(&self, priority: wire::Priority, work: String) {
        let mut shard = lock(&self.registry.shards[self.shard]);
        if let Some(request) = shard.get_mut(self.key) {
            request.priority = priority;
            request.work = work;
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.registry.shards[self.shard]).remove(self.key);
        self.registry.count.fetch_sub(1, Ordering::AcqRel);
        metrics::gauge!(names::RUNNING).decrement(1.0);
    }
}

/// Locks a shard. A panic while the lock is held leaves the slab consistent, so poisoning is
/// ignored.
fn lock(shard: &sync::Mutex<Slab<RunningRequest>>) -> sync::MutexGuard<'_, Slab<RunningRequest>> {
    shard.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
