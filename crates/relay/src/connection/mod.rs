//! HTTP/1 connections to targets. They count the bytes written, which tells whether a failed
//! request may have run.

use std::{
    io, net,
    pin::Pin,
    sync,
    sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

mod accepted;
mod body;
mod drain;
mod hop_headers;
mod request_body;
mod write_deadline;

pub use accepted::{
    AcceptedStream, BodyGuard, HeadProgress, accept_pending, wait_between_requests,
    wait_idle_timeout,
};
pub use body::{BodyError, BodyLimits, MAX_DOCUMENT_BYTES, read_body};
pub use drain::{DrainSlot, DrainSlots, discard_body};
pub use hop_headers::remove_hop_headers;
pub use request_body::{RequestBodyError, RequestBodyFailure, RequestLimits, read_request_body};
pub use write_deadline::WriteDeadline;

use write_deadline::DeadlineCell;

use crate::clock;

/// Maximum number of idle connections kept for each target.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Idle time after which a connection is not reused if the target states no keep-alive time.
/// Shorter than the idle timeout of common servers, so that few requests race with the server's
/// close.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Share of the keep-alive time stated by a target after which a connection is not reused.
const KEEP_ALIVE_SHARE: f64 = 0.8;
/// Maximum time that written bytes may stay unacknowledged. An unreachable peer does not reset the
/// connection; a healthy one acknowledges within milliseconds.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of the head of a response, and of the buffer that a connection reads into.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of bytes read between a request and the end of the response's head. It covers
/// interim responses, of which a faulty target may send any number, and a full read buffer of the
/// body behind the head.
const MAX_BYTES_UNTIL_HEAD: usize = 2 * MAX_HEAD_BYTES;

/// An HTTP/1 connection to a target that carries one request at a time.
#[derive(Debug)]
pub struct TargetConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: tokio::task::AbortHandle,
    connected_unix_ms: u64,
    idle_until: Instant,
    bytes_written: sync::Arc<AtomicU64>,
    deadline: sync::Arc<DeadlineCell>,
    head_allowance: sync::Arc<HeadAllowance>,
    /// Whether the target has named the request in an earlier response on the connection.
    has_echoed_id: bool,
}

impl TargetConnection {
    /// Opens a connection within `timeout`.
    pub async fn connect(address: net::SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(stream) => stream?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        stream.set_nodelay(true)?;
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let bytes_written = sync::Arc::new(AtomicU64::new(0));
        let deadline = sync::Arc::new(DeadlineCell::default());
        let head_allowance = sync::Arc::new(HeadAllowance::default());
        let counted = CountedStream {
            stream,
            bytes_written: sync::Arc::clone(&bytes_written),
            deadline: sync::Arc::clone(&deadline),
            head_allowance: sync::Arc::clone(&head_allowance),
        };
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(counted))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            connected_unix_ms: clock::steady_unix_ms(),
            idle_until: Instant::now(),
            bytes_written,
            deadline,
            head_allowance,
            has_echoed_id: false,
        })
    }

    /// Records whether a response names its request; returns whether that fits the earlier
    /// responses on the connection. A target that names the request once does so always, so a later
    /// response without an id is not known to belong to the request that waits for it.
    pub fn record_echo(&mut self, has_id: bool) -> bool {
        let fits = has_id || !self.has_echoed_id;
        self.has_echoed_id |= has_id;
        fits
    }

    fn is_usable(&self) -> bool {
        Instant::now() < self.idle_until && !self.sender.is_closed()
    }

    /// Returns the time of day at which the connection was opened, in Unix milliseconds.
    pub fn connected_unix_ms(&self) -> u64 {
        self.connected_unix_ms
    }

    /// Returns the number of bytes written to the socket so far.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.load(Ordering::Acquire)
    }

    /// Whether the connection can send a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Closes the socket immediately, even during a write or read. Dropping the connection does the
    /// same.
    pub fn close(self) {
        drop(self);
    }

    /// Fails all writes after `deadline`, until the deadline is set again.
    pub fn set_write_deadline(&self, deadline: Option<WriteDeadline>) {
        self.deadline.set(deadline);
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> hyper::Result<http::Response<Incoming>> {
        self.sender.ready().await?;
        self.head_allowance.start();
        let response = self.sender.send_request(request).await?;
        self.head_allowance.end();
        Ok(response)
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        // Stops the task that writes, so that a cancelled request cannot reach the target later.
        self.driver.abort();
    }
}

/// Idle connections of one target.
#[derive(Debug, Default)]
pub struct IdlePool {
    idle: sync::Mutex<Vec<TargetConnection>>,
    is_retired: AtomicBool,
}

impl IdlePool {
    /// Takes the most recently used connection that is still open.
    pub fn take(&self) -> Option<TargetConnection> {
        let mut idle = self.idle.lock().ok()?;
        while let Some(connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool for as long as the target keeps idle connections. The last
    /// response on it must have been read to its end.
    pub fn put(&self, mut connection: TargetConnection, keep_alive: Option<Duration>) {
        let max_idle = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |time| time.mul_f64(KEEP_ALIVE_SHARE));
        connection.idle_until = Instant::now() + max_idle;
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        idle.retain(TargetConnection::is_usable);
        let is_full = idle.len() >= MAX_IDLE_CONNECTIONS;
        if !is_full && !connection.sender.is_closed() && !self.is_retired.load(Ordering::Acquire) {
            idle.push(connection);
        }
    }

    /// Closes the idle connections, and from now on each connection that is returned.
    pub fn retire(&self) {
        self.is_retired.store(true, Ordering::Release);
        if let Ok(mut idle) = self.idle.lock() {
            idle.clear();
        }
    }
}

/// Bytes that may still be read until the head of a response is complete.
#[derive(Debug)]
struct HeadAllowance(AtomicUsize);

impl Default for HeadAllowance {
    fn default() -> Self {
        Self(AtomicUsize::new(UNLIMITED))
    }
}

/// Value of a [`HeadAllowance`] while no head is expected.
const UNLIMITED: usize = usize::MAX;

impl HeadAllowance {
    fn start(&self) {
        self.0.store(MAX_BYTES_UNTIL_HEAD, Ordering::Release);
    }

    fn end(&self) {
        self.0.store(UNLIMITED, Ordering::Release);
    }

    /// Subtracts bytes that were read; returns whether they were allowed.
    fn try_spend(&self, bytes: usize) -> bool {
        let spend = |left: usize| match left {
            UNLIMITED => Some(UNLIMITED),
            left => left.checked_sub(bytes),
        };
        self.0
            .try_update(Ordering::AcqRel, Ordering::Acquire, spend)
            .is_ok()
    }
}

/// A TCP stream that counts the bytes accepted by the socket, fails writes after a deadline and
/// fails reads of a head without end.
struct CountedStream {
    stream: TcpStream,
    bytes_written: sync::Arc<AtomicU64>,
    deadline: sync::Arc<DeadlineCell>,
    head_allowance: sync::Arc<HeadAllowance>,
}

impl CountedStream {
    fn check_deadline(&self) -> io::Result<()> {
        match self.deadline.has_passed() {
            true => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the time to write the request has passed",
            )),
            false => Ok(()),
        }
    }

    fn count(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.bytes_written
                .fetch_add(*bytes as u64, Ordering::AcqRel);
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        match self.head_allowance.try_spend(bytes) {
            true => result,
            false => Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the response is too long",
            ))),
        }
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_deadline()?;
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.count(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_deadline()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.count(&result);
        result
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
