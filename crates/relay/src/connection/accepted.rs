//! Accepted connections that end between requests when the process stops.

use std::{
    io,
    pin::Pin,
    sync,
    sync::atomic::{AtomicU8, AtomicU64, Ordering},
    task::{Context, Poll},
    time::Duration,
};

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

/// Values of [`HeadProgress::phase`].
const NO_REQUEST: u8 = 0;
const PARTIAL_HEAD: u8 = 1;
const IN_REQUEST: u8 = 2;

/// Whether a part of a request's head has been read from a connection, and since when the
/// connection waits for the rest.
#[derive(Debug)]
pub struct HeadProgress {
    phase: AtomicU8,
    changed: Notify,
    /// Time of the last byte that was written, or of the first byte of a head, by
    /// [`clock::now_ms`].
    active_ms: AtomicU64,
}

impl Default for HeadProgress {
    fn default() -> Self {
        Self {
            phase: AtomicU8::new(NO_REQUEST),
            changed: Notify::new(),
            active_ms: AtomicU64::new(clock::now_ms()),
        }
    }
}

impl HeadProgress {
    /// Records that a head is complete.
    pub fn begin_request(&self) {
        self.set_phase(IN_REQUEST);
    }

    /// Records that the response is ready, after which the next head may arrive.
    pub fn end_request(&self) {
        self.set_phase(NO_REQUEST);
    }

    /// Whether a head has been read in part.
    pub fn is_partial(&self) -> bool {
        self.phase.load(Ordering::Acquire) == PARTIAL_HEAD
    }

    fn set_phase(&self, phase: u8) {
        self.phase.store(phase, Ordering::Release);
        self.changed.notify_waiters();
    }

    fn record_read(&self) {
        let exchanged = self.phase.compare_exchange(
            NO_REQUEST,
            PARTIAL_HEAD,
            Ordering::AcqRel,
            Ordering::Acquire,
        );
        // Other phases do not change: the bytes belong to a head that is known or to a body.
        if exchanged.is_ok() {
            self.record_activity();
        }
    }

    fn record_activity(&self) {
        self.active_ms.store(clock::now_ms(), Ordering::Release);
    }

    /// Returns how long the connection has waited for a request; `None` while one is handled.
    fn idle_time(&self) -> Option<Duration> {
        if self.phase.load(Ordering::Acquire) == IN_REQUEST {
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

/// Waits until a connection has been idle, or has waited for the rest of a head, for the time that
/// `timeout` returns. It is asked again each time, so that a changed timeout applies to connections
/// that are open.
pub async fn wait_idle_timeout(progress: &HeadProgress, timeout: impl Fn() -> Duration) {
    loop {
        let timeout = timeout();
        let idle_time = progress.idle_time().unwrap_or_default();
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
        self.progress.record_activity();
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.progress.record_activity();
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
