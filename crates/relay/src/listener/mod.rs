//! Listeners for callers, address discovery, readiness checks, other daemons and metrics.

mod slots;

use std::{cell, convert::Infallible, net, rc, time::Duration};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::{clock, connection, dispatch, platform, state, telemetry};

/// Path at which a daemon serves its configuration to other daemons.
pub const CONFIG_PATH: &str = "/config";
/// Path at which a daemon serves the targets that it knows to other daemons.
pub const TARGETS_PATH: &str = "/targets";
/// Maximum number of connections that wait to be accepted. If the queue is full, the caller's TCP
/// retransmission delays the connection by seconds.
const LISTEN_BACKLOG: u32 = 1_024;
/// Size of the kernel's send buffer of a connection; the kernel doubles it. Without a limit it grows
/// to megabytes, which a stream has to fill before it is noticed that its caller reads nothing.
const SEND_BUFFER_BYTES: u32 = 256 << 10;
/// Size of the kernel's receive buffer of a connection; the kernel doubles it. Bytes that have been
/// received and not read count as memory of the process. With a round trip of 3 ms, half of the
/// buffer carries 80 Mbit/s on one connection.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Idle timeout of connections until a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Multiple of the configured idle time after which a connection is closed. Callers reuse
/// connections for up to four fifths of that time, so none is closed while a caller may still use
/// it.
const IDLE_TIMEOUT_FACTOR: f64 = 1.1;
/// Maximum size of a request's head until a configuration is known.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;
/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of addresses in a discovery response.
const MAX_ADDRESSES: usize = 64;
/// Time that callers may cache a discovery response, in seconds. Some cache it three times as long,
/// and a stopping daemon has to serve all of them.
pub const ADDRESS_TTL_S: u64 = 1;

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerRole {
    /// Requests from callers.
    Callers,
    /// Address discovery for callers, and readiness checks.
    Directory,
    /// Requests from other daemons.
    Peers,
    /// Scrapes of the metrics.
    Metrics,
}

/// Binds a listener to an IPv4 address.
///
/// # Errors
///
/// Returns a message with the address and the cause if the address cannot be bound.
pub fn bind(address: net::SocketAddr) -> Result<TcpListener, String> {
    let bound = || {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit both sizes.
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bound().map_err(|error| format!("cannot listen on address {address}: {error}"))
}

/// When the connections of a listener end.
#[derive(Clone, Debug, Default)]
pub struct StopSignals {
    /// Open connections end after their current request, and new ones after their first.
    pub finish: CancellationToken,
    /// The listener closes.
    pub close: CancellationToken,
}

/// Accepts connections until the listener is to be closed.
pub async fn serve<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
    listener: TcpListener,
    role: ListenerRole,
    stop: StopSignals,
) {
    let settings = &state.settings;
    // Only callers are not under the operator's control.
    let max_connections = match role {
        ListenerRole::Callers => {
            slots::max_connections(settings.max_descriptors, settings.memory_bytes)
        }
        ListenerRole::Directory | ListenerRole::Peers | ListenerRole::Metrics => usize::MAX,
    };
    let slots = slots::ConnectionSlots::new(max_connections);
    let spawn = async |stream| {
        if let Some(slot) = slots.take().await {
            let state = rc::Rc::clone(&state);
            let stop = stop.finish.clone();
            tokio::task::spawn_local(serve_connection(state, stream, role, stop, slot));
        }
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.close.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn(stream).await,
            Err(error) => {
                log::warn!(error:% = error; "accept_failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    for stream in connection::accept_pending(listener) {
        spawn(stream).await;
    }
}

async fn serve_connection<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
    stream: TcpStream,
    role: ListenerRole,
    stop: CancellationToken,
    slot: slots::ConnectionSlot,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on an accepted connection: {error}");
        return;
    }
    let max_header_bytes = state.config().map_or(DEFAULT_MAX_HEADER_BYTES, |config| {
        config.limits.max_header_bytes
    });
    let progress = std::sync::Arc::clone(slot.progress());
    // Held until the connection has ended: the process does not end before the last response on a
    // stopping connection has been written.
    let unwritten = cell::RefCell::new(None);
    let service = service_fn(|mut request: http::Request<Incoming>| {
        let state = rc::Rc::clone(&state);
        let (body_guard, response_guard) = connection::HeadProgress::begin_request(&progress);
        request.extensions_mut().insert(body_guard);
        if stop.is_cancelled() {
            unwritten.replace(Some(state::ActiveGuard::start(&state.active)));
        }
        async move {
            let response = respond(state, request, role).await;
            Ok::<_, Infallible>(response.map(|body| response_guard.guard(body)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The idle timeout below can change while the connection is open.
        .header_read_timeout(None)
        .max_buf_size(
            max_header_bytes
                .saturating_mul(2)
                .max(DEFAULT_MAX_HEADER_BYTES),
        )
        .serve_connection(
            TokioIo::new(connection::AcceptedStream::new(stream, &progress)),
            service,
        );
    let mut connection = std::pin::pin!(connection);
    // A connection opened during shutdown comes from a caller with an outdated address list: its
    // first request is served, and the response closes the connection.
    let is_after_stop = stop.is_cancelled();
    let idle_timeout = connection::wait_idle_timeout(&progress, || idle_timeout(&state));
    let result = tokio::select! {
        // A request that has arrived is read before the connection counts as idle.
        biased;
        result = connection.as_mut() => result,
        () = idle_timeout => match progress.is_partial() {
            _ if progress.blocked_time().is_some() => {
                telemetry::count_overload(telemetry::OverloadReason::ResponseUnread, 1);
                Ok(())
            }
            true => Ok(()),
            false => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        },
        () = slot.wait_close() => Ok(()),
        () = stop.cancelled(), if !is_after_stop => {
            // The process does not end while a request is being read.
            unwritten.replace(Some(state::ActiveGuard::start(&state.active)));
            tokio::select! {
                result = connection.as_mut() => result,
                () = connection::wait_between_requests(&progress) => {
                    connection.as_mut().graceful_shutdown();
                    if progress.is_partial() {
                        unwritten.take();
                    }
                    connection.await
                }
            }
        }
    };
    if let Err(error) = result {
        log::debug!("connection ended with an error: {error}");
    }
}

/// Returns the idle time after which a connection is closed, by the configuration in use.
fn idle_timeout<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) -> Duration {
    let timeout = state.config().map_or(DEFAULT_IDLE_TIMEOUT, |config| {
        Duration::from_millis(config.limits.idle_timeout_ms)
    });
    timeout.mul_f64(IDLE_TIMEOUT_FACTOR)
}

async fn respond<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
    request: http::Request<Incoming>,
    role: ListenerRole,
) -> dispatch::HttpResponse {
    let path = request.uri().path();
    match role {
        ListenerRole::Callers => serve_request(state, request).await,
        ListenerRole::Directory if path == state.codec.addresses_path() => addresses(&state),
        ListenerRole::Directory if path == state.codec.ready_path() => readiness(&state),
        ListenerRole::Peers if path == CONFIG_PATH => {
            plain(http::StatusCode::OK, state.config_document.borrow().clone())
        }
        ListenerRole::Peers if path == TARGETS_PATH => targets(&state),
        ListenerRole::Metrics => {
            let text = telemetry::install_metrics().render();
            plain(http::StatusCode::OK, Bytes::from(text))
        }
        _ => plain(http::StatusCode::NOT_FOUND, Bytes::new()),
    }
}

async fn serve_request<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
    request: http::Request<Incoming>,
) -> dispatch::HttpResponse {
    let mut response = dispatch::handle(rc::Rc::clone(&state), request).await;
    if state.phase.get() == state::RelayPhase::Draining {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

fn targets<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) -> dispatch::HttpResponse {
    match serde_json::to_vec(&state.targets.borrow().export()) {
        Ok(body) => plain(http::StatusCode::OK, Bytes::from(body)),
        Err(error) => {
            log::error!("the list of targets cannot be encoded as JSON: {error}");
            plain(http::StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn readiness<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) -> dispatch::HttpResponse {
    let status = match state.is_ready() {
        true => http::StatusCode::OK,
        false => http::StatusCode::SERVICE_UNAVAILABLE,
    };
    plain(status, Bytes::new())
}

fn addresses<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) -> dispatch::HttpResponse {
    let mut addresses = state.peers.borrow().ready_addresses(clock::now_ms());
    if state.is_ready() {
        addresses.push(state.settings.caller_address);
    }
    if addresses.is_empty() {
        return plain(http::StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    addresses.truncate(MAX_ADDRESSES);
    let ttl_s = ADDRESS_TTL_S.min(state.settings.max_ttl_s);
    let body = state.codec.write_addresses(&addresses, ttl_s);
    let mut response = plain(http::StatusCode::OK, Bytes::from(body));
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}

fn plain(status: http::StatusCode, body: Bytes) -> dispatch::HttpResponse {
    let mut response = http::Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    response
}
