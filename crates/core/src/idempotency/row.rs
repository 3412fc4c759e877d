//! What a call needs to know of a key's row.

use acaciabank_protocol::value_type;

value_type!(
    /// State of a key's row.
    pub enum KeyState {
        /// A daemon announced that it will dispatch the request; no outcome is recorded.
        Intent,
        /// The last run ended without execution; a later call may claim the key.
        Released,
        /// The answer is recorded.
        Done,
        /// An operator stated that the request ran; the answer is not known.
        Resolved,
    }
);

/// Daemon that wrote an intent, seen from the daemon that reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HolderKind {
    /// This run of this daemon.
    Local,
    /// Another daemon, in the run that wrote the intent.
    Remote,
    /// A run of a daemon that no longer exists, or an unknown daemon.
    Gone,
}

/// A key's row as one call sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyRowView {
    /// Version of the row.
    pub version: u64,
    /// Whether the last write is the one that this call tried.
    pub own_operation: bool,
    /// State.
    pub state: KeyState,
    /// Whether the row belongs to the same method, path and body.
    pub same_fingerprint: bool,
    /// Whether the lifetime of the row has passed.
    pub expired: bool,
    /// Daemon that wrote the intent.
    pub holder: HolderKind,
}
