//! Group commit: rows of concurrent calls share a transaction.
//!
//! A row is sent at once while no transaction is in flight; otherwise it waits until the
//! transactions in flight end, a batch is full or `batch_wait_ms` has passed, whichever comes
//! first. An idle daemon thus adds no delay, and a busy one fills its batches while the service
//! processes earlier ones.

use std::{collections, sync, time};

use acaciabank_protocol::ids;
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::Instant,
};

use super::{RowKey, RowWrite, TableError, connection::ConnectionPool, transaction};

/// Maximum number of rows in the queue; further callers wait until it has room.
const MAX_QUEUED_ROWS: usize = 4_096;

/// Maximum number of rows that the service accepts in one transaction.
const MAX_TRANSACTION_ROWS: usize = 100;

/// Maximum number of transactions in flight; each holds a connection, so a slow service would
/// otherwise cause ever more of them.
const MAX_IN_FLIGHT: usize = 8;

/// A row to be written and the caller that waits for its result.
struct PendingRow {
    operation: ids::OperationId,
    write: RowWrite,
    send_by: Instant,
    reply: oneshot::Sender<Result<(), TableError>>,
}

/// Queue of rows for the committer task.
#[derive(Debug)]
pub(super) struct CommitQueue {
    rows: mpsc::Sender<PendingRow>,
    max_wait: time::Duration,
}

impl CommitQueue {
    /// Starts the committer task on the current runtime.
    pub(super) fn start(pool: sync::Arc<ConnectionPool>) -> Self {
        let (rows, queue) = mpsc::channel(MAX_QUEUED_ROWS);
        let max_wait = time::Duration::from_millis(pool.settings.batch_wait_ms);
        tokio::spawn(run_committer(pool, queue));
        Self { rows, max_wait }
    }

    /// Queues a row and waits for the result of its transaction.
    pub(super) async fn write(
        &self,
        operation: ids::OperationId,
        write: RowWrite,
    ) -> Result<(), TableError> {
        let (reply, result) = oneshot::channel();
        let send_by = Instant::now() + self.max_wait;
        let row = PendingRow {
            operation,
            write,
            send_by,
            reply,
        };
        if self.rows.send(row).await.is_err() {
            return Err(TableError::Unavailable("committer ended".to_owned()));
        }
        let unknown = || TableError::Unknown("committer ended".to_owned());
        result.await.unwrap_or_else(|_| Err(unknown()))
    }
}

/// Commits queued rows until every [`CommitQueue`] handle is dropped.
async fn run_committer(pool: sync::Arc<ConnectionPool>, mut queue: mpsc::Receiver<PendingRow>) {
    let max_rows = pool.settings.batch_rows.clamp(1, MAX_TRANSACTION_ROWS);
    let mut waiting = collections::VecDeque::new();
    let mut in_flight = JoinSet::new();
    loop {
        while let Ok(row) = queue.try_recv() {
            waiting.push_back(row);
        }
        let now = Instant::now();
        let is_due = |row: &PendingRow| row.send_by <= now;
        let is_full = waiting.len() >= max_rows;
        let should_send = in_flight.is_empty() || is_full || waiting.front().is_some_and(is_due);
        if should_send && !waiting.is_empty() && in_flight.len() < MAX_IN_FLIGHT {
            let batch = take_batch(&mut waiting, max_rows);
            in_flight.spawn(commit(sync::Arc::clone(&pool), batch));
            continue;
        }
        let send_by = waiting.front().map_or(now, |row| row.send_by);
        let may_send = !waiting.is_empty() && in_flight.len() < MAX_IN_FLIGHT;
        tokio::select! {
            row = queue.recv(), if waiting.len() < MAX_QUEUED_ROWS => match row {
                Some(row) => waiting.push_back(row),
                None => break,
            },
            Some(_) = in_flight.join_next() => {}
            () = tokio::time::sleep_until(send_by), if may_send => {}
        }
    }
    while !waiting.is_empty() {
        commit(sync::Arc::clone(&pool), take_batch(&mut waiting, max_rows)).await;
    }
    while in_flight.join_next().await.is_some() {}
}

/// Takes up to `max_rows` of the oldest rows. A row whose key is already in the batch stays in the
/// queue, because the service refuses a transaction that names a row twice.
fn take_batch(waiting: &mut collections::VecDeque<PendingRow>, max_rows: usize) -> Vec<PendingRow> {
    let mut keys = collections::HashSet::<RowKey>::new();
    let mut batch = Vec::new();
    let mut rest = collections::VecDeque::new();
    for row in waiting.drain(..) {
        if batch.len() < max_rows && keys.insert(row.write.key().clone()) {
            batch.push(row);
        } else {
            rest.push_back(row);
        }
    }
    *waiting = rest;
    batch
}

/// Writes a batch in one transaction. Rows whose condition fails are reported and removed, and the
/// others are sent again in a new transaction.
async fn commit(pool: sync::Arc<ConnectionPool>, mut batch: Vec<PendingRow>) {
    while !batch.is_empty() {
        metrics::histogram!("acaciabank_table_batch_rows").record(batch.len() as f64);
        let token = format!("{:032x}", rand::random::<u128>());
        let rows: Vec<_> = batch
            .iter()
            .map(|row| (&row.operation, &row.write))
            .collect();
        let result = transaction::execute(&pool, &token, &rows).await;
        let Err(TableError::Conflict(failed)) = result else {
            complete_all(batch, &result);
            return;
        };
        let names_row = failed.iter().any(|index| *index < batch.len());
        if !names_row {
            let text = "conflict names no row of the transaction".to_owned();
            complete_all(batch, &Err(TableError::Invalid(text)));
            return;
        }
        batch = complete_failed(batch, &failed);
    }
}

fn complete_all(batch: Vec<PendingRow>, result: &Result<(), TableError>) {
    for row in batch {
        // Fails only when the caller no longer waits.
        let _ = row.reply.send(result.clone());
    }
}

/// Reports a conflict to the rows at the given positions and returns the others.
fn complete_failed(batch: Vec<PendingRow>, failed: &[usize]) -> Vec<PendingRow> {
    let mut rest = Vec::new();
    for (index, row) in batch.into_iter().enumerate() {
        if failed.contains(&index) {
            let _ = row.reply.send(Err(TableError::Conflict(vec![0])));
        } else {
            rest.push(row);
        }
    }
    rest
}
