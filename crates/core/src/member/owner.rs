//! Ownership of targets by rendezvous hashing: all daemons that know the same members compute the
//! same owner without communicating.

use acaciabank_protocol::ids;
use xxhash_rust::xxh3;

/// Returns the owner of a target among the given daemons, or `None` if there are none. If a daemon
/// leaves, only its own targets move to another owner.
pub fn owner_of<'a>(
    target: &ids::TargetId,
    daemons: impl IntoIterator<Item = &'a ids::DaemonId>,
) -> Option<&'a ids::DaemonId> {
    daemons
        .into_iter()
        .max_by_key(|daemon| (weight(target, daemon), *daemon))
}

fn weight(target: &ids::TargetId, daemon: &ids::DaemonId) -> u64 {
    let seed = xxh3::xxh3_64(daemon.as_str().as_bytes());
    xxh3::xxh3_64_with_seed(target.as_str().as_bytes(), seed)
}
