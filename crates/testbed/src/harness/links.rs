//! Control of the fault-injecting proxy and its links between the processes of a fleet.

use std::{io, net};

use super::{Fleet, Launcher, Process, wait_until};
use crate::{proxy, web};

/// Which connections are routed through the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxiedLinks {
    /// Connections of daemons to the table service, with one link per daemon.
    pub table: bool,
    /// Connections of daemons to targets, with one link per target.
    pub targets: bool,
    /// Connections between daemons, with one link per daemon that is connected to.
    pub peers: bool,
}

impl ProxiedLinks {
    /// Every connection that a daemon opens.
    pub const ALL: Self = Self {
        table: true,
        targets: true,
        peers: true,
    };

    /// Whether any connection is routed through the proxy.
    pub(super) fn any(self) -> bool {
        self.table || self.targets || self.peers
    }
}

/// The proxy process of a fleet and its control interface.
#[derive(Debug)]
pub struct LinkProxy {
    /// Address of the control interface.
    pub address: net::SocketAddr,
    /// Handle of the process.
    pub process: Process,
}

impl LinkProxy {
    /// Starts a proxy without links.
    ///
    /// # Errors
    ///
    /// Returns the error of starting the process.
    pub async fn start(launcher: &Launcher) -> io::Result<Self> {
        let address = launcher.next_address()?;
        let arguments = ["--listen".to_owned(), address.to_string()];
        let process = launcher.start_ready("proxy", "proxy", arguments).await?;
        Ok(Self { address, process })
    }

    /// Adds a link; returns the address at which it listens.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection, or an error with the status when it is not 200.
    pub async fn add(&self, name: &str, upstream: net::SocketAddr) -> io::Result<net::SocketAddr> {
        self.put(name, upstream, false).await
    }

    /// Adds a link that refuses connections while its upstream does; returns the address at which it
    /// listens.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`add`](Self::add).
    pub async fn add_refusing(
        &self,
        name: &str,
        upstream: net::SocketAddr,
    ) -> io::Result<net::SocketAddr> {
        self.put(name, upstream, true).await
    }

    async fn put(
        &self,
        name: &str,
        upstream: net::SocketAddr,
        refuses_with_upstream: bool,
    ) -> io::Result<net::SocketAddr> {
        let request = proxy::LinkRequest {
            listen: net::SocketAddr::new(self.address.ip(), 0),
            upstream,
            fault: proxy::LinkFault::default(),
            refuses_with_upstream,
        };
        let body = serde_json::to_vec(&request)?;
        let report = self.call("PUT", &format!("/links/{name}"), body).await?;
        Ok(serde_json::from_value(report["address"].clone())?)
    }

    /// Sets the fault of a link.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection, or an error with the status when it is not 200.
    pub async fn set_fault(&self, name: &str, fault: &proxy::LinkFault) -> io::Result<()> {
        let body = serde_json::to_vec(fault)?;
        let path = format!("/links/{name}/fault");
        self.call("POST", &path, body).await.map(drop)
    }

    /// Returns the state and counters of a link.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection, or an error with the status when it is not 200.
    pub async fn report(&self, name: &str) -> io::Result<serde_json::Value> {
        self.call("GET", &format!("/links/{name}"), Vec::new())
            .await
    }

    async fn call(&self, method: &str, path: &str, body: Vec<u8>) -> io::Result<serde_json::Value> {
        let response = web::call(self.address, method, path, &[], body).await?;
        match response.status {
            200 => Ok(response.json()),
            status => Err(io::Error::other(format!(
                "{method} {path}: unexpected status {status}, expected 200"
            ))),
        }
    }
}

/// Name of the link from a daemon to the table service.
pub fn table_link(daemon: usize) -> String {
    format!("table-{daemon}")
}

/// Name of the link from other daemons to a daemon.
pub fn peer_link(daemon: usize) -> String {
    format!("peer-{daemon}")
}

/// Name of the link from daemons to a target.
pub fn target_link(target: &str) -> String {
    format!("target-{target}")
}

impl Fleet {
    /// Returns the proxy of the fleet.
    ///
    /// # Panics
    ///
    /// Panics when the fleet was started without proxied links.
    pub fn proxy(&self) -> &LinkProxy {
        self.proxy
            .as_ref()
            .expect("the fleet was started with proxied links")
    }

    /// Starts a fault on a link; see [`table_link`], [`peer_link`] and [`target_link`].
    ///
    /// # Panics
    ///
    /// Panics when the proxy has no such link.
    pub async fn start_fault(&self, link: &str, kind: proxy::FaultKind) {
        let fault = proxy::LinkFault {
            kind,
            ..proxy::LinkFault::default()
        };
        self.set_fault(link, &fault).await;
    }

    /// Ends the fault of a link; the proxy then delivers the bytes that it held back.
    ///
    /// # Panics
    ///
    /// Panics when the proxy has no such link.
    pub async fn end_fault(&self, link: &str) {
        self.set_fault(link, &proxy::LinkFault::default()).await;
    }

    /// Sets the fault of a link with all its parameters, such as the length of a delay.
    ///
    /// # Panics
    ///
    /// Panics when the proxy has no such link.
    pub async fn set_fault(&self, link: &str, fault: &proxy::LinkFault) {
        let result = self.proxy().set_fault(link, fault).await;
        assert!(
            result.is_ok(),
            "cannot set {fault:?} on link {link}: {result:?}"
        );
    }

    /// Starts a fault on the connections that one daemon opens to another. It replaces an earlier
    /// fault of the link, which has only one at a time.
    ///
    /// # Panics
    ///
    /// Panics when the links between daemons are not proxied.
    pub async fn start_peer_fault(&self, from: usize, to: usize, kind: proxy::FaultKind) {
        let fault = proxy::LinkFault {
            kind,
            source: Some(self.daemons[from].peer_address.ip()),
            ..proxy::LinkFault::default()
        };
        self.set_fault(&peer_link(to), &fault).await;
    }

    /// Holds back all bytes that daemon `from` sends to daemon `to`, in requests and responses
    /// alike. The opposite direction still works.
    ///
    /// # Panics
    ///
    /// Panics when the links between daemons are not proxied.
    pub async fn start_one_way_partition(&self, from: usize, to: usize) {
        self.start_peer_fault(from, to, proxy::FaultKind::BlackholeUp)
            .await;
        self.start_peer_fault(to, from, proxy::FaultKind::BlackholeDown)
            .await;
    }

    /// Holds back all bytes between two daemons, in both directions.
    ///
    /// # Panics
    ///
    /// Panics when the links between daemons are not proxied.
    pub async fn start_partition(&self, one: usize, other: usize) {
        self.start_peer_fault(one, other, proxy::FaultKind::Blackhole)
            .await;
        self.start_peer_fault(other, one, proxy::FaultKind::Blackhole)
            .await;
    }

    /// Ends all faults on connections between two daemons.
    ///
    /// # Panics
    ///
    /// Panics when the links between daemons are not proxied.
    pub async fn end_partition(&self, one: usize, other: usize) {
        self.end_fault(&peer_link(one)).await;
        self.end_fault(&peer_link(other)).await;
    }

    /// Waits until the fault of a link holds back at least one byte.
    ///
    /// # Panics
    ///
    /// Panics when that does not happen within the timeout.
    pub async fn wait_bytes_held(&self, link: &str, timeout: std::time::Duration) {
        let description = format!("link {link} holds back bytes");
        wait_until(timeout, &description, async || {
            let report = self.proxy().report(link).await;
            report.is_ok_and(|report| report["bytes_held"].as_u64() > Some(0))
        })
        .await;
    }
}
