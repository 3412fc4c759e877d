//! Connections to targets, and the count of bytes written that decides the verdict.

use std::{
    io, net,
    pin::Pin,
    sync,
    sync::atomic::{AtomicU64, Ordering},
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

mod hop_headers;
mod write_deadline;

pub use hop_headers::remove_hop_headers;
pub use write_deadline::WriteDeadline;

use write_deadline::WriteGate;

/// Idle connections kept for each target.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Idle time after which a connection is not used again. Shorter than the idle timeout of common
/// servers, so that few requests meet a connection that is being closed.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Share of the idle time stated by a target after which a connection is not used again.
const KEEP_ALIVE_RATIO: f64 = 0.8;
/// Time for which written bytes may stay unacknowledged. A peer that is cut off does not reset the
/// connection; a sound one acknowledges within milliseconds.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// One HTTP/1 connection to a target; carries one request at a time.
#[derive(Debug)]
pub struct TargetConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: tokio::task::AbortHandle,
    idle_until: Instant,
    written: sync::Arc<AtomicU64>,
    gate: sync::Arc<WriteGate>,
}

impl TargetConnection {
    /// Connects within `timeout`.
    pub async fn connect(address: net::SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(stream) => stream?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        stream.set_nodelay(true)?;
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let written = sync::Arc::new(AtomicU64::new(0));
        let gate = sync::Arc::new(WriteGate::default());
        let counted = CountedStream {
            stream,
            written: sync::Arc::clone(&written),
            gate: sync::Arc::clone(&gate),
        };
        let handshake = http1::handshake(TokioIo::new(counted)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            idle_until: Instant::now(),
            written,
            gate,
        })
    }

    fn is_usable(&self) -> bool {
        Instant::now() < self.idle_until && !self.sender.is_closed()
    }

    /// Bytes written to the socket so far.
    pub fn bytes_written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Whether the connection can carry a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Closes the socket at once, whatever is still being written or read. Dropping the connection
    /// does the same.
    pub fn close(self) {
        drop(self);
    }

    /// Refuses writes after `limit`; it holds until it is set again.
    pub fn set_write_deadline(&self, limit: Option<WriteDeadline>) {
        self.gate.set(limit);
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> hyper::Result<http::Response<Incoming>> {
        self.sender.ready().await?;
        self.sender.send_request(request).await
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        // A request that was dropped half-way must not reach the target later.
        self.driver.abort();
    }
}

/// Idle connections of one target.
#[derive(Debug, Default)]
pub struct IdlePool {
    idle: sync::Mutex<Vec<TargetConnection>>,
}

impl IdlePool {
    /// Takes the connection that was used last, if any is open.
    pub fn take(&self) -> Option<TargetConnection> {
        let mut idle = self.idle.lock().ok()?;
        while let Some(connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read to its end, as long as the target is known to
    /// keep idle connections.
    pub fn put(&self, mut connection: TargetConnection, keep_alive: Option<Duration>) {
        let kept = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |limit| limit.mul_f64(KEEP_ALIVE_RATIO));
        connection.idle_until = Instant::now() + kept;
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        idle.retain(TargetConnection::is_usable);
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }
}

/// A TCP stream that counts the bytes accepted by the socket and refuses writes after a limit.
struct CountedStream {
    stream: TcpStream,
    written: sync::Arc<AtomicU64>,
    gate: sync::Arc<WriteGate>,
}

impl CountedStream {
    fn check_deadline(&self) -> io::Result<()> {
        match self.gate.has_passed() {
            true => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the time to write the request has passed",
            )),
            false => Ok(()),
        }
    }

    fn count(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.written.fetch_add(*bytes as u64, Ordering::AcqRel);
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
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
