//! The outgoing connection to one other daemon.

use std::{cell, collections, net, rc::Rc, time};

use acaciabank_protocol::{ids, peer_capnp::peer, settings};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use futures::{AsyncReadExt, io};
use tokio::{net::TcpSocket, task::JoinHandle};
use tokio_util::compat::TokioAsyncReadCompatExt;

use super::meter;

/// Pause after the first failure; doubles with each further one up to the second constant, which
/// bounds the time until a daemon that returns is reached again.
const FIRST_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 1_600;

/// Reads and writes of the RPC system go through buffers of this size; without them every message
/// takes several system calls.
const BUFFER_BYTES: usize = 8 << 10;

/// Time limit of a call that does not wait at the callee.
pub(super) const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Turns a connection into an RPC network.
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

/// Connection to one daemon, opened on demand.
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
    gossiping: cell::Cell<bool>,
    /// Targets whose cache changes did not arrive there.
    pub(super) lost_pieces: cell::RefCell<collections::BTreeSet<u32>>,
}

/// Marks a link as busy with gossip; a second round is not queued behind a slow one.
pub(super) struct GossipPermit(Rc<PeerLink>);

impl Drop for GossipPermit {
    fn drop(&mut self) {
        self.0.gossiping.set(false);
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
            gossiping: cell::Cell::new(false),
            lost_pieces: cell::RefCell::default(),
        }
    }

    pub(super) fn start_gossip(self: &Rc<Self>) -> Option<GossipPermit> {
        match self.gossiping.replace(true) {
            true => None,
            false => Some(GossipPermit(Rc::clone(self))),
        }
    }

    /// Makes one call; a failure or a missing answer drops the connection.
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
        let (client, generation) = self.client().await?;
        meter::count_message(method);
        let text = match tokio::time::timeout(timeout, make_call(client)).await {
            Ok(Ok(value)) => {
                self.failures.set(0);
                return Ok(value);
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer to {method} within {timeout:?}"),
        };
        self.close(generation);
        Err(text)
    }

    async fn client(&self) -> Result<(peer::Client, u64), String> {
        let _turn = self.connecting.lock().await;
        if let Some(open) = self.open.borrow().as_ref()
            && !open.task.is_finished()
        {
            return Ok((open.client.clone(), open.generation));
        }
        if self
            .retry_at
            .get()
            .is_some_and(|at| at > time::Instant::now())
        {
            return Err("waiting before another try to connect".to_owned());
        }
        let connected = tokio::time::timeout(self.connect_timeout, self.connect()).await;
        let text = match connected {
            Ok(Ok(stream)) => return Ok(self.keep(stream)),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "connect timeout".to_owned(),
        };
        self.back_off();
        Err(text)
    }

    /// Connects from this daemon's own address, so that the path between two daemons can be told
    /// from the addresses.
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

    fn keep(&self, stream: tokio::net::TcpStream) -> (peer::Client, u64) {
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

    /// Drops the connection that a failed call used; a newer one stays.
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
        let doubled = FIRST_BACKOFF_MS << failures.min(10);
        let pause_ms = rand::random_range(doubled / 2..=doubled).min(MAX_BACKOFF_MS);
        self.failures.set(failures + 1);
        let retry_at = time::Instant::now() + time::Duration::from_millis(pause_ms);
        self.retry_at.set(Some(retry_at));
    }
}
