//! Membership: what a daemon knows of the others, and who owns which target.
//!
//! The code has no clock and no source of randomness; both are passed in.

mod detect;
mod digest;
mod entry;
mod owner;
mod view;

pub use digest::{Heartbeat, LoadReport, daemon_hash, short_boot};
pub use entry::{EntryVersion, MemberEntry, MemberState, SuspectReport, TargetLoad};
pub use owner::owner_of;
pub use view::{Applied, HeartbeatApplied, Liveness, MemberTable, MemberTimers, Rumors};
