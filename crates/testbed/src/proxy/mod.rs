//! TCP proxy with many links whose faults are set over HTTP.

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

/// Bytes read at once in one direction.
const BUFFER_BYTES: usize = 16 << 10;

value_type!(
    /// What a link does with connections.
    #[derive(Default)]
    pub enum FaultKind {
        /// Forwards.
        #[default]
        None,
        /// Closes connections, also new ones.
        Cut,
        /// Keeps connections open and holds all bytes.
        Blackhole,
        /// Holds bytes towards the upstream.
        BlackholeUp,
        /// Holds bytes from the upstream.
        BlackholeDown,
        /// Forwards each read after a delay.
        Delay,
        /// Forwards requests and closes the connection at the first byte of an answer.
        DropAnswers,
    }
);

value_type!(
    /// Fault of a link.
    #[derive(Default)]
    pub struct LinkFault {
        /// Kind.
        pub kind: FaultKind,
        /// Delay of each read, in milliseconds.
        #[serde(default)]
        pub delay_ms: u64,
        /// Restricts the fault to connections from this IP.
        #[serde(default)]
        pub source: Option<net::IpAddr>,
    }
);

impl LinkFault {
    fn kind_for(&self, source: net::IpAddr) -> FaultKind {
        match self.source {
            Some(restricted) if restricted != source => FaultKind::None,
            _ => self.kind,
        }
    }
}

value_type!(
    /// Body of `PUT /links/{name}`.
    pub struct LinkRequest {
        /// Address to listen at; port 0 asks the kernel for a port.
        pub listen: net::SocketAddr,
        /// Address to forward to.
        pub upstream: net::SocketAddr,
        /// Fault from the start.
        #[serde(default)]
        pub fault: LinkFault,
    }
);

/// A link and its counters.
#[derive(Debug)]
struct LinkState {
    address: net::SocketAddr,
    upstream: net::SocketAddr,
    fault: watch::Sender<LinkFault>,
    connections: atomic::AtomicU64,
    bytes_up: atomic::AtomicU64,
    bytes_down: atomic::AtomicU64,
    bytes_held: atomic::AtomicU64,
    accepting: tokio::task::AbortHandle,
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

/// All links of a proxy process.
#[derive(Debug, Default)]
pub struct ProxyState {
    links: sync::Mutex<collections::BTreeMap<String, sync::Arc<LinkState>>>,
}

impl ProxyState {
    /// Answers one control request.
    ///
    /// # Errors
    ///
    /// An error closes the connection without an answer.
    pub async fn handle(self: sync::Arc<Self>, request: Request<Incoming>) -> web::HandlerResult {
        let (head, body) = request.into_parts();
        let body = web::read_body(body).await?;
        let path = head.uri.path();
        let name = path.strip_prefix("/links/").unwrap_or_default();
        let reply = match (head.method.as_str(), name.strip_suffix("/fault")) {
            ("GET", _) => self.report(name),
            ("PUT", _) if !name.is_empty() => self.put_link(name, &body).await,
            ("POST", Some(name)) => self.set_fault(name, &body),
            _ => web::error_response(StatusCode::NOT_FOUND, "not_found"),
        };
        Ok(reply)
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
        let earlier = self.links.lock().expect("link lock").remove(name);
        if let Some(earlier) = earlier {
            earlier.accepting.abort();
            earlier.fault.send_replace(LinkFault {
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

async fn start_link(request: LinkRequest) -> io::Result<sync::Arc<LinkState>> {
    let listener = TcpListener::bind(request.listen).await?;
    let address = listener.local_addr()?;
    let (started, link_receiver) = tokio::sync::oneshot::channel();
    let task = tokio::spawn(async move {
        if let Ok(link) = link_receiver.await {
            accept(listener, link).await;
        }
    });
    let link = sync::Arc::new(LinkState {
        address,
        upstream: request.upstream,
        fault: watch::Sender::new(request.fault),
        connections: atomic::AtomicU64::new(0),
        bytes_up: atomic::AtomicU64::new(0),
        bytes_down: atomic::AtomicU64::new(0),
        bytes_held: atomic::AtomicU64::new(0),
        accepting: task.abort_handle(),
    });
    let _ = started.send(link.clone());
    Ok(link)
}

async fn accept(listener: TcpListener, link: sync::Arc<LinkState>) {
    loop {
        let Ok((stream, source)) = listener.accept().await else {
            // Accept fails for want of descriptors; a pause lets connections close.
            tokio::time::sleep(time::Duration::from_millis(10)).await;
            continue;
        };
        link.connections.fetch_add(1, atomic::Ordering::Relaxed);
        tokio::spawn(forward(stream, source.ip(), link.clone()));
    }
}

/// Direction of bytes on a link.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

/// Forwards one connection until an end closes or a fault closes it.
async fn forward(client: TcpStream, source: net::IpAddr, link: sync::Arc<LinkState>) {
    let mut fault = link.fault.subscribe();
    let is_cut = |fault: &LinkFault| fault.kind_for(source) == FaultKind::Cut;
    let cut = fault.wait_for(is_cut);
    let copy = async {
        // A partitioned network answers no connection attempt to the upstream either.
        let mut changes = link.fault.subscribe();
        let is_open = |fault: &LinkFault| fault.kind_for(source) != FaultKind::Blackhole;
        let _ = changes.wait_for(is_open).await;
        let upstream = TcpStream::connect(link.upstream).await?;
        client.set_nodelay(true)?;
        upstream.set_nodelay(true)?;
        let (client_reader, client_writer) = client.into_split();
        let (upstream_reader, upstream_writer) = upstream.into_split();
        tokio::try_join!(
            pump(client_reader, upstream_writer, Direction::Up, source, &link),
            pump(
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

/// Counts bytes that were read and wait for the end of a fault.
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

/// Forwards one direction; bytes that a fault holds are delivered when it ends.
async fn pump(
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
        let size = reader.read(&mut buffer).await?;
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
                return Err(io::Error::other("fault: answer dropped"));
            }
            _ => {}
        }
        if size == 0 {
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
