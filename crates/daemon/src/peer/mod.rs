//! Other daemons: gossip, membership and calls over Cap'n Proto RPC.

mod client;
mod convert;
mod digest;
mod gossip;
mod link;
mod loads;
mod members;
mod meter;
mod node;
mod pieces;
mod regions;
mod server;

use std::{collections, net, sync, time};

use acaciabank_core::member;
use acaciabank_protocol::ids;
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use crate::{config, dispatch, process};

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
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
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

/// State of a key at the daemon that coordinates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoteKeyState {
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

/// Configurations that other daemons answered with.
#[derive(Debug, Default)]
pub struct FetchedConfigs {
    /// Daemons that answered.
    pub response_count: usize,
    /// The highest version among the answers.
    pub highest: Option<config::ConfigVersion>,
}

/// What other threads ask of the RPC thread.
enum Command {
    Announce,
    AnnounceAndReply {
        reply: oneshot::Sender<()>,
    },
    FetchResponse {
        daemon: ids::DaemonId,
        request: ids::RequestId,
        team: ids::TeamId,
        reply: oneshot::Sender<Result<dispatch::BufferedResponse, PeerError>>,
    },
    AwaitKey {
        daemon: ids::DaemonId,
        team: ids::TeamId,
        key: String,
        wait_ms: u32,
        reply: oneshot::Sender<Result<RemoteKeyState, PeerError>>,
    },
    FetchConfigs {
        above: u64,
        reply: oneshot::Sender<FetchedConfigs>,
    },
}

#[derive(Debug)]
struct StartedPeer {
    daemon: ids::DaemonId,
    commands: mpsc::UnboundedSender<Command>,
}

/// Access to membership and to calls; cheap to read on the request path.
#[derive(Debug, Default)]
pub struct PeerHandle {
    members: ArcSwap<Vec<MemberView>>,
    ownership: ArcSwap<collections::HashMap<ids::TargetId, bool>>,
    started: sync::OnceLock<StartedPeer>,
}

impl PeerHandle {
    /// Members, by name.
    pub fn members(&self) -> sync::Arc<Vec<MemberView>> {
        self.members.load_full()
    }

    /// Whether this daemon polls the given target: rendezvous hashing over the ready members of
    /// its region. While none is ready, the joining daemon itself counts. Without a started RPC
    /// thread there are no other daemons. Targets of other regions have their owners there.
    pub fn owns(&self, target: &ids::TargetId) -> bool {
        let Some(started) = self.started.get() else {
            return true;
        };
        if let Some(is_owned) = self.ownership.load().get(target) {
            return *is_owned;
        }
        self.compute_owner(started, target)
    }

    /// Computes the owners of all targets anew, because members or targets changed. Each owner
    /// costs a hash for each member, too much for every poll.
    fn refresh_ownership(&self, local: &[ids::TargetId], elsewhere: &[ids::TargetId]) {
        let Some(started) = self.started.get() else {
            return;
        };
        let local = local
            .iter()
            .map(|target| (target.clone(), self.compute_owner(started, target)));
        let elsewhere = elsewhere.iter().map(|target| (target.clone(), false));
        let ownership = local.chain(elsewhere).collect();
        self.ownership.store(sync::Arc::new(ownership));
    }

    fn compute_owner(&self, started: &StartedPeer, target: &ids::TargetId) -> bool {
        let members = self.members.load();
        let own = members
            .iter()
            .find(|member| member.daemon == started.daemon);
        let Some(own) = own else {
            return false;
        };
        let ready = members
            .iter()
            .filter(|member| member.condition == MemberCondition::Ready)
            .filter(|member| member.region == own.region)
            .map(|member| &member.daemon);
        match member::owner_of(target, ready) {
            Some(owner) => owner == &own.daemon,
            None => own.condition == MemberCondition::Joining,
        }
    }

    /// Sends this daemon's entry at once, because its phase or configuration changed.
    pub fn announce(&self) {
        self.command(Command::Announce);
    }

    /// Sends this daemon's entry at once and waits until the daemons that it was sent to have it, at
    /// most for `limit`.
    pub async fn announce_and_wait(&self, limit: time::Duration) {
        let (reply, done) = oneshot::channel();
        self.command(Command::AnnounceAndReply { reply });
        // A daemon that does not answer in time gets the entry by a later round.
        let _ = tokio::time::timeout(limit, done).await;
    }

    /// Asks a daemon for the answer of a request that it ran.
    ///
    /// # Errors
    ///
    /// See [`PeerError`].
    pub async fn fetch_response(
        &self,
        daemon: &ids::DaemonId,
        request: &ids::RequestId,
        team: &ids::TeamId,
    ) -> Result<dispatch::BufferedResponse, PeerError> {
        let (reply, answer) = oneshot::channel();
        self.command(Command::FetchResponse {
            daemon: daemon.clone(),
            request: request.clone(),
            team: team.clone(),
            reply,
        });
        answer.await.unwrap_or_else(|_| Err(not_running(daemon)))
    }

    /// Asks a daemon for the state of a key that it coordinates; waits at most `wait_ms` there.
    ///
    /// # Errors
    ///
    /// See [`PeerError`].
    pub async fn await_key(
        &self,
        daemon: &ids::DaemonId,
        team: &ids::TeamId,
        key: &str,
        wait_ms: u32,
    ) -> Result<RemoteKeyState, PeerError> {
        let (reply, answer) = oneshot::channel();
        self.command(Command::AwaitKey {
            daemon: daemon.clone(),
            team: team.clone(),
            key: key.to_owned(),
            wait_ms,
            reply,
        });
        answer.await.unwrap_or_else(|_| Err(not_running(daemon)))
    }

    /// Asks every known daemon for its configuration when that is above `above`; ends within the
    /// time limit of one call.
    pub async fn fetch_configs(&self, above: u64) -> FetchedConfigs {
        let (reply, answer) = oneshot::channel();
        self.command(Command::FetchConfigs { above, reply });
        answer.await.unwrap_or_default()
    }

    fn command(&self, command: Command) {
        if let Some(started) = self.started.get() {
            // The RPC thread ends with the process; its absence drops the reply channel.
            let _ = started.commands.send(command);
        }
    }
}

fn not_running(daemon: &ids::DaemonId) -> PeerError {
    PeerError::Unreachable(daemon.clone(), "the RPC thread does not run".to_owned())
}

/// Starts the thread of the RPC system: listener, gossip, failure detection. `listener` is already
/// bound. Ends when the process leaves. Must be called once, from the main runtime, which runs the
/// waits that other daemons ask for.
pub fn start(state: process::SharedState, listener: std::net::TcpListener) {
    let (commands, queue) = mpsc::unbounded_channel();
    let started = StartedPeer {
        daemon: state.settings.daemon.clone(),
        commands,
    };
    if state.peers.started.set(started).is_err() {
        log::error!("the RPC thread was started twice");
        return;
    }
    let main = tokio::runtime::Handle::current();
    let spawned = std::thread::Builder::new()
        .name("peer".to_owned())
        .spawn(move || node::run_thread(state, main, listener, queue));
    if let Err(error) = spawned {
        log::error!("cannot start the RPC thread: {error}");
    }
}
