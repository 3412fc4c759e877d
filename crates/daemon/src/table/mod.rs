//! Client of the platform's table service: reads, transactions and group commit.

mod batch;
mod connection;
mod format;
mod transaction;

use std::sync;

use acaciabank_protocol::{ids, settings};

use connection::ConnectionPool;

/// Primary key of a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowKey {
    /// Partition key, such as `lease`.
    pub partition: String,
    /// Sort key: name of the row in its partition.
    pub name: String,
}

/// A row read from the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// Primary key of the row.
    pub key: RowKey,
    /// Version: 1 after the insert, incremented by each further write.
    pub version: u64,
    /// Id of the operation that wrote the row last.
    pub operation: ids::OperationId,
    /// Content as JSON text.
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
    /// Inserts or replaces the row; its version becomes 1 or the condition's version plus one.
    Put {
        /// Primary key of the row.
        key: RowKey,
        /// Condition on the row before the transaction.
        condition: RowCondition,
        /// Content as JSON text.
        body: String,
        /// Time after which the table service may remove the row, in seconds since the Unix epoch.
        expires_unix_s: Option<u64>,
    },
    /// Removes the row.
    Delete {
        /// Primary key of the row.
        key: RowKey,
        /// Condition on the row before the transaction.
        condition: RowCondition,
    },
    /// Only checks the condition.
    Check {
        /// Primary key of the row.
        key: RowKey,
        /// Condition on the row before the transaction.
        condition: RowCondition,
    },
}

/// Error of a call to the table service.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// The conditions of the rows at these positions do not hold; nothing was written.
    #[error("condition failed for rows {0:?}")]
    Conflict(Vec<usize>),
    /// The connection failed, or the service refused the call because of its rate limit or an
    /// outage; nothing was written.
    #[error("unavailable: {0}")]
    Unavailable(String),
    /// No response arrived; a write may have taken effect.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The response cannot be decoded or reports an unexpected error.
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
    /// Address and name of the table, timeout and batch limits.
    pub settings: settings::TableSettings,
    pool: sync::Arc<ConnectionPool>,
    committer: sync::OnceLock<batch::CommitQueue>,
}

impl TableClient {
    /// Creates a client that connects on first use.
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
    /// Returns [`TableError::Unavailable`], [`TableError::Unknown`] or [`TableError::Invalid`].
    pub async fn get(&self, key: &RowKey) -> Result<Option<TableRow>, TableError> {
        transaction::get(&self.pool, key).await
    }

    /// Reads the rows of a partition whose names start with `prefix`, sorted by name.
    ///
    /// # Errors
    ///
    /// The same as [`TableClient::get`].
    pub async fn query(&self, partition: &str, prefix: &str) -> Result<Vec<TableRow>, TableError> {
        let mut rows = Vec::new();
        let mut start = None;
        loop {
            let body = format::query(&self.settings.name, partition, prefix, start.as_ref());
            let response = transaction::read(&self.pool, "Query", &body).await?;
            let page = format::read_page(&response)?;
            rows.extend(page.rows);
            start = page.next;
            if start.is_none() {
                return Ok(rows);
            }
        }
    }

    /// Writes the rows in one transaction, as the given operation. When no response arrives, reads
    /// the rows to find out whether the transaction took effect, and sends it once more if they do
    /// not show it. [`TableError::Unknown`] means that this could not be determined either way.
    ///
    /// # Errors
    ///
    /// Returns any [`TableError`].
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
    /// Returns any [`TableError`]; [`TableError::Conflict`] names position 0.
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
