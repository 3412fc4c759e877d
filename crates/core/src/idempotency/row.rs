//! The parts of a key's row that a call's decisions depend on.

use acaciabank_protocol::value_type;

value_type!(
    /// State of a key's row.
    pub enum KeyState {
        /// A daemon has announced that it will dispatch the request; no outcome is recorded.
        Intent,
        /// The last dispatch ended without execution; a later call may claim the key.
        Released,
        /// The response is recorded.
        Done,
        /// An operator has stated that the request ran; its response is not known.
        Resolved,
    }
);

/// The daemon that wrote an intent, relative to the daemon that reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HolderKind {
    /// This daemon, in its current process run.
    Local,
    /// Another daemon that is still in the process run that wrote the intent.
    Remote,
    /// A process run that has ended, or an unknown daemon.
    Gone,
}

/// A key's row, compared with the call that reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyRowView {
    /// Version of the row.
    pub version: u64,
    /// Whether the row was last written by this call's own operation.
    pub own_operation: bool,
    /// State of the row.
    pub state: KeyState,
    /// Whether the row was written for a request with the same method, path and body.
    pub same_fingerprint: bool,
    /// Whether the lifetime of the row has passed.
    pub expired: bool,
    /// The daemon that wrote the intent.
    pub holder: HolderKind,
}
