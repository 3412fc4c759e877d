//! What daemons tell each other, in datagrams without acknowledgement.
//!
//! Each report replaces the sender's earlier ones, so a lost datagram delays news by one interval.
//! A report names every daemon that its sender knows, so that one contact suffices to join.

mod table;
mod task;

pub use table::PeerTable;
pub use task::{announce, run};

use std::net;

use acaciabank_core::place::EngineStage;
use serde::{Deserialize, Serialize};

use crate::edge;

/// Load that one daemon causes at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// Short name of the target.
    pub target: u64,
    /// Requests that run there.
    pub running: u32,
    /// Prompt tokens that are not processed yet.
    pub backlog: u32,
    /// Time that transfers of KV cache to it are expected to take.
    pub transfer_ms: u32,
}

/// A prompt part that an engine has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEntry {
    /// Short name of the engine.
    pub target: u64,
    /// Hash of its model and id.
    pub key: u64,
    /// Tokens of the part.
    pub tokens: u32,
    /// Time after which it is expected to be processed.
    pub ready_in_ms: u32,
}

/// An engine that changes its stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageChangeEntry {
    /// Short name of the engine.
    pub target: u64,
    /// Time after which it is expected back.
    pub remaining_ms: u32,
    /// Stage that was ordered, and the time for which it holds whatever the platform lists.
    pub ordered: Option<(EngineStage, u32)>,
}

/// A crash suspect, as `acaciabank_core::suspect` describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Short name of the crashed target.
    pub target: u32,
    /// Time since the crash.
    pub age_ms: u64,
}

/// State of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerReport {
    /// Name of the daemon.
    pub host: String,
    /// Distinguishes runs of a daemon; a later run has a higher one.
    pub boot_id: u64,
    /// Number of the report within the run.
    pub sequence: u64,
    /// Address for other daemons.
    pub peer_address: net::SocketAddr,
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Whether callers may be sent there.
    pub is_ready: bool,
    /// Whether the daemon is about to end.
    pub is_leaving: bool,
    /// Version of the configuration in force there.
    pub config_version: u64,
    /// Age of what the sender has read itself of the configuration in the store.
    pub config_age_ms: Option<u64>,
    /// Age of what the sender has read itself of the targets in the store, unless the report does
    /// not hold all recent changes.
    pub targets_age_ms: Option<u64>,
    /// Recent changes of targets.
    pub target_changes: edge::TargetChanges,
    /// Version of the store after which these are complete.
    pub changes_after: u64,
    /// Loads that the daemon causes.
    pub loads: Vec<LoadEntry>,
    /// Engines that it has ordered to change their stage.
    pub stage_changes: Vec<StageChangeEntry>,
    /// Prompt parts that it has sent to engines since its last report.
    pub parts: Vec<PartEntry>,
    /// Crash suspects that it knows.
    pub suspects: Vec<SuspectEntry>,
    /// Its availability zone, as a number that only serves to compare.
    pub zone: u64,
    /// Processor time of its host, in thousandths of a core.
    pub capacity_millicores: u32,
    /// Time since its start.
    pub age_ms: u64,
    /// Time until its next report to the same receivers.
    pub interval_ms: u32,
    /// Addresses of some other daemons that it knows.
    pub known: Vec<net::SocketAddr>,
}
