//! Membership, gossip and calls between daemons, over Cap'n Proto RPC.

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
mod turns;

use std::{collections, net, sync, time};

use acaciabank_core::member;
use acaciabank_protocol::ids;
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use crate::{config, dispatch, process};

/// Condition of a daemon as seen by this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberCondition {
    /// Alive, but without a configuration yet.
    Joining,
    /// Alive and serving.
    Ready,
    /// Shutting down; not offered to new callers.
    Draining,
    /// Not heard from for some time; removed if it remains silent.
    Suspect,
}

/// A daemon as seen by this daemon, which is itself among the members.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct MemberView {
    /// Name of the daemon.
    pub daemon: ids::DaemonId,
    /// Region of the daemon.
    pub region: ids::RegionId,
    /// Availability zone of the daemon.
    pub zone: ids::ZoneId,
    /// Identifies one process run; it differs after a restart.
    pub boot_id: u64,
    /// Condition, derived from the daemon's reported state and its liveness.
    pub condition: MemberCondition,
    /// Address that callers connect to.
    pub caller_address: net::SocketAddr,
    /// Address that other daemons connect to.
    pub peer_address: net::SocketAddr,
    /// Version of the configuration in force at the daemon.
    pub config_version: u64,
}

/// State of an idempotency key at the daemon that coordinates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoteKeyState {
    /// The daemon does not know the key.
    Unknown,
    /// The key's request was still running when the wait ended.
    Running,
    /// The request has ended, and its outcome is in the table.
    Finished,
}

/// Question to the other daemons whether a request that is a crash suspect may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnQuestion {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Logical clock of its turn.
    pub clock: u64,
    /// Hashes of the pieces of its prompt that are suspected.
    pub pieces: Vec<u64>,
}

/// Reason why a call to another daemon failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No member or seed has this name.
    #[error("unknown daemon {0}")]
    UnknownDaemon(ids::DaemonId),
    /// The connection or the call failed or timed out.
    #[error("daemon {0} does not answer: {1}")]
    Unreachable(ids::DaemonId, String),
}

/// Result of asking the other daemons for a newer configuration.
#[derive(Debug, Default)]
pub struct FetchedConfigs {
    /// Number of daemons that responded.
    pub response_count: usize,
    /// Configuration with the highest version among the responses.
    pub highest: Option<config::ConfigVersion>,
}

/// Commands of other threads to the RPC thread.
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
    AskForTurn {
        question: TurnQuestion,
        reply: oneshot::Sender<bool>,
    },
    FetchConfigs {
        above: u64,
        reply: oneshot::Sender<FetchedConfigs>,
    },
}

/// The started RPC thread.
#[derive(Debug)]
struct PeerThread {
    daemon: ids::DaemonId,
    commands: mpsc::UnboundedSender<Command>,
}

/// Access to the members and to calls to them. Reading members is cheap enough for the request
/// path.
#[derive(Debug, Default)]
pub struct PeerHandle {
    members: ArcSwap<Vec<MemberView>>,
    /// Whether this daemon polls a target, for the targets of the last refresh.
    ownership: ArcSwap<collections::HashMap<ids::TargetId, bool>>,
    thread: sync::OnceLock<PeerThread>,
}

impl PeerHandle {
    /// Returns the members, sorted by name.
    pub fn members(&self) -> sync::Arc<Vec<MemberView>> {
        self.members.load_full()
    }

    /// Returns whether this daemon polls the given target. The owner is chosen by rendezvous
    /// hashing over the ready members of this daemon's region; targets of other regions are polled
    /// there. While no member is ready, a joining daemon owns every target of its region. Without a
    /// started RPC thread there are no other daemons, and this one owns every target.
    pub fn owns(&self, target: &ids::TargetId) -> bool {
        let Some(thread) = self.thread.get() else {
            return true;
        };
        if let Some(is_owned) = self.ownership.load().get(target) {
            return *is_owned;
        }
        self.compute_ownership(thread, target)
    }

    /// Recomputes the ownership of all targets after a change of members or targets. It is cached
    /// because it takes a hash for each member and target, too much for every poll.
    fn refresh_ownership(&self, local: &[ids::TargetId], remote: &[ids::TargetId]) {
        let Some(thread) = self.thread.get() else {
            return;
        };
        let local = local
            .iter()
            .map(|target| (target.clone(), self.compute_ownership(thread, target)));
        let remote = remote.iter().map(|target| (target.clone(), false));
        let ownership = local.chain(remote).collect();
        self.ownership.store(sync::Arc::new(ownership));
    }

    fn compute_ownership(&self, thread: &PeerThread, target: &ids::TargetId) -> bool {
        let members = self.members.load();
        let own = members.iter().find(|member| member.daemon == thread.daemon);
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

    /// Sends this daemon's entry at once, after a change of its phase, configuration or targets.
    pub fn announce(&self) {
        self.send_command(Command::Announce);
    }

    /// Sends this daemon's entry at once and waits until the daemons that it was sent to have
    /// received it, or until `timeout` ends.
    pub async fn announce_and_wait(&self, timeout: time::Duration) {
        let (reply, done) = oneshot::channel();
        self.send_command(Command::AnnounceAndReply { reply });
        // Daemons that do not respond in time receive the entry in a later round.
        let _ = tokio::time::timeout(timeout, done).await;
    }

    /// Fetches the response to a request that another daemon ran.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::UnknownDaemon`] if the daemon is neither a member nor a seed, and
    /// [`PeerError::Unreachable`] if the call fails.
    pub async fn fetch_response(
        &self,
        daemon: &ids::DaemonId,
        request: &ids::RequestId,
        team: &ids::TeamId,
    ) -> Result<dispatch::BufferedResponse, PeerError> {
        let (reply, response) = oneshot::channel();
        self.send_command(Command::FetchResponse {
            daemon: daemon.clone(),
            request: request.clone(),
            team: team.clone(),
            reply,
        });
        response.await.unwrap_or_else(|_| Err(not_running(daemon)))
    }

    /// Fetches the state of a key that another daemon coordinates. That daemon waits up to
    /// `wait_ms` for the key's request to end.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::UnknownDaemon`] if the daemon is neither a member nor a seed, and
    /// [`PeerError::Unreachable`] if the call fails.
    pub async fn await_key(
        &self,
        daemon: &ids::DaemonId,
        team: &ids::TeamId,
        key: &str,
        wait_ms: u32,
    ) -> Result<RemoteKeyState, PeerError> {
        let (reply, response) = oneshot::channel();
        self.send_command(Command::AwaitKey {
            daemon: daemon.clone(),
            team: team.clone(),
            key: key.to_owned(),
            wait_ms,
            reply,
        });
        response.await.unwrap_or_else(|_| Err(not_running(daemon)))
    }

    /// Asks the daemons of this region whether a request that is a crash suspect may run. Returns
    /// whether one of them holds it back; daemons that do not answer in time do not. Crashes of the
    /// fingerprint and of the pieces become known on both sides.
    pub async fn ask_for_turn(&self, question: TurnQuestion) -> bool {
        let (reply, response) = oneshot::channel();
        self.send_command(Command::AskForTurn { question, reply });
        response.await.unwrap_or(false)
    }

    /// Asks every known daemon for its configuration if the version is above `above`. Ends within
    /// twice the timeout of one call.
    pub async fn fetch_configs(&self, above: u64) -> FetchedConfigs {
        let (reply, response) = oneshot::channel();
        self.send_command(Command::FetchConfigs { above, reply });
        response.await.unwrap_or_default()
    }

    fn send_command(&self, command: Command) {
        if let Some(thread) = self.thread.get() {
            // If the RPC thread has ended, the command is dropped with its reply channel.
            let _ = thread.commands.send(command);
        }
    }
}

fn not_running(daemon: &ids::DaemonId) -> PeerError {
    PeerError::Unreachable(daemon.clone(), "the RPC thread does not run".to_owned())
}

/// Starts the RPC thread, which serves `listener`, gossips and detects failures until the process
/// leaves. Must be called once, from the main runtime, which runs the waits that other daemons
/// request.
pub fn start(state: process::SharedState, listener: std::net::TcpListener) {
    let (commands, queue) = mpsc::unbounded_channel();
    let thread = PeerThread {
        daemon: state.settings.daemon.clone(),
        commands,
    };
    if state.peers.thread.set(thread).is_err() {
        log::error!("the RPC thread was started twice");
        return;
    }
    let main_runtime = tokio::runtime::Handle::current();
    let spawned = std::thread::Builder::new()
        .name("peer".to_owned())
        .spawn(move || node::run_thread(state, main_runtime, listener, queue));
    if let Err(error) = spawned {
        log::error!("cannot start the RPC thread: {error}");
    }
}
