//! Loads the first version of the deployment and polls the table for later ones.

use std::time;

use acaciabank_protocol::settings;

use super::{ConfigVersion, storage};
use crate::{process, table};

/// Delay before the second attempt to load the first version; doubles with each further attempt.
const MIN_RETRY_DELAY_MS: u64 = 100;
/// Upper bound of that delay.
const MAX_RETRY_DELAY_MS: u64 = 2_000;

/// Loads the first version from the table, or from the other daemons when the table is unavailable.
/// Returns when a version is in force or the process leaves.
pub(super) async fn load_first(state: &process::SharedState, initial: &settings::Deployment) {
    let mut delay_ms = MIN_RETRY_DELAY_MS;
    while state.config.version() == 0 && !has_left(state) {
        match load_from_table(state, initial).await {
            Ok(config) => return activate(state, config, "the table"),
            Err(error) => log::warn!("configuration cannot be read from the table: {error}"),
        }
        let fetched = state.peers.fetch_configs(0).await;
        if let Some(config) = fetched.highest {
            return activate(state, config, "other daemons");
        }
        log::warn!(
            "not ready: no configuration from the table or from the {} daemons that responded",
            fetched.response_count
        );
        tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
        delay_ms = (delay_ms * 2).min(MAX_RETRY_DELAY_MS);
    }
}

/// Reads the version in the table. When the table has none, stores `initial` as version 1, or reads
/// the version that another daemon has stored meanwhile.
async fn load_from_table(
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

/// Polls the version in the table and puts a higher one in force, until the process leaves.
pub(super) async fn poll_table(state: &process::SharedState) {
    while !has_left(state) {
        let interval_ms = state.settings.timers.config_poll_ms.max(1);
        // Jitter of 20 % spreads the reads of daemons that were started together.
        let delay_ms = rand::random_range(interval_ms * 4 / 5..=interval_ms * 6 / 5);
        tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
        if let Err(error) = poll_version(state).await {
            log::debug!("configuration cannot be read from the table: {error}");
        }
    }
}

/// Reads the number of the version in the table, and the version itself if it is higher than the
/// one in force.
async fn poll_version(state: &process::SharedState) -> Result<(), table::TableError> {
    let version = storage::read_head(&state.table).await?;
    if version == 0 {
        log::warn!("the table no longer has a configuration");
    }
    if version <= state.config.version() {
        return Ok(());
    }
    if let Some(config) = storage::read(&state.table).await? {
        activate(state, config, "the table");
    }
    Ok(())
}

/// Puts a version in force if it is higher than the current one, and announces it to the other
/// daemons.
fn activate(state: &process::SharedState, config: ConfigVersion, source: &str) {
    let version = config.version;
    if state.config.apply(config) {
        log::info!("configuration {version} from {source} is in force");
        state.peers.announce();
    }
}

fn has_left(state: &process::SharedState) -> bool {
    state.phase.get() == process::Phase::Left
}
