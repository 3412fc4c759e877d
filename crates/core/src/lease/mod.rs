//! Leases without synchronised clocks, for the election of one holder.
//!
//! A holder counts the lease time from before it sent a renewal, a challenger from when it first
//! read the row, each by its own monotonic clock in milliseconds.
//!
//! A store that comes back from an older copy may have lost the row of a holder whose grant still
//! runs. In a new era a challenger therefore counts from its first read in that era, whatever the
//! row says, and the holder continues at once while its grant is valid.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::lease::{LeaseElector, LeaseRead, LeaseStep, LeaseTimers, WriteResult};
//! use acaciabank_core::store_version::StoreVersion;
//! use acaciabank_protocol::ids;
//!
//! let timers = LeaseTimers { ttl_ms: 9_000, renewal_ms: 3_000, margin_ms: 1_000 };
//! let mut elector = LeaseElector::new(ids::DaemonId::from("d1"), 1, timers);
//! let read = LeaseRead { era: 1, row: None };
//! let LeaseStep::Write(write) = elector.on_read(0, &read, 0) else { panic!() };
//! elector.on_written(0, &write, WriteResult::Committed(StoreVersion::new(1, 7)));
//! assert!(elector.may_act(7_999));
//! assert!(!elector.may_act(8_000));
//! ```

mod elector;

pub use elector::{
    LeaseElector, LeaseGrant, LeaseRead, LeaseStep, LeaseWrite, VersionedRow, WriteResult,
};

use acaciabank_protocol::{ids, value_type};

use crate::store_version::StoreVersion;

value_type!(
    /// Contents of a lease's row in the store.
    #[derive(Eq, Hash)]
    pub struct LeaseRow {
        /// Daemon that holds the lease; `None` after it resigned.
        pub holder: Option<ids::DaemonId>,
        /// Id of the holder's process run; a restart changes it.
        pub boot_id: u64,
        /// Term of the lease; a takeover increments it.
        pub term: u64,
        /// Lower bound of the version of the write that acquired the lease: the fencing token of
        /// the term. Its era is the one that the holder knew.
        #[serde(default)]
        pub acquired: StoreVersion,
        /// Number of the row's version that this write replaced; makes the contents of all writes differ.
        pub renewal: u64,
    }
);

/// Durations of a lease, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimers {
    /// Time without a renewal after which the lease may be taken over.
    pub ttl_ms: u64,
    /// Time between two renewals.
    pub renewal_ms: u64,
    /// Safety margin: the holder stops this much before the TTL ends, a challenger waits this much
    /// longer. It covers the drift between their clocks over one TTL.
    pub margin_ms: u64,
}

/// Returns the rank of a daemon among the candidates for a model's lease, by rendezvous hashing.
/// Rank 0 is preferred. Returns `None` if the daemon is not a candidate.
pub fn rank(
    model: &ids::ModelId,
    own: &ids::DaemonId,
    candidates: &[ids::DaemonId],
) -> Option<usize> {
    let own_weight = candidates
        .iter()
        .any(|candidate| candidate == own)
        .then(|| weight(model, own))?;
    let better_count = candidates
        .iter()
        .filter(|candidate| (weight(model, candidate), *candidate) > (own_weight, own))
        .count();
    Some(better_count)
}

fn weight(model: &ids::ModelId, daemon: &ids::DaemonId) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(model.as_str().as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(daemon.as_str().as_bytes(), seed)
}
