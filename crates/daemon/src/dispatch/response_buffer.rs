//! Buffer of responses for callers that reconnect.

use std::{
    collections::{HashMap, VecDeque},
    sync,
    time::{Duration, Instant},
};

use acaciabank_protocol::{ids, settings};
use bytes::Bytes;

/// Responses kept for callers that reconnect, bounded in bytes and lifetime.
#[derive(Debug)]
pub struct ResponseBuffer {
    max_bytes: usize,
    lifetime: Duration,
    inner: sync::Mutex<BufferInner>,
}

#[derive(Debug, Default)]
struct BufferInner {
    entries: HashMap<ids::RequestId, BufferEntry>,
    /// Finish times, oldest first.
    finished: VecDeque<(Instant, ids::RequestId)>,
    /// Total size of the bodies.
    bytes: usize,
    running: usize,
}

#[derive(Debug)]
struct BufferEntry {
    team: ids::TeamId,
    response: BufferedResponse,
}

/// State of a request in a daemon's buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BufferedResponse {
    /// The request is not in the buffer.
    Unknown,
    /// The request is still running.
    Running,
    /// The request belongs to another team.
    Forbidden,
    /// The request is complete.
    Done {
        /// HTTP status.
        status: u16,
        /// Value of the `content-type` header.
        content_type: String,
        /// Body of the response, received in full.
        body: Bytes,
    },
}

impl Default for ResponseBuffer {
    fn default() -> Self {
        let limits = settings::LimitSettings::default();
        let timers = settings::TimerSettings::default();
        Self::new(limits.answer_buffer_bytes, timers.answer_lifetime_ms)
    }
}

impl ResponseBuffer {
    /// Creates a buffer of at most `max_bytes` over all responses, each kept for `lifetime_ms`.
    pub fn new(max_bytes: usize, lifetime_ms: u64) -> Self {
        Self {
            max_bytes,
            lifetime: Duration::from_millis(lifetime_ms),
            inner: sync::Mutex::default(),
        }
    }

    /// Looks up a request of a team.
    pub fn find(&self, request: &ids::RequestId, team: &ids::TeamId) -> BufferedResponse {
        let mut inner = self.lock();
        inner.expire(self.lifetime);
        match inner.entries.get(request) {
            None => BufferedResponse::Unknown,
            Some(entry) if entry.team != *team => BufferedResponse::Forbidden,
            Some(entry) => entry.response.clone(),
        }
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Maximum number of bytes over all responses.
    pub(super) fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Records that a request is running.
    pub(super) fn start(&self, request: &ids::RequestId, team: &ids::TeamId) {
        let entry = BufferEntry {
            team: team.clone(),
            response: BufferedResponse::Running,
        };
        let mut inner = self.lock();
        inner.entries.insert(request.clone(), entry);
        inner.running += 1;
    }

    /// Stores the complete response; removes the request if there is no response or it does not
    /// fit.
    pub(super) fn finish(&self, request: &ids::RequestId, response: Option<(u16, String, Bytes)>) {
        let mut inner = self.lock();
        inner.running = inner.running.saturating_sub(1);
        let fitting = response.filter(|(_, _, body)| body.len() <= self.max_bytes);
        let Some((status, content_type, body)) = fitting else {
            inner.entries.remove(request);
            return;
        };
        inner.expire(self.lifetime);
        inner.bytes += body.len();
        if let Some(entry) = inner.entries.get_mut(request) {
            entry.response = BufferedResponse::Done {
                status,
                content_type,
                body,
            };
        }
        inner.finished.push_back((Instant::now(), request.clone()));
        while inner.bytes > self.max_bytes {
            inner.drop_oldest();
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, BufferInner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl BufferInner {
    fn expire(&mut self, lifetime: Duration) {
        while self
            .finished
            .front()
            .is_some_and(|(at, _)| at.elapsed() >= lifetime)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, request)) = self.finished.pop_front() else {
            self.bytes = 0;
            return;
        };
        if let Some(entry) = self.entries.remove(&request)
            && let BufferedResponse::Done { body, .. } = entry.response
        {
            self.bytes = self.bytes.saturating_sub(body.len());
        }
    }
}
