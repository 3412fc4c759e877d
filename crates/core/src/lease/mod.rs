//! Leases without synchronised clocks: a holder counts its time from before a renewal was sent, a
//! challenger from when it first saw the row, each by its own monotonic clock in milliseconds.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::lease::{LeaseElector, LeaseStep, LeaseTimers, WriteResult};
//! use acaciabank_protocol::ids;
//!
//! let timers = LeaseTimers { ttl_ms: 9_000, renewal_ms: 3_000, margin_ms: 1_000 };
//! let mut seat = LeaseElector::new(ids::DaemonId::from("d1"), 1, timers);
//! let LeaseStep::Write(write) = seat.on_read(0, None, 0) else { panic!() };
//! seat.on_written(0, &write, WriteResult::Committed);
//! assert!(seat.may_act(7_999));
//! assert!(!seat.may_act(8_000));
//! ```

mod elector;

pub use elector::{LeaseElector, LeaseGrant, LeaseStep, LeaseWrite, VersionedRow, WriteResult};

use acaciabank_protocol::{ids, value_type};

value_type!(
    /// Body of a lease's row.
    #[derive(Eq, Hash)]
    pub struct LeaseRow {
        /// Holder; `None` after it resigned.
        pub holder: Option<ids::DaemonId>,
        /// Run of the holder.
        pub boot_id: u64,
        /// Grows by one with each takeover.
        pub term: u64,
        /// Version of the row that was renewed; makes every write of the row different.
        pub renewal: u64,
    }
);

/// Durations of a lease, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimers {
    /// Time after which an unrenewed lease may be taken over.
    pub ttl_ms: u64,
    /// Time between two renewals.
    pub renewal_ms: u64,
    /// Time by which the holder stops earlier and the challenger waits longer. It covers the
    /// difference of the rates of their clocks over one ttl.
    pub margin_ms: u64,
}

/// Position of a daemon among the candidates for a model's lease, by rendezvous hashing; 0 is the
/// preferred one. `None` when the daemon is not a candidate.
pub fn rank(
    model: &ids::ModelId,
    own: &ids::DaemonId,
    candidates: &[ids::DaemonId],
) -> Option<usize> {
    let own_weight = candidates
        .iter()
        .any(|candidate| candidate == own)
        .then(|| weight(model, own))?;
    let better = candidates
        .iter()
        .filter(|candidate| (weight(model, candidate), *candidate) > (own_weight, own))
        .count();
    Some(better)
}

fn weight(model: &ids::ModelId, daemon: &ids::DaemonId) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(model.as_str().as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(daemon.as_str().as_bytes(), seed)
}
