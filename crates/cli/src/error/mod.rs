//! Errors of the command line and their exit statuses.

use acaciabank_protocol::settings;

/// The command did what it was asked to do.
pub const EXIT_OK: i32 = 0;
/// The system refused or failed.
pub const EXIT_FAILED: i32 = 1;
/// The command line or a file is faulty.
pub const EXIT_USAGE: i32 = 2;
/// Another change won.
pub const EXIT_CONFLICT: i32 = 3;
/// No daemon answered.
pub const EXIT_UNREACHABLE: i32 = 4;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A settings file is faulty.
    #[error("{file}: {problem}")]
    Settings {
        /// File.
        file: String,
        /// Fault.
        problem: settings::Problem,
    },
    /// A file cannot be read or written.
    #[error("{file}: {source}")]
    File {
        /// File.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// An argument is faulty.
    #[error("{0}")]
    Usage(String),
    /// No connection or no answer.
    #[error("{address} does not answer: {message}")]
    Unreachable {
        /// Address.
        address: String,
        /// Cause.
        message: String,
    },
    /// The system refused.
    #[error("status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Message of the system.
        message: String,
    },
    /// Another change won.
    #[error("conflict: {0}")]
    Conflict(String),
    /// An answer cannot be read.
    #[error("unreadable answer: {0}")]
    InvalidResponse(String),
}

/// Result of this package.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Exit status of the program.
    pub fn exit_status(&self) -> i32 {
        match self {
            Error::Settings { .. } | Error::File { .. } | Error::Usage(_) => EXIT_USAGE,
            Error::Conflict(_) => EXIT_CONFLICT,
            Error::Unreachable { .. } => EXIT_UNREACHABLE,
            Error::Refused { .. } | Error::InvalidResponse(_) => EXIT_FAILED,
        }
    }
}
