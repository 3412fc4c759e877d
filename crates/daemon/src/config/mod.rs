//! Versions of the deployment: the one in force, proposals by compare-and-set, and history.

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
    /// Version number; grows by one with each accepted change.
    pub version: u64,
    /// Operator who proposed the version, or `settings` for the deployment of the settings.
    pub operator: String,
    /// Deployment of this version.
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
    /// The version in force, or `None` before the first.
    pub fn current(&self) -> Option<sync::Arc<ConfigVersion>> {
        self.current.load_full()
    }

    /// Number of the version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.current
            .load()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// Puts a version in force if it is higher than the current one. Returns whether it was.
    pub fn apply(&self, config: ConfigVersion) -> bool {
        let version = config.version;
        let config = sync::Arc::new(config);
        let previous = self.current.rcu(|current| match current {
            Some(old) if old.version >= version => Some(sync::Arc::clone(old)),
            _ => Some(sync::Arc::clone(&config)),
        });
        let is_applied = previous.is_none_or(|old| old.version < version);
        if is_applied {
            self.changed.send_if_modified(|known| {
                let is_newer = version > *known;
                *known = (*known).max(version);
                is_newer
            });
        }
        is_applied
    }

    /// Returns a receiver of the number of the version in force; intermediate versions may be
    /// skipped.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// Error of a proposed deployment.
#[derive(Debug, thiserror::Error)]
pub enum ProposeError {
    /// The expected version is not the one in force.
    #[error("version {version} by operator {operator} is in force")]
    Conflict {
        /// Number of the version in force.
        version: u64,
        /// Operator who proposed the version in force.
        operator: String,
    },
    /// The deployment does not pass the checks of the settings.
    #[error("invalid deployment: {0}")]
    Invalid(settings::SettingsError),
    /// The table service cannot take the change; nothing was changed.
    #[error("table service unavailable: {0}")]
    Unavailable(String),
    /// The table service sent no valid response and the outcome could not be read back; the change
    /// may have been accepted.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

/// Proposes a deployment as the successor of version `expected`. Returns the number of the accepted
/// version.
///
/// # Errors
///
/// Returns any [`ProposeError`]. After [`ProposeError::Unknown`] the change may still have been
/// accepted.
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
        table::TableError::Conflict(_) => conflict_error(state).await,
        table::TableError::Unavailable(text) => ProposeError::Unavailable(text),
        // An invalid response does not prove that nothing was written.
        table::TableError::Unknown(text) | table::TableError::Invalid(text) => {
            ProposeError::Unknown(text)
        }
    })
}

/// Conflict with the version in the table. The proposal had no effect, so after a failed read the
/// error names the version that this daemon knows.
async fn conflict_error(state: &process::ProcessState) -> ProposeError {
    let (version, operator) = match storage::read(&state.table).await {
        Ok(Some(config)) => {
            let known = (config.version, config.operator.clone());
            state.config.apply(config);
            state.peers.announce();
            known
        }
        _ => match state.config.current() {
            Some(config) => (config.version, config.operator.clone()),
            None => (0, "unknown".to_owned()),
        },
    };
    ProposeError::Conflict { version, operator }
}

/// Checks a deployment together with this daemon's own settings.
fn validate(
    state: &process::ProcessState,
    deployment: &settings::Deployment,
) -> Result<(), settings::SettingsError> {
    settings::check(&settings::Settings {
        process: state.settings.clone(),
        deployment: deployment.clone(),
    })
}

/// Reads the newest versions of the history, newest first, at most `limit`.
///
/// # Errors
///
/// Returns [`table::TableError::Unavailable`], [`table::TableError::Unknown`] or
/// [`table::TableError::Invalid`].
pub async fn history(
    state: &process::ProcessState,
    limit: usize,
) -> Result<Vec<ConfigVersion>, table::TableError> {
    storage::read_history(&state.table, limit).await
}

/// Loads the first version, then polls the table until the process leaves. `initial` is the
/// deployment of the settings, stored as version 1 if the table has none.
pub async fn run(state: process::SharedState, initial: settings::Deployment) {
    loader::load_first(&state, &initial).await;
    loader::poll_table(&state).await;
}
