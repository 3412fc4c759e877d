//! Client of the platform's table service, with group commit.

mod batch;
mod connection;
mod format;
mod transaction;

use std::sync;

use acaciabank_protocol::{ids, settings};

use connection::ConnectionPool;

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
        /// Time after which the table service may remove the row, in seconds since the Unix epoch.
        expires_unix_s: Option<u64>,
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

impl RowWrite {
    /// Key of the row.
    pub fn key(&self) -> &RowKey {
        match self {
            RowWrite::Put { key, .. }
            | RowWrite::Delete { key, .. }
            | RowWrite::Check { key, .. } => key,
        }
    }

    /// Condition on the row.
    pub fn condition(&self) -> RowCondition {
        match self {
            RowWrite::Put { condition, .. }
            | RowWrite::Delete { condition, .. }
            | RowWrite::Check { condition, .. } => *condition,
        }
    }
}

/// Client of the table service.
#[derive(Debug)]
pub struct TableClient {
    /// Settings of the service.
    pub settings: settings::TableSettings,
    pool: sync::Arc<ConnectionPool>,
    committer: sync::OnceLock<batch::CommitQueue>,
}

impl TableClient {
    /// A client that connects on first use.
    pub fn new(settings: settings::TableSettings) -> Self {
        let pool = sync::Arc::new(ConnectionPool::new(settings.clone()));
        Self {
            settings,
            pool,
            committer: sync::OnceLock::new(),
        }
    }

    /// Reads one row with a consistent read.
    ///
    /// # Errors
    ///
    /// [`TableError::Unavailable`], [`TableError::Unknown`], [`TableError::Invalid`].
    pub async fn get(&self, key: &RowKey) -> Result<Option<TableRow>, TableError> {
        transaction::get(&self.pool, key).await
    }

    /// Reads the rows of a partition whose name starts with `prefix`, by name.
    ///
    /// # Errors
    ///
    /// As [`TableClient::get`].
    pub async fn query(&self, partition: &str, prefix: &str) -> Result<Vec<TableRow>, TableError> {
        let mut rows = Vec::new();
        let mut start = None;
        loop {
            let body = format::query(&self.settings.name, partition, prefix, start.as_ref());
            let answer = transaction::read(&self.pool, "Query", &body).await?;
            let page = format::read_page(&answer)?;
            rows.extend(page.rows);
            start = page.next;
            if start.is_none() {
                return Ok(rows);
            }
        }
    }

    /// Runs one transaction under an operation id. On [`TableError::Unknown`] it has already read
    /// back once whether the write took effect.
    ///
    /// # Errors
    ///
    /// See [`TableError`].
    pub async fn transact(
        &self,
        operation: &ids::OperationId,
        writes: &[RowWrite],
    ) -> Result<(), TableError> {
        let rows: Vec<_> = writes.iter().map(|write| (operation, write)).collect();
        transaction::execute(&self.pool, operation.as_str(), &rows).await
    }

    /// Writes one row through the group commit: rows of concurrent calls share a transaction.
    ///
    /// # Errors
    ///
    /// See [`TableError`]; [`TableError::Conflict`] names position 0.
    pub async fn write_grouped(
        &self,
        operation: &ids::OperationId,
        write: RowWrite,
    ) -> Result<(), TableError> {
        let queue = self
            .committer
            .get_or_init(|| batch::CommitQueue::start(sync::Arc::clone(&self.pool)));
        queue.write(operation.clone(), write).await
    }
}
