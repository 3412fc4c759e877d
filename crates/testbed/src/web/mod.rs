//! HTTP/1.1 plumbing of the stand-ins: server, small client, replies.

use std::{convert, future, io, net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, client, server, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::mpsc;

/// Body of an answer.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;
/// Answer; an error closes the connection without an answer.
pub type HandlerResult = Result<Response<ResponseBody>, io::Error>;

/// Result of an administrative step that reports errors as text.
pub type TextResult<T> = Result<T, String>;

/// How a server treats connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServeOptions {
    /// Idle time after which a connection that carries administration requests is closed.
    pub admin_idle_close: Option<time::Duration>,
    /// Whether a request runs to its end when its client leaves, so that a request whose client
    /// gave up may still take effect. Otherwise it ends with the connection.
    pub runs_to_end: bool,
}

/// What a server knows of one connection.
struct ConnectionUse {
    last_use: time::Instant,
    in_flight: usize,
    is_admin: bool,
}

impl ConnectionUse {
    fn is_expired(&self, options: ServeOptions) -> bool {
        let limit = options.admin_idle_close.filter(|_| self.is_admin);
        limit.is_some_and(|limit| self.in_flight == 0 && self.last_use.elapsed() >= limit)
    }
}

/// Serves until the process ends.
pub async fn serve<H, F>(listener: tokio::net::TcpListener, options: ServeOptions, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: future::Future<Output = HandlerResult> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Accept fails for want of descriptors; a pause lets connections close.
            tokio::time::sleep(time::Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, options, handler.clone()));
    }
}

async fn serve_connection<H, F>(stream: tokio::net::TcpStream, options: ServeOptions, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: future::Future<Output = HandlerResult> + Send + 'static,
{
    let usage = sync::Arc::new(sync::Mutex::new(ConnectionUse {
        last_use: time::Instant::now(),
        in_flight: 0,
        is_admin: true,
    }));
    let shared = usage.clone();
    let service = service::service_fn(move |request: Request<Incoming>| {
        let usage = shared.clone();
        let handler = handler.clone();
        async move {
            {
                let mut usage = usage.lock().expect("connection lock");
                if usage.is_expired(options) {
                    return Err(io::Error::other("idle connection"));
                }
                usage.in_flight += 1;
                usage.is_admin = request.uri().path().starts_with("/admin/");
            }
            let reply = match options.runs_to_end {
                true => tokio::spawn(handler(request))
                    .await
                    .unwrap_or_else(|error| Err(io::Error::other(error))),
                false => handler(request).await,
            };
            let mut usage = usage.lock().expect("connection lock");
            usage.in_flight -= 1;
            usage.last_use = time::Instant::now();
            reply
        }
    });
    let connection = server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .half_close(options.runs_to_end)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let Some(limit) = options.admin_idle_close else {
        let _ = connection.await;
        return;
    };
    let mut ticks = tokio::time::interval(limit / 10 + time::Duration::from_millis(1));
    loop {
        tokio::select! {
            _ = &mut connection => return,
            _ = ticks.tick() => {
                if usage.lock().expect("connection lock").is_expired(options) {
                    return;
                }
            }
        }
    }
}

/// Whole body of a request or an answer.
///
/// # Errors
///
/// Returns the error of the connection.
pub async fn read_body(body: Incoming) -> io::Result<Bytes> {
    let whole = body.collect().await.map_err(io::Error::other)?;
    Ok(whole.to_bytes())
}

/// Body from bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    let never = |never: convert::Infallible| match never {};
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

/// Body from a channel; an error breaks the connection.
pub fn channel_body(receiver: mpsc::UnboundedReceiver<io::Result<Bytes>>) -> ResponseBody {
    let frames = futures::stream::unfold(receiver, |mut receiver| async move {
        let item = receiver.recv().await?;
        Some((item.map(hyper::body::Frame::data), receiver))
    });
    http_body_util::StreamBody::new(frames).boxed_unsync()
}

/// Answer with a JSON body.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<ResponseBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Answer that reports an error by its name.
pub fn error_response(status: StatusCode, reason: &str) -> Response<ResponseBody> {
    json_response(status, &serde_json::json!({"error": {"reason": reason}}))
}

/// Refusal before running, marked as `not_run`.
pub fn not_run_response(status: StatusCode, reason: &str) -> Response<ResponseBody> {
    let mut response = error_response(status, reason);
    let verdict = hyper::header::HeaderValue::from_static("not_run");
    response
        .headers_mut()
        .insert(acaciabank_protocol::wire::VERDICT_HEADER, verdict);
    response
}

/// Overwrites the members that `patch` names; unknown members are refused.
///
/// # Errors
///
/// Returns the parser's message.
pub fn apply_patch<T>(current: &mut T, patch: &[u8]) -> TextResult<()>
where
    T: serde::Serialize + serde::de::DeserializeOwned,
{
    let patch: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(patch).map_err(|error| error.to_string())?;
    let mut merged = serde_json::to_value(&*current).map_err(|error| error.to_string())?;
    for (name, value) in patch {
        merged[name] = value;
    }
    *current = serde_json::from_value(merged).map_err(|error| error.to_string())?;
    Ok(())
}

/// A whole answer as a client sees it.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// The body as JSON; `null` when it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends one request on a connection of its own.
///
/// # Errors
///
/// Returns the error of the connection.
pub async fn call(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> io::Result<BufferedResponse> {
    let stream = tokio::net::TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let handshake = client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    let driver = tokio::spawn(connection);
    let mut builder = Request::builder().method(method).uri(path);
    if headers.iter().all(|(name, _)| *name != "host") {
        builder = builder.header("host", address.to_string());
    }
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder
        .body(Full::new(body.into()))
        .map_err(io::Error::other)?;
    let answer = async {
        let response = sender.send_request(request).await;
        let (head, body) = response.map_err(io::Error::other)?.into_parts();
        let body = read_body(body).await?;
        Ok(BufferedResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }
    .await;
    driver.abort();
    answer
}
