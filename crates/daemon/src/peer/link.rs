//! The outgoing connection to one other daemon.

use std::{cell, collections, net, rc::Rc, time};

use acaciabank_protocol::{ids, peer_capnp::peer, settings};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use futures::{AsyncReadExt, io};
use tokio::{net::TcpSocket, task::JoinHandle};
use tokio_util::compat::TokioAsyncReadCompatExt;

use super::meter;

/// Longest delay before the connection attempt after the first failure; doubles with each further
/// failure.
const INITIAL_BACKOFF_MS: u64 = 100;
/// Longest delay after any failure. It bounds the time until a daemon that returns is reached.
const MAX_BACKOFF_MS: u64 = 1_600;

/// Size of the read and write buffers of an RPC connection. Without buffers every message takes
/// several system calls.
const BUFFER_BYTES: usize = 8 << 10;

/// Timeout of a call that does not wait at the callee.
pub(super) const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Wraps a connection as the network of an RPC system.
pub(super) fn network(
    stream: tokio::net::TcpStream,
    side: Side,
) -> Box<twoparty::VatNetwork<impl futures::AsyncRead + Unpin + 'static>> {
    let stream = meter::CountedStream::new(stream).compat();
    let (reader, writer) = stream.split();
    let reader = io::BufReader::with_capacity(BUFFER_BYTES, reader);
    let writer = io::BufWriter::with_capacity(BUFFER_BYTES, writer);
    let options = capnp::message::ReaderOptions::new();
    Box::new(twoparty::VatNetwork::new(reader, writer, side, options))
}

/// When a call may open a connection after an earlier attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectPolicy {
    /// After the backoff, for calls that are repeated anyway, such as gossip.
    AfterBackoff,
    /// At once, for calls that a caller waits for: the other daemon may just have started.
    AtOnce,
}

struct OpenConnection {
    client: peer::Client,
    task: JoinHandle<()>,
    generation: u64,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connection to one daemon, opened on the first call and reopened after a failure.
pub(super) struct PeerLink {
    pub(super) daemon: ids::DaemonId,
    pub(super) address: net::SocketAddr,
    local_ip: net::IpAddr,
    connect_timeout: time::Duration,
    open: cell::RefCell<Option<OpenConnection>>,
    connecting: tokio::sync::Mutex<()>,
    generation: cell::Cell<u64>,
    failures: cell::Cell<u32>,
    retry_at: cell::Cell<Option<time::Instant>>,
    failed_at: cell::Cell<Option<time::Instant>>,
    is_gossiping: cell::Cell<bool>,
    /// Hashes of the targets whose last cache changes did not reach the daemon.
    pub(super) stale_targets: cell::RefCell<collections::BTreeSet<u32>>,
}

/// Marks a link as busy with a gossip call, so that no further call queues behind a slow one.
pub(super) struct GossipPermit(Rc<PeerLink>);

impl Drop for GossipPermit {
    fn drop(&mut self) {
        self.0.is_gossiping.set(false);
    }
}

impl PeerLink {
    pub(super) fn new(
        daemon: ids::DaemonId,
        address: net::SocketAddr,
        process: &settings::ProcessSettings,
    ) -> Self {
        Self {
            daemon,
            address,
            local_ip: process.peer_address.ip(),
            connect_timeout: time::Duration::from_millis(process.timers.connect_timeout_ms),
            open: cell::RefCell::default(),
            connecting: tokio::sync::Mutex::default(),
            generation: cell::Cell::new(0),
            failures: cell::Cell::new(0),
            retry_at: cell::Cell::new(None),
            failed_at: cell::Cell::new(None),
            is_gossiping: cell::Cell::new(false),
            stale_targets: cell::RefCell::default(),
        }
    }

    pub(super) fn try_start_gossip(self: &Rc<Self>) -> Option<GossipPermit> {
        match self.is_gossiping.replace(true) {
            true => None,
            false => Some(GossipPermit(Rc::clone(self))),
        }
    }

    /// Makes one call. Closes the connection if the call fails or times out.
    pub(super) async fn call<T, C, F>(
        &self,
        method: &'static str,
        timeout: time::Duration,
        make_call: C,
    ) -> Result<T, String>
    where
        C: FnOnce(peer::Client) -> F,
        F: Future<Output = capnp::Result<T>>,
    {
        let policy = ConnectPolicy::AfterBackoff;
        self.call_with(policy, method, timeout, make_call).await
    }

    /// Like [`call`](Self::call), with the given policy for opening a connection.
    pub(super) async fn call_with<T, C, F>(
        &self,
        policy: ConnectPolicy,
        method: &'static str,
        timeout: time::Duration,
        make_call: C,
    ) -> Result<T, String>
    where
        C: FnOnce(peer::Client) -> F,
        F: Future<Output = capnp::Result<T>>,
    {
        let (client, generation) = self.client(policy).await?;
        meter::count_message(method);
        let message = match tokio::time::timeout(timeout, make_call(client)).await {
            Ok(Ok(value)) => {
                self.failures.set(0);
                return Ok(value);
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer to {method} within {timeout:?}"),
        };
        self.close(generation);
        Err(message)
    }

    async fn client(&self, policy: ConnectPolicy) -> Result<(peer::Client, u64), String> {
        let called_at = time::Instant::now();
        let _guard = self.connecting.lock().await;
        if let Some(open) = self.open.borrow().as_ref()
            && !open.task.is_finished()
        {
            return Ok((open.client.clone(), open.generation));
        }
        if !self.may_connect(policy, called_at) {
            return Err("waiting before another try to connect".to_owned());
        }
        let connected = tokio::time::timeout(self.connect_timeout, self.connect()).await;
        let message = match connected {
            Ok(Ok(stream)) => return Ok(self.store_connection(stream)),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "connect timeout".to_owned(),
        };
        self.back_off();
        Err(message)
    }

    /// Whether a call that began at `called_at` may open a connection now. An attempt that failed
    /// while the call waited for its turn counts for it too.
    fn may_connect(&self, policy: ConnectPolicy, called_at: time::Instant) -> bool {
        let is_backing_off = self
            .retry_at
            .get()
            .is_some_and(|at| at > time::Instant::now());
        let failed_since = self.failed_at.get().is_some_and(|at| at >= called_at);
        match policy {
            ConnectPolicy::AfterBackoff => !is_backing_off,
            ConnectPolicy::AtOnce => !is_backing_off || !failed_since,
        }
    }

    /// Connects from the address that this daemon listens on, so that the addresses of a connection
    /// identify both daemons.
    async fn connect(&self) -> std::io::Result<tokio::net::TcpStream> {
        let socket = match self.address {
            net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
            net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if self.local_ip.is_ipv4() == self.address.is_ipv4() {
            socket.bind(net::SocketAddr::new(self.local_ip, 0))?;
        }
        let stream = socket.connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn store_connection(&self, stream: tokio::net::TcpStream) -> (peer::Client, u64) {
        let mut system = RpcSystem::new(network(stream, Side::Client), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let daemon = self.daemon.clone();
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = system.await {
                log::debug!("connection to daemon {daemon} ended: {error}");
            }
        });
        let generation = self.generation.get() + 1;
        self.generation.set(generation);
        self.open.replace(Some(OpenConnection {
            client: client.clone(),
            task,
            generation,
        }));
        (client, generation)
    }

    /// Closes the connection that a failed call used, unless a newer one has replaced it.
    fn close(&self, generation: u64) {
        let is_current = |open: &OpenConnection| open.generation == generation;
        if self.open.borrow().as_ref().is_some_and(is_current) {
            let closed = self.open.take();
            drop(closed);
            self.back_off();
        }
    }

    fn back_off(&self) {
        let failures = self.failures.get();
        let doubled_ms = INITIAL_BACKOFF_MS << failures.min(10);
        let delay_ms = rand::random_range(doubled_ms / 2..=doubled_ms).min(MAX_BACKOFF_MS);
        self.failures.set(failures + 1);
        let now = time::Instant::now();
        let retry_at = now + time::Duration::from_millis(delay_ms);
        self.failed_at.set(Some(now));
        self.retry_at.set(Some(retry_at));
    }
}
