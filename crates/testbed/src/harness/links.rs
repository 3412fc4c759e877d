//! Links of a fleet that run through the fault-injecting proxy.

use std::{io, net};

use super::{Fleet, Launcher, Process, wait_until};
use crate::{proxy, web};

/// Which connections run through the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxiedLinks {
    /// From each daemon to the table service, one link for each daemon.
    pub table: bool,
    /// From all daemons to a target, one link for each target.
    pub targets: bool,
    /// From all other daemons to a daemon, one link for each called daemon.
    pub peers: bool,
}

impl ProxiedLinks {
    /// All connections of daemons.
    pub const ALL: Self = Self {
        table: true,
        targets: true,
        peers: true,
    };

    pub(super) fn any(self) -> bool {
        self.table || self.targets || self.peers
    }
}

/// The proxy process of a fleet and its control interface.
#[derive(Debug)]
pub struct LinkProxy {
    /// Control address.
    pub address: net::SocketAddr,
    /// Process.
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
    /// Returns the error of the connection or the message of a refusal.
    pub async fn add(&self, name: &str, upstream: net::SocketAddr) -> io::Result<net::SocketAddr> {
        let request = proxy::LinkRequest {
            listen: net::SocketAddr::new(self.address.ip(), 0),
            upstream,
            fault: proxy::LinkFault::default(),
        };
        let body = serde_json::to_vec(&request)?;
        let report = self.call("PUT", &format!("/links/{name}"), body).await?;
        Ok(serde_json::from_value(report["address"].clone())?)
    }

    /// Sets the fault of a link.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection or the message of a refusal.
    pub async fn set_fault(&self, name: &str, fault: &proxy::LinkFault) -> io::Result<()> {
        let body = serde_json::to_vec(fault)?;
        let path = format!("/links/{name}/fault");
        self.call("POST", &path, body).await.map(drop)
    }

    /// State and counters of a link.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection or the message of a refusal.
    pub async fn report(&self, name: &str) -> io::Result<serde_json::Value> {
        self.call("GET", &format!("/links/{name}"), Vec::new())
            .await
    }

    async fn call(&self, method: &str, path: &str, body: Vec<u8>) -> io::Result<serde_json::Value> {
        let answer = web::call(self.address, method, path, &[], body).await?;
        match answer.status {
            200 => Ok(answer.json()),
            status => Err(io::Error::other(format!("{path}: {status}"))),
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
    /// The proxy.
    ///
    /// # Panics
    ///
    /// Panics when the fleet was started without proxied links.
    pub fn proxy(&self) -> &LinkProxy {
        self.proxy.as_ref().expect("a fleet with proxied links")
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

    /// Ends the fault of a link; held bytes are delivered.
    ///
    /// # Panics
    ///
    /// Panics when the proxy has no such link.
    pub async fn end_fault(&self, link: &str) {
        self.set_fault(link, &proxy::LinkFault::default()).await;
    }

    /// Sets any fault on a link, such as a delay.
    ///
    /// # Panics
    ///
    /// Panics when the proxy has no such link.
    pub async fn set_fault(&self, link: &str, fault: &proxy::LinkFault) {
        let result = self.proxy().set_fault(link, fault).await;
        assert!(result.is_ok(), "fault on link {link}: {result:?}");
    }

    /// Starts a fault on the connections that one daemon opens to another. A link has one fault at a
    /// time.
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

    /// Holds all bytes between daemons that go from one to the other, requests and answers alike;
    /// the opposite direction is open.
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

    /// Holds all bytes between two daemons.
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

    /// Waits until a fault holds bytes of a link.
    ///
    /// # Panics
    ///
    /// Panics when the condition does not come true within the limit.
    pub async fn wait_bytes_held(&self, link: &str, limit: std::time::Duration) {
        let description = format!("link {link} holds bytes");
        wait_until(limit, &description, async || {
            let report = self.proxy().report(link).await;
            report.is_ok_and(|report| report["bytes_held"].as_u64() > Some(0))
        })
        .await;
    }
}
