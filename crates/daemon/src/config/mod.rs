//! The versioned deployment: store, compare-and-set, spread.

use std::sync;

use acaciabank_protocol::settings;
use arc_swap::ArcSwapOption;
use tokio::sync::watch;

use crate::process;

/// One version of the deployment.
#[derive(Debug)]
pub struct ConfigVersion {
    /// Version; grows by one with each accepted change.
    pub version: u64,
    /// Operator who made it.
    pub operator: String,
    /// The deployment.
    pub deployment: settings::Deployment,
}

/// The version in force in this process. It only moves to higher versions.
#[derive(Debug)]
pub struct ConfigStore {
    current: ArcSwapOption<ConfigVersion>,
    changed: watch::Sender<u64>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self {
            current: ArcSwapOption::empty(),
            changed: watch::Sender::new(0),
        }
    }
}

impl ConfigStore {
    /// The version in force, or `None` before one is learned.
    pub fn current(&self) -> Option<sync::Arc<ConfigVersion>> {
        self.current.load_full()
    }

    /// Number of the version in force; 0 before one is learned.
    pub fn version(&self) -> u64 {
        self.current
            .load()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// Puts a version in force when it is higher than the current one; tells whether it did.
    pub fn apply(&self, config: ConfigVersion) -> bool {
        let version = config.version;
        let config = sync::Arc::new(config);
        let previous = self.current.rcu(|current| match current {
            Some(old) if old.version >= version => Some(sync::Arc::clone(old)),
            _ => Some(sync::Arc::clone(&config)),
        });
        let applied = previous.is_none_or(|old| old.version < version);
        if applied {
            self.changed.send_if_modified(|known| {
                let newer = version > *known;
                *known = (*known).max(version);
                newer
            });
        }
        applied
    }

    /// Notified with the number of each version put in force.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// Why a proposed deployment was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum ProposeError {
    /// Another version is in force.
    #[error("version {version} by operator {operator} is in force")]
    Conflict {
        /// Version in force.
        version: u64,
        /// Operator who made it.
        operator: String,
    },
    /// The deployment is faulty.
    #[error("invalid deployment: {0}")]
    Invalid(settings::Problem),
    /// The table service cannot take the change; nothing was changed.
    #[error("table service unavailable: {0}")]
    Unavailable(String),
    /// The table service did not answer and could not be asked again; the change may be accepted.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

/// Proposes a deployment as the successor of version `expected`; returns the accepted version.
///
/// # Errors
///
/// See [`ProposeError`].
pub async fn propose(
    _state: &process::ProcessState,
    _expected: u64,
    _operator: &str,
    _deployment: settings::Deployment,
) -> Result<u64, ProposeError> {
    Err(ProposeError::Unavailable("not connected".to_owned()))
}

/// Versions kept in the history, newest first, at most `limit`.
///
/// # Errors
///
/// Returns the table's error.
pub async fn history(
    _state: &process::ProcessState,
    _limit: usize,
) -> Result<Vec<ConfigVersion>, crate::table::TableError> {
    Ok(Vec::new())
}

/// Learns the first version, then follows the table until the process leaves. `initial` is the
/// deployment of the settings, stored as version 1 when the table has none.
pub async fn run(_state: process::SharedState, _initial: settings::Deployment) {}
