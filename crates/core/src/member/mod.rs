//! Membership: a daemon's view of the other daemons, failure detection and ownership of targets.
//!
//! Callers pass in the current time and the random number generator.

mod detect;
mod digest;
mod entry;
mod owner;
mod table;

pub use digest::{Heartbeat, LoadReport, daemon_hash, short_boot_id};
pub use entry::{EntryVersion, MemberEntry, MemberState, TargetLoad};
pub use owner::owner_of;
pub use table::{Applied, HeartbeatApplied, Liveness, MemberTable, MemberTimers, Rumors};
