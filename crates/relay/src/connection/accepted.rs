//! Accepted connections that end between requests when the process stops.

use std::{
    io,
    pin::Pin,
    sync,
    sync::atomic::{AtomicU8, Ordering},
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::Notify,
};

/// Time in which a stopping connection still reads what had arrived before the stop.
const READ_TIME: Duration = Duration::from_millis(10);
/// Longest wait for the rest of a head. A caller sends a head at once, so that only the network
/// delays the rest.
const MAX_HEAD_WAIT: Duration = Duration::from_secs(2);

/// Values of [`HeadProgress::phase`].
const NO_REQUEST: u8 = 0;
const PARTIAL_HEAD: u8 = 1;
const IN_REQUEST: u8 = 2;

/// Whether a part of a request's head has been read from a connection.
#[derive(Debug, Default)]
pub struct HeadProgress {
    phase: AtomicU8,
    changed: Notify,
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
        let _: Result<u8, u8> = exchanged;
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
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
