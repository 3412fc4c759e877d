//! The entry that a daemon publishes about itself.

use std::net;

use acaciabank_protocol::ids;

use crate::suspect;

/// State that a daemon announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Has no configuration yet.
    Joining,
    /// Serves requests.
    Ready,
    /// Finishes its requests before shutting down.
    Draining,
    /// Has announced that it leaves.
    Left,
}

/// Summary of a target's load, published by the target's owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Hash of the target's name.
    pub target_hash: u32,
    /// Age of the target's own report when the entry was created or received, in milliseconds.
    pub age_ms: u32,
    /// Number of running requests.
    pub running: u16,
    /// Number of waiting requests.
    pub waiting: u16,
    /// Prompt tokens that wait for prefill.
    pub waiting_prefill_tokens: u32,
    /// Number of requests in the decode phase.
    pub running_decode: u16,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Bit 0: reachable. Bit 1: switching. Bits 2-3: role (0 mixed, 1 prefill, 2 decode). Bit 4:
    /// drained for an order. Bit 5: only the flags are valid, the sender does not own the target.
    pub flags: u8,
    /// Number of state changes of this target that the owner has counted.
    pub state_sequence: u32,
}

/// Version of a daemon's entry, compared by run and then by heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryVersion {
    /// Identifies the run of the daemon; a later run must have a higher id.
    pub boot_id: u64,
    /// Sequence number of the heartbeat in the run.
    pub sequence: u64,
}

/// What a daemon publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Name of the daemon, unique in the fleet.
    pub daemon: ids::DaemonId,
    /// Region of the daemon.
    pub region: ids::RegionId,
    /// Availability zone of the daemon.
    pub zone: ids::ZoneId,
    /// Run and heartbeat of this entry.
    pub version: EntryVersion,
    /// State that the daemon announces.
    pub state: MemberState,
    /// Address that serves callers.
    pub caller_address: net::SocketAddr,
    /// Address that serves other daemons.
    pub peer_address: net::SocketAddr,
    /// Version of the configuration that the daemon uses.
    pub config_version: u64,
    /// Loads of the targets that the daemon owns.
    pub loads: Vec<TargetLoad>,
    /// Crash suspects known to the daemon, see [`suspect::SuspectTable`].
    pub suspects: suspect::SuspectReport,
}

impl MemberEntry {
    /// Whether another entry of the same daemon differs in more than heartbeat, loads and suspects.
    pub fn differs_from(&self, other: &MemberEntry) -> bool {
        self.version.boot_id != other.version.boot_id
            || self.state != other.state
            || self.config_version != other.config_version
            || self.caller_address != other.caller_address
            || self.peer_address != other.peer_address
            || self.region != other.region
            || self.zone != other.zone
    }
}
