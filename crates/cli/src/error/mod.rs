//! Errors of the command line and their exit statuses.

use acaciabank_protocol::settings;

/// The command succeeded.
pub const EXIT_OK: i32 = 0;
/// The system refused the request or sent a response that cannot be parsed.
pub const EXIT_FAILED: i32 = 1;
/// The command line or a file is invalid.
pub const EXIT_USAGE: i32 = 2;
/// The request conflicts with the current state, such as a concurrent change.
pub const EXIT_CONFLICT: i32 = 3;
/// The daemon cannot be reached or does not respond.
pub const EXIT_UNREACHABLE: i32 = 4;

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A settings file is invalid.
    #[error("{file}: {problem}")]
    Settings {
        /// Path of the settings file.
        file: String,
        /// First error found in the file.
        problem: settings::SettingsError,
    },
    /// A file cannot be read or written.
    #[error("{file}: {source}")]
    File {
        /// Path of the file.
        file: String,
        /// I/O error.
        source: std::io::Error,
    },
    /// An argument is invalid.
    #[error("{0}")]
    Usage(String),
    /// The connection or the exchange over it failed, or no response came in time.
    #[error("{address} does not answer: {message}")]
    Unreachable {
        /// Address of the daemon.
        address: String,
        /// Connection error or timeout.
        message: String,
    },
    /// The system responded with an error status.
    #[error("status {status}: {message}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Error message of the response.
        message: String,
    },
    /// The system responded with 409 or 412, such as after a concurrent change.
    #[error("conflict: {0}")]
    Conflict(String),
    /// A response or log lacks the expected content.
    #[error("unexpected content: {0}")]
    UnexpectedContent(String),
}

/// A `Result` with this crate's [`enum@Error`].
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the exit status of the program for this error.
    pub fn exit_status(&self) -> i32 {
        match self {
            Error::Settings { .. } | Error::File { .. } | Error::Usage(_) => EXIT_USAGE,
            Error::Conflict(_) => EXIT_CONFLICT,
            Error::Unreachable { .. } => EXIT_UNREACHABLE,
            Error::Refused { .. } | Error::UnexpectedContent(_) => EXIT_FAILED,
        }
    }
}
