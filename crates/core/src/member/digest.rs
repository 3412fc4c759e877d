//! Compact records of the parts of a member's entry that change from tick to tick.

use acaciabank_protocol::ids;
use xxhash_rust::xxh3;

use super::{EntryVersion, MemberState, TargetLoad};
use crate::suspect;

/// Hash that identifies a daemon in messages between daemons.
pub fn daemon_hash(daemon: &ids::DaemonId) -> u32 {
    xxh3::xxh3_64(daemon.as_str().as_bytes()) as u32
}

/// Truncates a boot id for messages between daemons. Another run with the same truncated id is
/// ignored until its full entry arrives.
pub fn short_boot_id(boot_id: u64) -> u16 {
    boot_id as u16
}

/// Heartbeat and state of a daemon whose full entry the receiver already has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Hash of the daemon's name, see [`daemon_hash`].
    pub daemon_hash: u32,
    /// Truncated boot id, see [`short_boot_id`].
    pub short_boot_id: u16,
    /// Sequence number of the heartbeat in its run.
    pub sequence: u32,
    /// State that the daemon announces.
    pub state: MemberState,
    /// Version of the configuration that the daemon uses.
    pub config_version: u32,
}

/// Loads of the targets that a daemon owns, and its crash suspects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Hash of the daemon's name, see [`daemon_hash`].
    pub daemon_hash: u32,
    /// Truncated boot id, see [`short_boot_id`].
    pub short_boot_id: u16,
    /// Sequence number of the daemon's entry when the report was made.
    pub sequence: u32,
    /// Whether the report lists only targets whose state has changed.
    pub partial: bool,
    /// Load of each listed target.
    pub loads: Vec<TargetLoad>,
    /// Crash suspects known to the daemon, see [`suspect::SuspectTable`].
    pub suspects: suspect::SuspectReport,
}

/// Converts a counter that does not reach the maximum in the lifetime of a daemon.
pub(super) fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Returns the full version of a compact record, or `None` if it does not belong to the known run.
pub(super) fn version_in_run(
    known: EntryVersion,
    short_id: u16,
    sequence: u32,
) -> Option<EntryVersion> {
    (short_boot_id(known.boot_id) == short_id).then_some(EntryVersion {
        boot_id: known.boot_id,
        sequence: sequence.into(),
    })
}
