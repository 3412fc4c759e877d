//! Registry of the requests that run now, for operators and for shutdown.

use std::{
    sync,
    sync::atomic::{AtomicUsize, Ordering},
    time,
};

use acaciabank_protocol::{ids, wire};
use slab::Slab;

use crate::telemetry::names;

/// Separate locks keep the request path from contending for one of them.
const SHARDS: usize = 16;

/// A request that runs now.
#[derive(Clone, Debug)]
pub struct RunningRequest {
    /// Id.
    pub id: ids::RequestId,
    /// Team of the caller.
    pub team: ids::TeamId,
    /// Urgency.
    pub priority: wire::Priority,
    /// Model or service.
    pub work: String,
    /// When its head had been read.
    pub arrival: time::Instant,
}

/// The requests that run now.
#[derive(Debug, Default)]
pub struct RunningRegistry {
    shards: [sync::Mutex<Slab<RunningRequest>>; SHARDS],
    next: AtomicUsize,
    count: AtomicUsize,
}

impl RunningRegistry {
    /// Adds a request until the guard is dropped.
    pub fn insert(self: &sync::Arc<Self>, request: RunningRequest) -> RunningGuard {
        let shard = self.next.fetch_add(1, Ordering::Relaxed) % SHARDS;
        let key = lock(&self.shards[shard]).insert(request);
        self.count.fetch_add(1, Ordering::AcqRel);
        metrics::gauge!(names::RUNNING).increment(1.0);
        RunningGuard {
            registry: sync::Arc::clone(self),
            shard,
            key,
        }
    }

    /// Number of requests that run now.
    pub fn len(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Whether no request runs now.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Copies of all entries, oldest first.
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
/// is read, so that a shutdown also counts requests whose body is still arriving.
#[derive(Debug)]
pub struct RunningGuard {
    registry: sync::Arc<RunningRegistry>,
    shard: usize,
    key: usize,
}

impl RunningGuard {
    /// Completes the entry with what the body and the rules say.
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

/// A panic while the lock is held leaves the slab consistent, so poisoning is ignored.
fn lock(shard: &sync::Mutex<Slab<RunningRequest>>) -> sync::MutexGuard<'_, Slab<RunningRequest>> {
    shard.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
