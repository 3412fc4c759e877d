//! The entry that a daemon publishes about itself.

use std::net;

use acaciabank_protocol::ids;

/// Phase of a daemon as it states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// No configuration yet.
    Joining,
    /// Serving.
    Ready,
    /// Shutting down.
    Draining,
    /// Gone by its own word.
    Left,
}

/// Summary of a target's load, published by the target's owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Short form of the target's name.
    pub target: u32,
    /// Age of the target's own report when the entry was received or made, in milliseconds.
    pub age_ms: u32,
    /// Requests running.
    pub running: u16,
    /// Requests waiting.
    pub waiting: u16,
    /// Prompt tokens waiting for prefill.
    pub waiting_prefill_tokens: u32,
    /// Requests in the decode phase.
    pub running_decode: u16,
    /// Concurrent requests at most.
    pub slots: u16,
    /// Bit 0: reachable. Bit 1: switching. Bits 2-3: role (0 mixed, 1 prefill, 2 decode).
    pub flags: u8,
    /// Owner's count of state changes of this target.
    pub state_sequence: u32,
}

/// A request's fingerprint that was running when targets crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectReport {
    /// Fingerprint.
    pub fingerprint: u64,
    /// Short form of the crashed target's name.
    pub target: u32,
    /// Age of the crash when the entry was received or made, in milliseconds.
    pub age_ms: u32,
}

/// Order of a daemon's entries: runs of the daemon first, heartbeats of one run second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryVersion {
    /// Run of the daemon; a later run must have a higher id.
    pub boot_id: u64,
    /// Heartbeat inside the run.
    pub sequence: u64,
}

/// What a daemon publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Name.
    pub daemon: ids::DaemonId,
    /// Region.
    pub region: ids::RegionId,
    /// Availability zone.
    pub zone: ids::ZoneId,
    /// Run and heartbeat.
    pub version: EntryVersion,
    /// Phase.
    pub state: MemberState,
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Address for daemons.
    pub peer_address: net::SocketAddr,
    /// Version of the configuration in force there.
    pub config_version: u64,
    /// Loads of the targets that it owns.
    pub loads: Vec<TargetLoad>,
    /// Crash suspects that it has seen.
    pub suspects: Vec<SuspectReport>,
}

impl MemberEntry {
    /// Whether another entry of the daemon differs in more than its heartbeat and loads.
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
