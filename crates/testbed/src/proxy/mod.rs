//! TCP proxy that injects faults into links; links and faults are set over HTTP.

use std::{collections, io, net, sync, sync::atomic, time};

use acaciabank_protocol::value_type;
use hyper::{Request, StatusCode, body::Incoming};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::web;

/// Interval at which a link looks whether its upstream accepts connections again.
const UPSTREAM_POLL: time::Duration = time::Duration::from_millis(5);
/// Time after which a new connection to the upstream counts as open. A process that ends closes its
/// connections before its listener and resets those that it still accepts, within less.
const UPSTREAM_PROBE: time::Duration = time::Duration::from_millis(5);
/// Longest wait until the listener of a link is closed.
const MAX_CLOSE_WAIT: time::Duration = time::Duration::from_millis(500);
/// Size of the read buffer of each direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

value_type!(
    /// What a link does with the bytes of its connections.
    #[derive(Default)]
    pub enum FaultKind {
        /// Forwards all bytes.
        #[default]
        None,
        /// Closes existing and new connections.
        Cut,
        /// Keeps connections open and holds the bytes of both directions.
        Blackhole,
        /// Holds bytes sent to the upstream.
        BlackholeUp,
        /// Holds bytes received from the upstream.
        BlackholeDown,
        /// Forwards the bytes of each read after a delay.
        Delay,
        /// Forwards requests and closes the connection at the first byte of a response.
        DropAnswers,
    }
);

value_type!(
    /// A fault of a link, and the connections it applies to.
    #[derive(Default)]
    pub struct LinkFault {
        /// What happens to the connections.
        pub kind: FaultKind,
        /// Delay of each read in milliseconds, for `FaultKind::Delay`.
        #[serde(default)]
        pub delay_ms: u64,
        /// Restricts the fault to connections from this IP address.
        #[serde(default)]
        pub source: Option<net::IpAddr>,
    }
);

impl LinkFault {
    fn kind_for(&self, source: net::IpAddr) -> FaultKind {
        match self.source {
            Some(affected) if affected != source => FaultKind::None,
            _ => self.kind,
        }
    }
}

value_type!(
    /// Body of `PUT /links/{name}`.
    pub struct LinkRequest {
        /// Address to listen on; with port 0 the kernel picks a free port.
        pub listen: net::SocketAddr,
        /// Address to forward to.
        pub upstream: net::SocketAddr,
        /// Initial fault.
        #[serde(default)]
        pub fault: LinkFault,
        /// Whether the link refuses connections while its upstream does, so that others can tell a
        /// process that has ended from a broken link.
        #[serde(default)]
        pub refuses_with_upstream: bool,
    }
);

/// A running link with its fault and its counters.
#[derive(Debug)]
struct LinkState {
    address: net::SocketAddr,
    upstream: net::SocketAddr,
    fault: watch::Sender<LinkFault>,
    /// Keeps the port while the listener is closed; `None` if it never is.
    reservation: Option<socket2::Socket>,
    is_listening: watch::Sender<bool>,
    /// Notified when the upstream refuses connections.
    upstream_lost: tokio::sync::Notify,
    connections: atomic::AtomicU64,
    bytes_up: atomic::AtomicU64,
    bytes_down: atomic::AtomicU64,
    bytes_held: atomic::AtomicU64,
    accept_task: tokio::task::AbortHandle,
}

impl LinkState {
    fn report(&self) -> serde_json::Value {
        let count = |counter: &atomic::AtomicU64| counter.load(atomic::Ordering::Relaxed);
        json!({
            "address": self.address, "upstream": self.upstream,
            "fault": *self.fault.borrow(), "connections": count(&self.connections),
            "bytes_up": count(&self.bytes_up), "bytes_down": count(&self.bytes_down),
            "bytes_held": count(&self.bytes_held),
        })
    }
}

/// The links of a proxy process, by name.
#[derive(Debug, Default)]
pub struct ProxyState {
    links: sync::Mutex<collections::BTreeMap<String, sync::Arc<LinkState>>>,
}

impl ProxyState {
    /// Handles a request that reads or changes links.
    ///
    /// # Errors
    ///
    /// Returns an error, which closes the connection, if the request body cannot be read.
    pub async fn handle(self: sync::Arc<Self>, request: Request<Incoming>) -> web::HandlerResult {
        let (head, body) = request.into_parts();
        let body = web::read_body(body).await?;
        let path = head.uri.path();
        let name = path.strip_prefix("/links/").unwrap_or_default();
        let response = match (head.method.as_str(), name.strip_suffix("/fault")) {
            ("GET", _) => self.report(name),
            ("PUT", _) if !name.is_empty() => self.put_link(name, &body).await,
            ("POST", Some(name)) => self.set_fault(name, &body),
            _ => web::error_response(StatusCode::NOT_FOUND, "not_found"),
        };
        Ok(response)
    }

    fn report(&self, name: &str) -> hyper::Response<web::ResponseBody> {
        let links = self.links.lock().expect("link lock");
        if name.is_empty() {
            let reports: collections::BTreeMap<_, _> = links
                .iter()
                .map(|(name, link)| (name, link.report()))
                .collect();
            return web::json_response(StatusCode::OK, &reports);
        }
        match links.get(name) {
            Some(link) => web::json_response(StatusCode::OK, &link.report()),
            None => web::error_response(StatusCode::NOT_FOUND, "not_found"),
        }
    }

    async fn put_link(&self, name: &str, body: &[u8]) -> hyper::Response<web::ResponseBody> {
        let request: LinkRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return web::error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let previous = self.links.lock().expect("link lock").remove(name);
        if let Some(previous) = previous {
            previous.accept_task.abort();
            previous.fault.send_replace(LinkFault {
                kind: FaultKind::Cut,
                ..LinkFault::default()
            });
        }
        match start_link(request).await {
            Ok(link) => {
                let report = link.report();
                let mut links = self.links.lock().expect("link lock");
                links.insert(name.to_owned(), link);
                web::json_response(StatusCode::OK, &report)
            }
            Err(error) => web::error_response(StatusCode::CONFLICT, &error.to_string()),
        }
    }

    fn set_fault(&self, name: &str, body: &[u8]) -> hyper::Response<web::ResponseBody> {
        let fault: LinkFault = match serde_json::from_slice(body) {
            Ok(fault) => fault,
            Err(error) => return web::error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match self.links.lock().expect("link lock").get(name) {
            Some(link) => {
                link.fault.send_replace(fault);
                web::json_response(StatusCode::OK, &link.report())
            }
            None => web::error_response(StatusCode::NOT_FOUND, "not_found"),
        }
    }
}

/// Binds a socket that keeps the port of an address, which may be 0 for any free port.
fn reserve(address: net::SocketAddr) -> io::Result<socket2::Socket> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Returns whether nothing listens on an address.
async fn is_refused(address: net::SocketAddr) -> bool {
    loop {
        match TcpStream::connect(address).await {
            Err(error) => return error.kind() == io::ErrorKind::ConnectionRefused,
            Ok(stream) => {
                let closed = tokio::time::timeout(UPSTREAM_PROBE, stream.readable());
                if closed.await.is_err() {
                    return false;
                }
            }
        }
    }
}

impl LinkState {
    /// Closes the listener if the upstream refuses connections and no fault hides that.
    async fn follow_upstream(&self) {
        let is_visible = matches!(self.fault.borrow().kind, FaultKind::None | FaultKind::Delay);
        if self.reservation.is_none() || !is_visible || !is_refused(self.upstream).await {
            return;
        }
        let mut is_listening = self.is_listening.subscribe();
        self.upstream_lost.notify_one();
        let closed = is_listening.wait_for(|is_listening| !is_listening);
        let _ = tokio::time::timeout(MAX_CLOSE_WAIT, closed).await;
    }

    /// Listens again once the upstream accepts connections.
    async fn listen_again(&self) -> TcpListener {
        loop {
            if !is_refused(self.upstream).await
                && let Ok(listener) = TcpListener::bind(self.address).await
            {
                return listener;
            }
            tokio::time::sleep(UPSTREAM_POLL).await;
        }
    }
}

async fn start_link(request: LinkRequest) -> io::Result<sync::Arc<LinkState>> {
    let reservation = match request.refuses_with_upstream {
        true => Some(reserve(request.listen)?),
        false => None,
    };
    let reserved = reservation
        .as_ref()
        .and_then(|socket| socket.local_addr().ok()?.as_socket());
    let listener = TcpListener::bind(reserved.unwrap_or(request.listen)).await?;
    let address = listener.local_addr()?;
    let (link_sender, link_receiver) = tokio::sync::oneshot::channel();
    let task = tokio::spawn(async move {
        if let Ok(link) = link_receiver.await {
            accept_connections(listener, link).await;
        }
    });
    let link = sync::Arc::new(LinkState {
        address,
        upstream: request.upstream,
        fault: watch::Sender::new(request.fault),
        reservation,
        is_listening: watch::Sender::new(true),
        upstream_lost: tokio::sync::Notify::new(),
        connections: atomic::AtomicU64::new(0),
        bytes_up: atomic::AtomicU64::new(0),
        bytes_down: atomic::AtomicU64::new(0),
        bytes_held: atomic::AtomicU64::new(0),
        accept_task: task.abort_handle(),
    });
    let _ = link_sender.send(link.clone());
    Ok(link)
}

async fn accept_connections(mut listener: TcpListener, link: sync::Arc<LinkState>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = link.upstream_lost.notified() => {
                // The upstream may have been started again since.
                if is_refused(link.upstream).await {
                    drop(listener);
                    link.is_listening.send_replace(false);
                    listener = link.listen_again().await;
                    link.is_listening.send_replace(true);
                }
                continue;
            }
        };
        let Ok((stream, source)) = accepted else {
            // Accepting fails when file descriptors run out; the pause lets connections close.
            tokio::time::sleep(time::Duration::from_millis(10)).await;
            continue;
        };
        link.connections.fetch_add(1, atomic::Ordering::Relaxed);
        tokio::spawn(forward(stream, source.ip(), link.clone()));
    }
}

/// Direction of bytes on a link: up to the upstream or down to the client.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

/// Forwards a connection until both directions end, one fails, or a fault cuts it.
async fn forward(client: TcpStream, source: net::IpAddr, link: sync::Arc<LinkState>) {
    let mut fault = link.fault.subscribe();
    let is_cut = |fault: &LinkFault| fault.kind_for(source) == FaultKind::Cut;
    let cut = fault.wait_for(is_cut);
    let copy = async {
        // A partition also blocks new connections: the upstream is not contacted before it ends.
        let mut fault = link.fault.subscribe();
        let is_open = |fault: &LinkFault| fault.kind_for(source) != FaultKind::Blackhole;
        let _ = fault.wait_for(is_open).await;
        let upstream = match TcpStream::connect(link.upstream).await {
            Ok(upstream) => upstream,
            Err(error) => {
                link.follow_upstream().await;
                return Err(error);
            }
        };
        client.set_nodelay(true)?;
        upstream.set_nodelay(true)?;
        let (client_reader, client_writer) = client.into_split();
        let (upstream_reader, upstream_writer) = upstream.into_split();
        tokio::try_join!(
            forward_direction(client_reader, upstream_writer, Direction::Up, source, &link),
            forward_direction(
                upstream_reader,
                client_writer,
                Direction::Down,
                source,
                &link
            ),
        )?;
        io::Result::Ok(())
    };
    tokio::select! {
        _ = cut => {}
        _ = copy => {}
    }
}

/// Adds bytes that were read but not yet forwarded to a counter, and subtracts them on drop.
struct HeldBytes<'a> {
    counter: &'a atomic::AtomicU64,
    size: u64,
}

impl<'a> HeldBytes<'a> {
    fn new(counter: &'a atomic::AtomicU64, size: usize) -> Self {
        let size = size as u64;
        counter.fetch_add(size, atomic::Ordering::Relaxed);
        Self { counter, size }
    }
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        self.counter.fetch_sub(self.size, atomic::Ordering::Relaxed);
    }
}

/// Forwards one direction of a connection. Bytes that a fault holds are forwarded when it ends.
async fn forward_direction(
    mut reader: tokio::net::tcp::OwnedReadHalf,
    mut writer: tokio::net::tcp::OwnedWriteHalf,
    direction: Direction,
    source: net::IpAddr,
    link: &LinkState,
) -> io::Result<()> {
    let mut fault = link.fault.subscribe();
    let mut buffer = vec![0; BUFFER_BYTES];
    let holds = |kind: FaultKind| match direction {
        Direction::Up => matches!(kind, FaultKind::Blackhole | FaultKind::BlackholeUp),
        Direction::Down => matches!(kind, FaultKind::Blackhole | FaultKind::BlackholeDown),
    };
    loop {
        let size = match reader.read(&mut buffer).await {
            Ok(size) => size,
            Err(error) => {
                if direction == Direction::Down {
                    link.follow_upstream().await;
                }
                return Err(error);
            }
        };
        let held = HeldBytes::new(&link.bytes_held, size);
        let current = fault
            .wait_for(|fault| !holds(fault.kind_for(source)))
            .await
            .map_err(io::Error::other)?
            .clone();
        drop(held);
        match current.kind_for(source) {
            FaultKind::Delay => {
                tokio::time::sleep(time::Duration::from_millis(current.delay_ms)).await;
            }
            FaultKind::DropAnswers if direction == Direction::Down && size > 0 => {
                return Err(io::Error::other("fault: response dropped"));
            }
            _ => {}
        }
        if size == 0 {
            if direction == Direction::Down {
                link.follow_upstream().await;
            }
            return writer.shutdown().await;
        }
        writer.write_all(&buffer[..size]).await?;
        let counter = match direction {
            Direction::Up => &link.bytes_up,
            Direction::Down => &link.bytes_down,
        };
        counter.fetch_add(size as u64, atomic::Ordering::Relaxed);
    }
}
