//! How a daemon learns the version in force.

use std::time;

use acaciabank_protocol::settings;

use super::{ConfigVersion, storage};
use crate::{process, table};

/// Pause before another try to learn the first version; doubles up to the second constant.
const FIRST_PAUSE_MS: u64 = 100;
const MAX_PAUSE_MS: u64 = 2_000;

/// Learns the first version from the table, or from the other daemons when the table is
/// unavailable. Returns when a version is in force or the process leaves.
pub(super) async fn learn_first(state: &process::SharedState, initial: &settings::Deployment) {
    let mut pause_ms = FIRST_PAUSE_MS;
    while state.config.version() == 0 && !is_over(state) {
        match from_table(state, initial).await {
            Ok(config) => return put_in_force(state, config, "the table"),
            Err(error) => log::warn!("configuration cannot be read from the table: {error}"),
        }
        let fetched = state.peers.fetch_configs(0).await;
        if let Some(config) = fetched.highest {
            return put_in_force(state, config, "other daemons");
        }
        log::warn!(
            "not ready: no configuration from the table, none from {} daemons that answered",
            fetched.answers
        );
        tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
    }
}

/// Reads the table; stores the settings' deployment when the table has none.
async fn from_table(
    state: &process::SharedState,
    initial: &settings::Deployment,
) -> Result<ConfigVersion, table::TableError> {
    if let Some(config) = storage::read(&state.table).await? {
        return Ok(config);
    }
    let config = ConfigVersion {
        version: 1,
        operator: storage::SETTINGS_OPERATOR.to_owned(),
        deployment: initial.clone(),
    };
    match storage::write(&state.table, &config).await {
        Ok(()) => Ok(config),
        Err(table::TableError::Conflict(rows)) => storage::read(&state.table)
            .await?
            .ok_or(table::TableError::Conflict(rows)),
        Err(error) => Err(error),
    }
}

/// Reads the table's version at intervals; only a higher version is put in force.
pub(super) async fn follow_table(state: &process::SharedState) {
    while !is_over(state) {
        let interval_ms = state.settings.timers.config_poll_ms.max(1);
        // Jitter spreads the reads of many daemons that were started together.
        let pause_ms = rand::random_range(interval_ms * 4 / 5..=interval_ms * 6 / 5);
        tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
        if let Err(error) = follow_head(state).await {
            log::debug!("configuration cannot be read from the table: {error}");
        }
    }
}

async fn follow_head(state: &process::SharedState) -> Result<(), table::TableError> {
    let version = storage::read_head(&state.table).await?;
    if version == 0 {
        log::warn!("the table has no configuration any more");
    }
    if version <= state.config.version() {
        return Ok(());
    }
    if let Some(config) = storage::read(&state.table).await? {
        put_in_force(state, config, "the table");
    }
    Ok(())
}

fn put_in_force(state: &process::SharedState, config: ConfigVersion, source: &str) {
    let version = config.version;
    if state.config.apply(config) {
        log::info!("configuration {version} from {source} is in force");
        state.peers.announce();
    }
}

fn is_over(state: &process::SharedState) -> bool {
    state.phase.get() == process::Phase::Left
}
