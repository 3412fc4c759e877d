//! The versioned deployment: store, compare-and-set, spread.

mod loader;
mod storage;

use std::sync;

use acaciabank_protocol::settings;
use arc_swap::ArcSwapOption;
use tokio::sync::watch;

use crate::{process, table};

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
    state: &process::ProcessState,
    expected: u64,
    operator: &str,
    deployment: settings::Deployment,
) -> Result<u64, ProposeError> {
    validate(state, &deployment).map_err(ProposeError::Invalid)?;
    let config = ConfigVersion {
        version: expected + 1,
        operator: operator.to_owned(),
        deployment,
    };
    let error = match storage::write(&state.table, &config).await {
        Ok(()) => {
            log::info!("configuration {} by {operator} accepted", config.version);
            state.config.apply(config);
            state.peers.announce();
            return Ok(expected + 1);
        }
        Err(error) => error,
    };
    Err(match error {
        table::TableError::Conflict(_) => name_winner(state).await,
        table::TableError::Unavailable(text) => ProposeError::Unavailable(text),
        // An unreadable answer does not prove that nothing was written.
        table::TableError::Unknown(text) | table::TableError::Invalid(text) => {
            ProposeError::Unknown(text)
        }
    })
}

/// The version that a proposal lost against. The proposal itself had no effect, so a failed read
/// falls back to the version that this daemon knows.
async fn name_winner(state: &process::ProcessState) -> ProposeError {
    let (version, operator) = match storage::read(&state.table).await {
        Ok(Some(config)) => {
            let named = (config.version, config.operator.clone());
            state.config.apply(config);
            state.peers.announce();
            named
        }
        _ => match state.config.current() {
            Some(config) => (config.version, config.operator.clone()),
            None => (0, "unknown".to_owned()),
        },
    };
    ProposeError::Conflict { version, operator }
}

/// Checks a deployment as part of this daemon's settings.
fn validate(
    state: &process::ProcessState,
    deployment: &settings::Deployment,
) -> Result<(), settings::Problem> {
    settings::check(&settings::Settings {
        process: state.settings.clone(),
        deployment: deployment.clone(),
    })
}

/// Versions kept in the history, newest first, at most `limit`.
///
/// # Errors
///
/// Returns the table's error.
pub async fn history(
    state: &process::ProcessState,
    limit: usize,
) -> Result<Vec<ConfigVersion>, table::TableError> {
    storage::read_history(&state.table, limit).await
}

/// Learns the first version, then follows the table until the process leaves. `initial` is the
/// deployment of the settings, stored as version 1 when the table has none.
pub async fn run(state: process::SharedState, initial: settings::Deployment) {
    loader::learn_first(&state, &initial).await;
    loader::follow_table(&state).await;
}
