//! State shared by the requests of one model or service: queues, fair shares and observed times
//! per token.

use std::sync;

use acaciabank_core::{admit, shutdown};
use acaciabank_protocol::ids;
use tokio::sync::Notify;

use super::{RequestWork, token_times};

/// Model or service whose requests share a queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum PoolKey {
    /// Engines of a model.
    Model(ids::ModelId),
    /// Instances of a service.
    Service(ids::ServiceId),
}

impl PoolKey {
    pub(super) fn of(work: &RequestWork) -> Self {
        match work {
            RequestWork::Completion { model, .. } => Self::Model(model.clone()),
            RequestWork::Service { service, .. } => Self::Service(service.clone()),
        }
    }

    fn as_str(&self) -> &str {
        match self {
            Self::Model(model) => model.as_str(),
            Self::Service(service) => service.as_str(),
        }
    }
}

/// State shared by the requests of one model or service.
#[derive(Debug)]
pub(crate) struct TargetPool {
    pub(super) key: PoolKey,
    pub(super) inner: sync::Mutex<PoolInner>,
    /// Observed times per token, indexed by role.
    pub(super) token_time_estimates: [token_times::TokenTimeEstimate; token_times::ROLE_COUNT],
}

/// Queues, shares and service times of a pool.
#[derive(Debug, Default)]
pub(super) struct PoolInner {
    pub(super) waiting: admit::WaitQueue<sync::Arc<Notify>>,
    /// Queue of crash suspects. They need a target without another suspect and must not block
    /// requests that any target can take.
    pub(super) isolated: admit::WaitQueue<sync::Arc<Notify>>,
    pub(super) share: admit::FairShare,
    /// Number of completed requests that `mean_service_s` is based on.
    pub(super) observations: u64,
    /// Moving average of the service time, in seconds.
    pub(super) mean_service_s: f64,
    /// Times of the latest responses, by which the shutdown is planned.
    pub(super) response_times: shutdown::RouteTimes,
}

impl PoolInner {
    pub(super) fn queue(&mut self, isolated: bool) -> &mut admit::WaitQueue<sync::Arc<Notify>> {
        match isolated {
            true => &mut self.isolated,
            false => &mut self.waiting,
        }
    }

    /// Wakes the first request of each queue.
    pub(super) fn wake(&self) {
        let first = [self.waiting.first(), self.isolated.first()];
        first
            .into_iter()
            .flatten()
            .for_each(|waiter| waiter.notify_one());
    }
}

impl TargetPool {
    pub(super) fn lock(&self) -> sync::MutexGuard<'_, PoolInner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    pub(super) fn report_queue_length(&self, inner: &PoolInner) {
        let length = inner.waiting.len() + inner.isolated.len();
        let model = self.key.as_str().to_owned();
        metrics::gauge!("acaciabank_queue_length", "model" => model).set(length as f64);
    }
}
