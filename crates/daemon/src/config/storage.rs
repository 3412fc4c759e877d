//! Reads and writes the configuration's rows in the table.

use acaciabank_protocol::{ids, settings};

use super::ConfigVersion;
use crate::table::{RowCondition, RowKey, RowWrite, TableClient, TableError, TableRow};

const PARTITION: &str = "config";

/// Number of versions whose history rows share all but the last two digits of their names, so that
/// one query by prefix reads them.
const VERSIONS_PER_BUCKET: u64 = 100;

/// Operator name of the version that was taken from the settings.
pub(super) const SETTINGS_OPERATOR: &str = "settings";

#[derive(serde::Serialize)]
struct ConfigBodyRef<'a> {
    version: u64,
    operator: &'a str,
    deployment: &'a settings::Deployment,
}

// Error messages to operators name the type; this keeps their text.
#[derive(serde::Deserialize)]
#[serde(expecting = "struct ReadBody")]
struct ConfigBody {
    version: u64,
    operator: String,
    deployment: settings::Deployment,
}

fn key(name: String) -> RowKey {
    RowKey {
        partition: PARTITION.to_owned(),
        name,
    }
}

fn current_key() -> RowKey {
    key("current".to_owned())
}

/// Key of the row with the version number alone. Every daemon polls it and reads the deployment
/// only when the number has grown, because that of a large fleet has hundreds of kilobytes.
fn head_key() -> RowKey {
    key("head".to_owned())
}

/// Writes a version and its history row, on condition that its predecessor is the current version.
pub(super) async fn write(table: &TableClient, config: &ConfigVersion) -> Result<(), TableError> {
    let body = ConfigBodyRef {
        version: config.version,
        operator: &config.operator,
        deployment: &config.deployment,
    };
    let body = serde_json::to_string(&body)
        .map_err(|error| TableError::Unavailable(format!("cannot write JSON: {error}")))?;
    let condition = match config.version {
        1 => RowCondition::Absent,
        version => RowCondition::Version(version - 1),
    };
    let writes = [
        RowWrite::Put {
            key: head_key(),
            condition,
            body: config.version.to_string(),
            expires_unix_s: None,
        },
        RowWrite::Put {
            key: current_key(),
            condition,
            body: body.clone(),
            expires_unix_s: None,
        },
        RowWrite::Put {
            key: key(format!("history#{:020}", config.version)),
            condition: RowCondition::Absent,
            body,
            expires_unix_s: None,
        },
    ];
    let operation = ids::OperationId::new(format!("{:032x}", rand::random::<u128>()));
    table.transact(&operation, &writes).await
}

/// Reads the number of the version in force; 0 when the table has none.
pub(super) async fn read_head(table: &TableClient) -> Result<u64, TableError> {
    let row = table.get(&head_key()).await?;
    Ok(row.map_or(0, |row| row.version))
}

/// Reads the version in force.
pub(super) async fn read(table: &TableClient) -> Result<Option<ConfigVersion>, TableError> {
    let row = table.get(&current_key()).await?;
    row.as_ref().map(decode).transpose()
}

/// Reads the history, newest first, with one query for each bucket of versions.
pub(super) async fn read_history(
    table: &TableClient,
    limit: usize,
) -> Result<Vec<ConfigVersion>, TableError> {
    let Some(row) = table.get(&current_key()).await? else {
        return Ok(Vec::new());
    };
    let mut history = Vec::new();
    for bucket in (0..=row.version / VERSIONS_PER_BUCKET).rev() {
        if history.len() >= limit {
            break;
        }
        let rows = table
            .query(PARTITION, &format!("history#{bucket:018}"))
            .await?;
        for row in rows.iter().rev() {
            history.push(decode(row)?);
        }
    }
    history.truncate(limit);
    Ok(history)
}

fn decode(row: &TableRow) -> Result<ConfigVersion, TableError> {
    let body: ConfigBody = serde_json::from_str(&row.body).map_err(|error| {
        TableError::Invalid(format!("configuration in row {}: {error}", row.key.name))
    })?;
    Ok(ConfigVersion {
        version: body.version,
        operator: body.operator,
        deployment: body.deployment,
    })
}
