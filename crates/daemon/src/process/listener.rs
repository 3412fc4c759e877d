//! HTTP/1.1 listener with a connection limit and graceful shutdown, for callers and operators.

use std::{future::Future, io, sync, time};

use acaciabank_relay::connection;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpListener,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::tls::TlsAcceptorCell;
use crate::telemetry::names;

/// Body of a response to a caller or operator.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;
/// Response to a caller or operator.
pub type HttpResponse = Response<ResponseBody>;

/// Maximum time for reading a request head, which also closes idle connections.
const HEADER_READ_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Maximum time of a TLS handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);
/// Receive buffer of an accepted connection, which the kernel doubles. At a round trip of 10 ms it
/// lets a caller send 6 MB per second.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// The smallest read buffer that hyper allows.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;

/// Options of a listener.
#[derive(Clone)]
pub struct ListenerOptions {
    /// Name in metrics and log lines.
    pub name: &'static str,
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Maximum size of a request head in bytes. The read buffer is twice as large, so that a head
    /// slightly over the limit is refused with a JSON body; a larger one gets hyper's empty 431.
    pub max_header_bytes: usize,
    /// TLS configuration; `None` serves plain HTTP.
    pub tls: Option<TlsAcceptorCell>,
    /// When cancelled, no more connections are accepted and open ones end after their current
    /// request.
    pub stop: CancellationToken,
}

/// Serves connections until `stop` is cancelled. Returns when the last connection has ended.
pub async fn serve<Handler, ResponseFuture>(
    listener: TcpListener,
    options: ListenerOptions,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> ResponseFuture + Clone + Send + Sync + 'static,
    ResponseFuture: Future<Output = HttpResponse> + Send + 'static,
{
    let tracker = TaskTracker::new();
    // Accepted connections inherit the size. Bytes that the kernel has received count as memory of
    // the process.
    let receive_buffer = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    if let Err(error) = receive_buffer {
        log::warn!(listener = options.name; "setting the receive buffer failed: {error}");
    }
    let spawn = |stream: tokio::net::TcpStream| {
        if tracker.len() >= options.max_connections {
            metrics::counter!(names::CONNECTIONS_REFUSED, "listener" => options.name).increment(1);
            return;
        }
        // Without TCP_NODELAY, streamed tokens wait until the caller acknowledges earlier ones.
        let _ = stream.set_nodelay(true);
        let gauge = metrics::gauge!(names::CONNECTIONS, "listener" => options.name);
        gauge.increment(1.0);
        let (options, handler) = (options.clone(), handler.clone());
        tracker.spawn(async move {
            serve_stream(stream, options, handler).await;
            gauge.decrement(1.0);
        });
    };
    loop {
        let accepted = tokio::select! {
            () = options.stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => spawn(stream),
            Err(error) => {
                log::warn!(listener = options.name; "accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    for stream in connection::accept_pending(listener) {
        spawn(stream);
    }
    tracker.close();
    tracker.wait().await;
}

async fn serve_stream<Handler, ResponseFuture>(
    stream: tokio::net::TcpStream,
    options: ListenerOptions,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> ResponseFuture + Send + Sync + 'static,
    ResponseFuture: Future<Output = HttpResponse> + Send + 'static,
{
    let Some(tls) = &options.tls else {
        return serve_connection(stream, &options, handler).await;
    };
    let handshake = tls.acceptor().accept(stream);
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(stream)) => serve_connection(stream, &options, handler).await,
        Ok(Err(error)) => {
            log::debug!(listener = options.name; "TLS handshake failed: {error}");
        }
        Err(_) => log::debug!(listener = options.name; "TLS handshake timed out"),
    }
}

async fn serve_connection<Stream, Handler, ResponseFuture>(
    stream: Stream,
    options: &ListenerOptions,
    handler: Handler,
) where
    Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    Handler: Fn(Request<Incoming>) -> ResponseFuture + Send + Sync + 'static,
    ResponseFuture: Future<Output = HttpResponse> + Send + 'static,
{
    let progress = sync::Arc::new(connection::HeadProgress::default());
    let service = service_fn(|mut request: Request<Incoming>| {
        let (body_guard, response_guard) = connection::HeadProgress::begin_request(&progress);
        request.extensions_mut().insert(body_guard.clone());
        let response = handler(request);
        async move {
            let response = response.await;
            drop(body_guard);
            Ok::<_, std::convert::Infallible>(response.map(|body| response_guard.guard(body)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size((2 * options.max_header_bytes).max(MIN_READ_BUFFER_BYTES))
        .serve_connection(
            TokioIo::new(connection::AcceptedStream::new(stream, &progress)),
            service,
        );
    let mut connection = std::pin::pin!(connection);
    let stopped = async {
        options.stop.cancelled().await;
        connection::wait_between_requests(&progress).await;
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopped => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(listener = options.name; "connection closed on an error: {error}");
    }
}
