//! Accepted connections that end between requests when the process stops.

use std::{
    io,
    pin::Pin,
    sync,
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    task::{Context, Poll},
    time::Duration,
};

use hyper::body::{Body, Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use crate::clock;

/// Time in which a stopping connection still reads what had arrived before the stop.
const READ_TIME: Duration = Duration::from_millis(10);
/// Longest wait for the rest of a head. A caller sends a head at once, so that only the network
/// delays the rest.
const MAX_HEAD_WAIT: Duration = Duration::from_secs(2);

/// Shortest idle timeout. A caller that has just connected needs time to send its head.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Progress of the requests on a connection: whether a part of a head has been read, and whether a
/// request's body or response has not ended.
#[derive(Debug)]
pub struct HeadProgress {
    /// Whether bytes have been read that belong to no known request.
    has_head_bytes: AtomicBool,
    /// Number of requests whose body has not ended.
    open_bodies: AtomicU32,
    /// Number of responses that have not been written.
    open_responses: AtomicU32,
    /// Number of open responses whose last bytes are in the buffer of the connection.
    buffered_responses: AtomicU32,
    changed: Notify,
    /// Time of the last byte that was written, of the first byte of a head, or of the end of a
    /// request, by [`clock::now_ms`].
    active_ms: AtomicU64,
    /// Time since which the kernel has taken no byte of a response, by [`clock::now_ms`]; 0 while it
    /// takes them.
    blocked_ms: AtomicU64,
}

impl Default for HeadProgress {
    fn default() -> Self {
        Self {
            has_head_bytes: AtomicBool::new(false),
            open_bodies: AtomicU32::new(0),
            open_responses: AtomicU32::new(0),
            buffered_responses: AtomicU32::new(0),
            changed: Notify::new(),
            active_ms: AtomicU64::new(clock::now_ms()),
            blocked_ms: AtomicU64::new(0),
        }
    }
}

impl HeadProgress {
    /// Records that a head is complete. The request lasts until its body has ended and its response
    /// has been written.
    pub fn begin_request(progress: &sync::Arc<Self>) -> (BodyGuard, ResponseGuard) {
        progress.open_bodies.fetch_add(1, Ordering::AcqRel);
        progress.open_responses.fetch_add(1, Ordering::AcqRel);
        progress.has_head_bytes.store(false, Ordering::Release);
        progress.changed.notify_waiters();
        let body = OpenBody(sync::Arc::clone(progress));
        let response = ResponseGuard(sync::Arc::clone(progress));
        (
            BodyGuard {
                _open: sync::Arc::new(body),
            },
            response,
        )
    }

    /// Whether a head has been read in part.
    pub fn is_partial(&self) -> bool {
        !self.is_in_request() && self.has_head_bytes.load(Ordering::Acquire)
    }

    fn is_in_request(&self) -> bool {
        self.has_open_body() || self.open_responses.load(Ordering::Acquire) > 0
    }

    fn has_open_body(&self) -> bool {
        self.open_bodies.load(Ordering::Acquire) > 0
    }

    fn record_read(&self) {
        // The bytes may belong to the body.
        if self.has_open_body() {
            return;
        }
        let is_first = !self.has_head_bytes.swap(true, Ordering::AcqRel);
        if is_first {
            self.record_activity();
        }
    }

    /// Records that all buffered bytes have been written.
    fn record_flush(&self) {
        let written = self.buffered_responses.swap(0, Ordering::AcqRel);
        if written > 0 {
            self.open_responses.fetch_sub(written, Ordering::AcqRel);
            self.record_activity();
        }
    }

    fn record_activity(&self) {
        self.active_ms.store(clock::now_ms(), Ordering::Release);
    }

    /// Records the outcome of a write.
    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(_)) => {
                self.blocked_ms.store(0, Ordering::Release);
                self.record_activity();
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                let (order, failure) = (Ordering::AcqRel, Ordering::Acquire);
                let now_ms = clock::now_ms();
                // An earlier time stays.
                let _ = self.blocked_ms.compare_exchange(0, now_ms, order, failure);
            }
        }
    }

    /// Returns for how long the caller has read nothing of a response that fills the buffers; `None`
    /// if it reads.
    pub fn blocked_time(&self) -> Option<Duration> {
        let blocked_ms = self.blocked_ms.load(Ordering::Acquire);
        let blocked_for = clock::now_ms().saturating_sub(blocked_ms);
        (blocked_ms > 0).then(|| Duration::from_millis(blocked_for))
    }

    /// Returns how long the connection has waited for a request; `None` while one is handled.
    pub fn idle_time(&self) -> Option<Duration> {
        if self.is_in_request() {
            return None;
        }
        let active_ms = self.active_ms.load(Ordering::Acquire);
        Some(Duration::from_millis(
            clock::now_ms().saturating_sub(active_ms),
        ))
    }

    async fn wait_not_partial(&self) {
        loop {
            let changed = self.changed.notified();
            if !self.is_partial() {
                return;
            }
            changed.await;
        }
    }
}

/// A request's body that has not ended.
#[derive(Debug)]
struct OpenBody(sync::Arc<HeadProgress>);

impl Drop for OpenBody {
    fn drop(&mut self) {
        self.0.record_activity();
        self.0.open_bodies.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Held by whoever reads a request's body until it has ended. The extensions of the request carry
/// it, so that it can be cloned.
#[derive(Clone, Debug)]
pub struct BodyGuard {
    _open: sync::Arc<OpenBody>,
}

/// Held until the last byte of a response is in the buffer of its connection. The response counts
/// as written once the buffer has been written after that.
#[derive(Debug)]
pub struct ResponseGuard(sync::Arc<HeadProgress>);

impl ResponseGuard {
    /// Attaches the guard to the body of the response.
    pub fn guard<Body>(self, body: Body) -> GuardedBody<Body> {
        GuardedBody { body, _guard: self }
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.buffered_responses.fetch_add(1, Ordering::AcqRel);
    }
}

/// Body of a response, which the connection drops when it has taken the last frame.
#[derive(Debug)]
pub struct GuardedBody<Body> {
    body: Body,
    _guard: ResponseGuard,
}

impl<Inner: Body + Unpin> Body for GuardedBody<Inner> {
    type Data = Inner::Data;
    type Error = Inner::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream of an accepted connection that records the progress of heads.
#[derive(Debug)]
pub struct AcceptedStream<Stream> {
    stream: Stream,
    progress: sync::Arc<HeadProgress>,
}

impl<Stream> AcceptedStream<Stream> {
    /// Wraps the stream of an accepted connection.
    pub fn new(stream: Stream, progress: &sync::Arc<HeadProgress>) -> Self {
        Self {
            stream,
            progress: sync::Arc::clone(progress),
        }
    }
}

/// Closes a listener; returns the connections that were waiting to be accepted. The kernel resets
/// those that are still waiting when a listener closes.
pub fn accept_pending(listener: TcpListener) -> Vec<TcpStream> {
    let mut accepted = Vec::new();
    let Ok(listener) = listener.into_std() else {
        return accepted;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => accepted.push(stream),
            Err(error) => log::warn!("cannot serve an accepted connection: {error}"),
        }
    }
    accepted
}

/// Waits until a stopping connection may be told to end after its current request: bytes that have
/// arrived are read, and a head that was read in part is complete or has not become so in time.
/// Otherwise a request of which the process has read a part would be cut off without a response.
/// The connection must be polled meanwhile.
pub async fn wait_between_requests(progress: &HeadProgress) {
    tokio::time::sleep(READ_TIME).await;
    // A head that does not become complete ends with the connection.
    let _ = tokio::time::timeout(MAX_HEAD_WAIT, progress.wait_not_partial()).await;
}

/// Waits until a connection has been idle, or has waited for the rest of a head or for its caller to
/// read, for the time that `timeout` returns. It never returns while a request is handled or its
/// response is read. `timeout` is asked again each time, so that a changed timeout applies to
/// connections that are open.
pub async fn wait_idle_timeout(progress: &HeadProgress, timeout: impl Fn() -> Duration) {
    loop {
        let timeout = timeout().max(MIN_IDLE_TIMEOUT);
        let idle_time = progress.idle_time().or_else(|| progress.blocked_time());
        let idle_time = idle_time.unwrap_or_default();
        match timeout.checked_sub(idle_time) {
            Some(left) if !left.is_zero() => tokio::time::sleep(left).await,
            _ => return,
        }
    }
}

impl<Stream: AsyncRead + Unpin> AsyncRead for AcceptedStream<Stream> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.progress.record_read();
        }
        result
    }
}

impl<Stream: AsyncWrite + Unpin> AsyncWrite for AcceptedStream<Stream> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.progress.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.progress.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The connection flushes its stream only when its own buffer is empty.
        let result = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.progress.record_flush();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
