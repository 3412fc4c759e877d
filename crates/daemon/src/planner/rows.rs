//! Rows of leases and of targets' orders in the table.

use acaciabank_core::{lease, order, store_version::StoreVersion};
use acaciabank_protocol::ids;
use serde::de::DeserializeOwned;

use crate::table::{RowCondition, RowKey, RowWrite, TableClient, TableError, TableRow};

/// Era of all versions of the table service, which states none.
pub(super) const TABLE_ERA: u64 = 0;
/// Partition of the lease rows, which are named by model.
const LEASE_PARTITION: &str = "lease";
/// Partition of the order rows, which are named by target.
const TARGET_PARTITION: &str = "target";

/// A target's row with the version that the next write requires; both `None` if there is no row.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredTarget {
    pub(super) version: Option<u64>,
    pub(super) row: Option<order::TargetRow>,
}

impl StoredTarget {
    /// Returns the row if its order is not finished.
    pub(super) fn open_row(&self) -> Option<&order::TargetRow> {
        let row = self.row.as_ref()?;
        (row.state == order::IntentState::Intended).then_some(row)
    }

    /// Returns the write that replaces the row, provided that its version is unchanged.
    pub(super) fn put(&self, target: &ids::TargetId, row: &order::TargetRow) -> RowWrite {
        RowWrite::Put {
            key: target_key(target),
            condition: self
                .version
                .map_or(RowCondition::Absent, RowCondition::Version),
            body: to_json(row),
            expires_unix_s: None,
        }
    }

    /// Returns what is stored after [`put`](Self::put) has written `row`.
    pub(super) fn with_row(&self, row: order::TargetRow) -> Self {
        Self {
            version: Some(self.version.unwrap_or(0) + 1),
            row: Some(row),
        }
    }
}

pub(super) fn new_operation_id() -> ids::OperationId {
    ids::OperationId::new(format!("{:032x}", rand::random::<u128>()))
}

pub(super) fn lease_key(model: &ids::ModelId) -> RowKey {
    RowKey {
        partition: LEASE_PARTITION.to_owned(),
        name: model.to_string(),
    }
}

fn target_key(target: &ids::TargetId) -> RowKey {
    RowKey {
        partition: TARGET_PARTITION.to_owned(),
        name: target.to_string(),
    }
}

pub(super) fn lease_put(model: &ids::ModelId, write: &lease::LeaseWrite) -> RowWrite {
    RowWrite::Put {
        key: lease_key(model),
        condition: write.condition.map_or(RowCondition::Absent, |version| {
            RowCondition::Version(version.number)
        }),
        body: to_json(&write.body),
        expires_unix_s: None,
    }
}

pub(super) async fn read_lease(
    table: &TableClient,
    model: &ids::ModelId,
) -> Result<Option<lease::VersionedRow>, TableError> {
    let row = table.get(&lease_key(model)).await?;
    row.map(|row| {
        Ok(lease::VersionedRow {
            version: row_version(row.version),
            body: parse(&row)?,
        })
    })
    .transpose()
}

/// Returns the version of a row as the lease's decisions order it. The table service states no era:
/// it is not expected to come back from an older copy.
pub(super) fn row_version(number: u64) -> StoreVersion {
    StoreVersion::new(TABLE_ERA, number)
}

pub(super) async fn read_target(
    table: &TableClient,
    target: &ids::TargetId,
) -> Result<StoredTarget, TableError> {
    let Some(row) = table.get(&target_key(target)).await? else {
        return Ok(StoredTarget::default());
    };
    Ok(StoredTarget {
        version: Some(row.version),
        row: Some(parse(&row)?),
    })
}

fn parse<Body: DeserializeOwned>(row: &TableRow) -> Result<Body, TableError> {
    serde_json::from_str(&row.body).map_err(|error| {
        let key = &row.key;
        TableError::Invalid(format!("row {}/{}: {error}", key.partition, key.name))
    })
}

fn to_json(body: &impl serde::Serialize) -> String {
    serde_json::to_string(body).expect("rows have text keys")
}
