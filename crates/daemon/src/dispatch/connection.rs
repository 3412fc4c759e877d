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

use super::limit::{WriteGate, WriteLimit};

/// Idle connections kept for each target.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Idle time after which a connection is not used again. Shorter than the idle timeout of common
/// servers, so that few requests meet a connection that is being closed.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// One HTTP/1 connection to a target; carries one request at a time.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    written: sync::Arc<AtomicU64>,
    gate: sync::Arc<WriteGate>,
}

impl TargetConnection {
    /// Connects within `timeout`.
    pub(crate) async fn connect(address: net::SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(stream) => stream?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        stream.set_nodelay(true)?;
        let written = sync::Arc::new(AtomicU64::new(0));
        let gate = sync::Arc::new(WriteGate::default());
        let counted = CountedStream {
            stream,
            written: sync::Arc::clone(&written),
            gate: sync::Arc::clone(&gate),
        };
        let handshake = http1::handshake(TokioIo::new(counted)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Self {
            sender,
            written,
            gate,
        })
    }

    /// Bytes written to the socket so far.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Refuses writes after `limit`; it holds until it is set again.
    pub(super) fn limit_writes(&self, limit: Option<WriteLimit>) {
        self.gate.set(limit);
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> hyper::Result<http::Response<Incoming>> {
        self.sender.ready().await?;
        self.sender.send_request(request).await
    }
}

/// Idle connections of one target.
#[derive(Debug, Default)]
pub(crate) struct IdlePool {
    idle: sync::Mutex<Vec<(Instant, TargetConnection)>>,
}

impl IdlePool {
    /// Takes the connection that was used last, if any is open.
    pub(crate) fn take(&self) -> Option<TargetConnection> {
        let mut idle = self.idle.lock().ok()?;
        while let Some((since, connection)) = idle.pop() {
            if since.elapsed() < MAX_IDLE_TIME && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn put(&self, connection: TargetConnection) {
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        idle.retain(|(since, kept)| since.elapsed() < MAX_IDLE_TIME && !kept.sender.is_closed());
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push((Instant::now(), connection));
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
    fn check_limit(&self) -> io::Result<()> {
        match self.gate.is_passed() {
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
        self.check_limit()?;
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.count(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_limit()?;
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
