//! HTTP/1.1 listener with a connection limit and graceful shutdown, for callers and operators.

use std::{future::Future, io, time};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpListener,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::tls::TlsAcceptorCell;
use crate::telemetry::names;

/// Body of an answer.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;
/// An answer.
pub type HttpResponse = Response<ResponseBody>;

/// Bounds connections that send their head slowly, and idle connections.
const HEADER_READ_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Bounds connections that do not finish the TLS handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Pause after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);
/// hyper's smallest read buffer.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Options of a listener.
#[derive(Clone)]
pub struct ListenerOptions {
    /// Name in metrics and log lines.
    pub name: &'static str,
    /// Open connections at most.
    pub max_connections: usize,
    /// Head of a request in bytes. The read buffer is twice as large, so that a head that is
    /// somewhat too large gets the JSON refusal and only a larger one hyper's bare 431.
    pub max_header_bytes: usize,
    /// TLS, if configured.
    pub tls: Option<TlsAcceptorCell>,
    /// Stops accepting and lets connections finish their running request.
    pub stop: CancellationToken,
}

/// Serves connections until `stop`, then returns when the last connection has ended.
pub async fn serve<Handler, Answer>(
    listener: TcpListener,
    options: ListenerOptions,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = HttpResponse> + Send + 'static,
{
    let tracker = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = options.stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(listener = options.name; "accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if tracker.len() >= options.max_connections {
            metrics::counter!(names::CONNECTIONS_REFUSED, "listener" => options.name).increment(1);
            continue;
        }
        // Without TCP_NODELAY the tokens of a stream wait for the caller's acknowledgements.
        let _ = stream.set_nodelay(true);
        let gauge = metrics::gauge!(names::CONNECTIONS, "listener" => options.name);
        gauge.increment(1.0);
        let (options, handler) = (options.clone(), handler.clone());
        tracker.spawn(async move {
            accept(stream, options, handler).await;
            gauge.decrement(1.0);
        });
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

async fn accept<Handler, Answer>(
    stream: tokio::net::TcpStream,
    options: ListenerOptions,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = HttpResponse> + Send + 'static,
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

async fn serve_connection<Stream, Handler, Answer>(
    stream: Stream,
    options: &ListenerOptions,
    handler: Handler,
) where
    Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = HttpResponse> + Send + 'static,
{
    let service = service_fn(|request| {
        let answer = handler(request);
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size((2 * options.max_header_bytes).max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = options.stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(listener = options.name; "connection ended: {error}");
    }
}
