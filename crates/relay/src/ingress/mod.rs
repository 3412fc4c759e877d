//! Listeners: callers, questions for addresses and readiness, other daemons, metrics.

use std::{convert::Infallible, net, rc, time::Duration};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::{clock, dispatch, edge, state, telemetry};

/// Path under which a daemon gives its configuration to others.
pub const DOCUMENT_PATH: &str = "/config";
/// Path under which a daemon gives the targets that it knows to others.
pub const TARGETS_PATH: &str = "/targets";
/// Connections that wait for acceptance. A full queue costs the caller seconds.
const BACKLOG: u32 = 1_024;
/// Idle time of a caller's connection until a configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// Part of the configured idle time after which a connection is closed; callers reuse connections
/// up to four fifths of it.
const IDLE_FACTOR: f64 = 1.1;
/// Largest head of a request until a configuration is known.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;
/// Pause after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Addresses in an answer at most.
const MAX_ADDRESSES: usize = 64;
/// Time for which callers keep an answer about addresses. Some keep it three times as long, and a
/// stopping daemon has to serve all of them.
pub const TTL_S: u64 = 1;

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerRole {
    /// Requests of callers.
    Callers,
    /// Questions for addresses and readiness.
    Directory,
    /// Other daemons.
    Peers,
    /// Metrics.
    Metrics,
}

/// Binds a listener.
///
/// # Errors
///
/// Returns a message that names the address.
pub fn bind(address: net::SocketAddr) -> Result<TcpListener, String> {
    let bound = || {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bound().map_err(|error| format!("address {address}: {error}"))
}

/// Accepts connections until the process ends.
pub async fn serve<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
    listener: TcpListener,
    role: ListenerRole,
    stop: CancellationToken,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = rc::Rc::clone(&state);
                tokio::task::spawn_local(serve_connection(state, stream, role, stop.clone()));
            }
            Err(error) => {
                log::warn!(error:% = error; "accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
    stream: TcpStream,
    role: ListenerRole,
    stop: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("connection: {error}");
        return;
    }
    let config = state.config();
    let limits = config.as_ref().map(|config| &config.limits);
    let idle = limits.map_or(DEFAULT_IDLE, |limits| {
        Duration::from_millis(limits.idle_timeout_ms)
    });
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.max_header_bytes);
    drop(config);
    let service = service_fn(|request| {
        let state = rc::Rc::clone(&state);
        async move { Ok::<_, Infallible>(answer(state, request, role).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.mul_f64(IDLE_FACTOR))
        .max_buf_size((2 * header_bytes).max(DEFAULT_HEADER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // A connection that is opened later is of a caller with an old answer: its first request is
    // served, and the answer to that closes it.
    let is_late = stop.is_cancelled();
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stop.cancelled(), if !is_late => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection ended: {error}");
    }
}

async fn answer<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
    request: http::Request<Incoming>,
    role: ListenerRole,
) -> dispatch::Reply {
    let path = request.uri().path();
    match role {
        ListenerRole::Callers => serve_caller(state, request).await,
        ListenerRole::Directory if path == state.codec.addresses_path() => addresses(&state),
        ListenerRole::Directory if path == state.codec.ready_path() => readiness(&state),
        ListenerRole::Peers if path == DOCUMENT_PATH => {
            plain(http::StatusCode::OK, state.document.borrow().clone())
        }
        ListenerRole::Peers if path == TARGETS_PATH => targets(&state),
        ListenerRole::Metrics => {
            let text = telemetry::install_metrics().render();
            plain(http::StatusCode::OK, Bytes::from(text))
        }
        _ => plain(http::StatusCode::NOT_FOUND, Bytes::new()),
    }
}

async fn serve_caller<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: state::SharedState<Codec, Store>,
    request: http::Request<Incoming>,
) -> dispatch::Reply {
    let mut reply = dispatch::handle(rc::Rc::clone(&state), request).await;
    if state.phase.get() == state::RelayPhase::Draining {
        let close = http::HeaderValue::from_static("close");
        reply.headers_mut().insert(http::header::CONNECTION, close);
    }
    reply
}

fn targets<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
) -> dispatch::Reply {
    match serde_json::to_vec(&state.targets.borrow().export()) {
        Ok(body) => plain(http::StatusCode::OK, Bytes::from(body)),
        Err(error) => {
            log::error!("the targets cannot be encoded: {error}");
            plain(http::StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn readiness<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
) -> dispatch::Reply {
    let status = match state.is_ready() {
        true => http::StatusCode::OK,
        false => http::StatusCode::SERVICE_UNAVAILABLE,
    };
    plain(status, Bytes::new())
}

fn addresses<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
) -> dispatch::Reply {
    let mut addresses = state.peers.borrow().ready_addresses(clock::now_ms());
    if state.is_ready() {
        addresses.push(state.settings.caller_address);
    }
    if addresses.is_empty() {
        return plain(http::StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    addresses.truncate(MAX_ADDRESSES);
    let ttl_s = TTL_S.min(state.settings.max_ttl_s);
    let body = state.codec.write_addresses(&addresses, ttl_s);
    let mut reply = plain(http::StatusCode::OK, Bytes::from(body));
    let json = http::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(http::header::CONTENT_TYPE, json);
    reply
}

fn plain(status: http::StatusCode, body: Bytes) -> dispatch::Reply {
    let mut reply = http::Response::new(Either::Left(Full::new(body)));
    *reply.status_mut() = status;
    reply
}
