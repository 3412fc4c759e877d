//! Compact records of what changes in an entry from turn to turn.

use acaciabank_protocol::ids;
use xxhash_rust::xxh3;

use super::{EntryVersion, MemberState, SuspectReport, TargetLoad};

/// Short form of a daemon's name between daemons.
pub fn daemon_hash(daemon: &ids::DaemonId) -> u32 {
    xxh3::xxh3_64(daemon.as_str().as_bytes()) as u32
}

/// Short form of a daemon's run. Another run with the same short form is ignored until its full
/// entry arrives.
pub fn short_boot(boot_id: u64) -> u16 {
    boot_id as u16
}

/// State and heartbeat of a daemon whose full entry the receiver knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Short form of the name.
    pub daemon: u32,
    /// Short form of the run.
    pub boot: u16,
    /// Heartbeat inside the run.
    pub sequence: u32,
    /// Phase.
    pub state: MemberState,
    /// Version of the configuration in force there.
    pub config_version: u32,
}

/// Loads of the targets that a daemon owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Short form of the name.
    pub daemon: u32,
    /// Short form of the run.
    pub boot: u16,
    /// Sequence number of the entry when the report was made.
    pub sequence: u32,
    /// Whether only targets whose state changed are listed.
    pub partial: bool,
    /// Loads.
    pub loads: Vec<TargetLoad>,
    /// Crash suspects.
    pub suspects: Vec<SuspectReport>,
}

/// Narrows a counter that cannot exceed the short form in a daemon's life.
pub(super) fn narrow(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Order that a short record stands for, when it belongs to the known run.
pub(super) fn version_in_run(
    known: EntryVersion,
    boot: u16,
    sequence: u32,
) -> Option<EntryVersion> {
    (short_boot(known.boot_id) == boot).then_some(EntryVersion {
        boot_id: known.boot_id,
        sequence: sequence.into(),
    })
}
