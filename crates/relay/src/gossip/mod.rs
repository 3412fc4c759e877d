//! Reports that daemons send each other in UDP datagrams without acknowledgement.
//!
//! Each report replaces the sender's earlier ones, so a lost datagram delays changes by one
//! interval. A report contains addresses of other daemons, so that one contact suffices to join.

mod leaving;
mod table;
mod task;

pub use leaving::LeavingEntry;
pub use table::PeerTable;
pub use task::{announce, receive, run};

use std::net;

use acaciabank_core::{
    placement::EngineStage, prompt_backlog::PromptBacklog, store_version::StoreVersion,
    suspect::SuspectReport, usage,
};
use serde::{Deserialize, Serialize};

use crate::{capacity, config, platform, rate_limit, versions};

/// Load that the sender's requests cause at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// Hash of the target.
    pub target_hash: u64,
    /// Requests that run there.
    pub running: u32,
    /// Prompts that are not processed yet.
    pub backlog: PromptBacklog,
    /// Time that pending transfers of KV cache to the target are expected to take.
    pub transfer_ms: u32,
}

/// A prompt part that was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEntry {
    /// Hash of the engine.
    pub target_hash: u64,
    /// Hash of the part's model and id.
    pub key: u64,
    /// Length of the part.
    pub tokens: u32,
    /// Time after which the engine is expected to have processed it.
    pub ready_in_ms: u32,
}

/// An engine that changes its stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageChangeEntry {
    /// Hash of the engine.
    pub target_hash: u64,
    /// Time after which the engine is expected to be available again.
    pub remaining_ms: u32,
    /// Stage that was ordered, and the time in milliseconds for which it overrides the listed
    /// stage.
    pub ordered: Option<(EngineStage, u32)>,
}

/// Counts of a settled window, from the daemon that holds the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledEntry {
    /// Number of the window.
    pub window: u64,
    /// Requests by the hash of the team's name.
    pub counts: Vec<(u64, u64)>,
}

/// What a daemon reports about usage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageShare {
    /// The sender's time of day in Unix milliseconds.
    pub unix_ms: u64,
    /// First window that is not settled, if the sender holds the lease.
    pub settled_before: Option<u64>,
    /// The sender's counts, for schedulers, their standbys and the holder of the lease.
    pub counts: Option<usage::DaemonCounts>,
    /// A settled window, for the same receivers.
    pub settled: Option<SettledEntry>,
}

/// State of one daemon at the time of sending.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerReport {
    /// Name of the daemon.
    pub host: String,
    /// Random number that distinguishes runs of a daemon.
    pub boot_id: u64,
    /// Sequence number of the report within the run.
    pub sequence: u64,
    /// Address that serves other daemons.
    pub peer_address: net::SocketAddr,
    /// Address that serves callers.
    pub caller_address: net::SocketAddr,
    /// Whether callers may be given `caller_address`.
    pub is_ready: bool,
    /// Whether the daemon is shutting down.
    pub is_draining: bool,
    /// Work that the sender's callers have caused since its start, for the orders of engines.
    pub service_loads: Vec<capacity::ServiceLoadEntry>,
    /// Whether the daemon holds the lease.
    pub is_lease_holder: bool,
    /// Configuration that the daemon uses.
    pub config_version: config::ConfigVersion,
    /// Age of the sender's last read of the configuration in the store.
    pub config_age_ms: Option<u64>,
    /// Age of the sender's last read of the targets in the store; `None` if the report does not
    /// contain all recent changes.
    pub targets_age_ms: Option<u64>,
    /// Recent changes of targets.
    pub target_changes: platform::TargetChanges,
    /// Targets that have stated that they leave.
    pub leaving: Vec<LeavingEntry>,
    /// What targets have stated to the sender about their rate limits.
    pub limits: Vec<rate_limit::LimitEntry>,
    /// Bases of services; `None` if the sender does not know those in the store.
    pub bases: Option<Vec<versions::BaseEntry>>,
    /// Version of the store after which `target_changes` are complete.
    pub changes_after: StoreVersion,
    /// Usage, in deployments that report it.
    pub usage: Option<UsageShare>,
    /// Loads that the daemon's requests cause at targets.
    pub loads: Vec<LoadEntry>,
    /// Engines whose stage is being changed or differs from the listed one.
    pub stage_changes: Vec<StageChangeEntry>,
    /// Prompt parts that it has sent to engines since its last report.
    pub parts: Vec<PartEntry>,
    /// Crash suspects: the most recent crashes and some older ones.
    pub suspects: SuspectReport,
    /// Hash of the daemon's availability zone, used only to compare zones.
    pub zone_hash: u64,
    /// Processor capacity of the host, in thousandths of a core.
    pub capacity_millicores: u32,
    /// Uptime of the daemon.
    pub age_ms: u64,
    /// Time until its next report to the same receivers.
    pub interval_ms: u32,
    /// Addresses of some other daemons that the sender knows.
    pub known: Vec<net::SocketAddr>,
}
