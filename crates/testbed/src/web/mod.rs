//! HTTP/1.1 server, client and response helpers of the simulated processes.

use std::{convert, future, io, net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, client, server, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::mpsc;

/// Body of a response: all bytes at once or a stream.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;
/// Result of a request handler; an error closes the connection without a response.
pub type HandlerResult = Result<Response<ResponseBody>, io::Error>;

/// Result whose error is a message for the body of an error response.
pub type TextResult<T> = Result<T, String>;

/// When a server closes idle connections, and whether it finishes requests of disconnected clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServeOptions {
    /// Idle time after which a connection is closed whose last request was for a path below
    /// `/admin/`, or that has had no request yet.
    pub admin_idle_timeout: Option<time::Duration>,
    /// Whether a request runs to completion after its client disconnects, so that a request whose
    /// client gave up may still take effect. Otherwise it is cancelled with the connection.
    pub runs_to_completion: bool,
}

/// Activity of one server connection, from which its idle time is computed.
struct ConnectionActivity {
    last_use: time::Instant,
    in_flight: usize,
    is_admin: bool,
}

impl ConnectionActivity {
    fn is_expired(&self, options: ServeOptions) -> bool {
        let timeout = options.admin_idle_timeout.filter(|_| self.is_admin);
        timeout.is_some_and(|timeout| self.in_flight == 0 && self.last_use.elapsed() >= timeout)
    }
}

/// Accepts connections and serves requests with `handler` until the process ends.
pub async fn serve<H, F>(listener: tokio::net::TcpListener, options: ServeOptions, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: future::Future<Output = HandlerResult> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Accepting fails when file descriptors run out; the pause lets connections close.
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
    let activity = sync::Arc::new(sync::Mutex::new(ConnectionActivity {
        last_use: time::Instant::now(),
        in_flight: 0,
        is_admin: true,
    }));
    let service_activity = activity.clone();
    let service = service::service_fn(move |request: Request<Incoming>| {
        let activity = service_activity.clone();
        let handler = handler.clone();
        async move {
            {
                let mut activity = activity.lock().expect("connection lock");
                if activity.is_expired(options) {
                    return Err(io::Error::other("the connection exceeded its idle timeout"));
                }
                activity.in_flight += 1;
                activity.is_admin = request.uri().path().starts_with("/admin/");
            }
            let result = match options.runs_to_completion {
                true => tokio::spawn(handler(request))
                    .await
                    .unwrap_or_else(|error| Err(io::Error::other(error))),
                false => handler(request).await,
            };
            let mut activity = activity.lock().expect("connection lock");
            activity.in_flight -= 1;
            activity.last_use = time::Instant::now();
            result
        }
    });
    let connection = server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .half_close(options.runs_to_completion)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let Some(timeout) = options.admin_idle_timeout else {
        let _ = connection.await;
        return;
    };
    let mut ticks = tokio::time::interval(timeout / 10 + time::Duration::from_millis(1));
    loop {
        tokio::select! {
            _ = &mut connection => return,
            _ = ticks.tick() => {
                if activity.lock().expect("connection lock").is_expired(options) {
                    return;
                }
            }
        }
    }
}

/// Reads the whole body of a request or response.
///
/// # Errors
///
/// Returns an error if the connection fails before the end of the body.
pub async fn read_body(body: Incoming) -> io::Result<Bytes> {
    let collected = body.collect().await.map_err(io::Error::other)?;
    Ok(collected.to_bytes())
}

/// Creates a body from bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    let convert_error = |error: convert::Infallible| match error {};
    Full::new(bytes.into())
        .map_err(convert_error)
        .boxed_unsync()
}

/// Creates a body that streams the items of a channel; an error item breaks the connection.
pub fn channel_body(receiver: mpsc::UnboundedReceiver<io::Result<Bytes>>) -> ResponseBody {
    let frames = futures::stream::unfold(receiver, |mut receiver| async move {
        let item = receiver.recv().await?;
        Some((item.map(hyper::body::Frame::data), receiver))
    });
    http_body_util::StreamBody::new(frames).boxed_unsync()
}

/// Creates a response with a JSON body.
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

/// Creates the response `{"error": {"reason": ...}}`.
pub fn error_response(status: StatusCode, reason: &str) -> Response<ResponseBody> {
    json_response(status, &serde_json::json!({"error": {"reason": reason}}))
}

/// Creates an error response whose verdict header says `not_run`: the request was refused before
/// it had any effect.
pub fn not_run_response(status: StatusCode, reason: &str) -> Response<ResponseBody> {
    let mut response = error_response(status, reason);
    let verdict = hyper::header::HeaderValue::from_static("not_run");
    response
        .headers_mut()
        .insert(acaciabank_protocol::wire::VERDICT_HEADER, verdict);
    response
}

/// Overwrites the members of `current` that the JSON object `patch` names.
///
/// # Errors
///
/// Returns the parser's message if `patch` is not a JSON object or the merged value is not a valid
/// `T`, for example because of an unknown member.
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

/// A response that a client received in full.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: hyper::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// The body as JSON; `null` if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends one request on a new connection and reads the whole response.
///
/// # Errors
///
/// Returns an error if the method, path or a header is invalid, or if the connection cannot be
/// opened or breaks before the end of the response.
pub async fn call(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> io::Result<BufferedResponse> {
    call_with_body(address, method, path, headers, full_body(body)).await
}

/// Like [`call`], with a body whose length is not announced: it is sent in chunks.
///
/// # Errors
///
/// Those of [`call`].
pub async fn call_chunked(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> io::Result<BufferedResponse> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let _ = sender.send(Ok(body.into()));
    drop(sender);
    call_with_body(address, method, path, headers, channel_body(receiver)).await
}

async fn call_with_body(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: ResponseBody,
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
    let request = builder.body(body).map_err(io::Error::other)?;
    let response = async {
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
    response
}
