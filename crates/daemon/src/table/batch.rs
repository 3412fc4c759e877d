//! Group commit: rows of concurrent calls share a transaction.
//!
//! A row is sent at once while no transaction is in flight; otherwise it waits for the end of one,
//! for a full batch or for `batch_wait_ms`, whichever comes first. An idle daemon thus adds no
//! wait, and a busy one fills its batches during the service's answer time.

use std::{collections, sync, time};

use acaciabank_protocol::ids;
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::Instant,
};

use super::{RowKey, RowWrite, TableError, connection::ConnectionPool, transaction};

/// Rows that wait in the queue at most; further callers wait for room.
const QUEUE_ROWS: usize = 4_096;

/// Rows that the service takes in one transaction at most.
const MAX_TRANSACTION_ROWS: usize = 100;

/// Transactions in flight at most; keeps a slow service from piling up connections.
const MAX_IN_FLIGHT: usize = 8;

struct PendingRow {
    operation: ids::OperationId,
    write: RowWrite,
    send_by: Instant,
    done: oneshot::Sender<Result<(), TableError>>,
}

/// Entrance to the committer task.
#[derive(Debug)]
pub(super) struct CommitQueue {
    rows: mpsc::Sender<PendingRow>,
    wait: time::Duration,
}

impl CommitQueue {
    /// Starts the committer task on the current runtime.
    pub(super) fn start(pool: sync::Arc<ConnectionPool>) -> Self {
        let (rows, queue) = mpsc::channel(QUEUE_ROWS);
        let wait = time::Duration::from_millis(pool.settings.batch_wait_ms);
        tokio::spawn(commit_all(pool, queue));
        Self { rows, wait }
    }

    pub(super) async fn write(
        &self,
        operation: ids::OperationId,
        write: RowWrite,
    ) -> Result<(), TableError> {
        let (done, answer) = oneshot::channel();
        let send_by = Instant::now() + self.wait;
        let row = PendingRow {
            operation,
            write,
            send_by,
            done,
        };
        if self.rows.send(row).await.is_err() {
            return Err(TableError::Unavailable("committer ended".to_owned()));
        }
        let lost = || TableError::Unknown("committer ended".to_owned());
        answer.await.unwrap_or_else(|_| Err(lost()))
    }
}

async fn commit_all(pool: sync::Arc<ConnectionPool>, mut queue: mpsc::Receiver<PendingRow>) {
    let limit = pool.settings.batch_rows.clamp(1, MAX_TRANSACTION_ROWS);
    let mut waiting = collections::VecDeque::new();
    let mut in_flight = JoinSet::new();
    loop {
        while let Ok(row) = queue.try_recv() {
            waiting.push_back(row);
        }
        let now = Instant::now();
        let due = |row: &PendingRow| row.send_by <= now;
        let full = waiting.len() >= limit;
        let send = in_flight.is_empty() || full || waiting.front().is_some_and(due);
        if send && !waiting.is_empty() && in_flight.len() < MAX_IN_FLIGHT {
            let batch = take_batch(&mut waiting, limit);
            in_flight.spawn(commit(sync::Arc::clone(&pool), batch));
            continue;
        }
        let send_by = waiting.front().map_or(now, |row| row.send_by);
        let may_send = !waiting.is_empty() && in_flight.len() < MAX_IN_FLIGHT;
        tokio::select! {
            row = queue.recv(), if waiting.len() < QUEUE_ROWS => match row {
                Some(row) => waiting.push_back(row),
                None => break,
            },
            Some(_) = in_flight.join_next() => {}
            () = tokio::time::sleep_until(send_by), if may_send => {}
        }
    }
    while !waiting.is_empty() {
        commit(sync::Arc::clone(&pool), take_batch(&mut waiting, limit)).await;
    }
    while in_flight.join_next().await.is_some() {}
}

/// Takes the oldest rows; a row whose key is in the batch already stays, because the service
/// refuses a transaction that names a row twice.
fn take_batch(waiting: &mut collections::VecDeque<PendingRow>, limit: usize) -> Vec<PendingRow> {
    let mut keys = collections::HashSet::<RowKey>::new();
    let mut batch = Vec::new();
    let mut rest = collections::VecDeque::new();
    for row in waiting.drain(..) {
        if batch.len() < limit && keys.insert(row.write.key().clone()) {
            batch.push(row);
        } else {
            rest.push_back(row);
        }
    }
    *waiting = rest;
    batch
}

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
            answer_all(batch, &result);
            return;
        };
        let valid = failed.iter().any(|index| *index < batch.len());
        if !valid {
            let text = "conflict names no row of the transaction".to_owned();
            answer_all(batch, &Err(TableError::Invalid(text)));
            return;
        }
        batch = answer_failed(batch, &failed);
    }
}

fn answer_all(batch: Vec<PendingRow>, result: &Result<(), TableError>) {
    for row in batch {
        // A caller that has left needs no answer.
        let _ = row.done.send(result.clone());
    }
}

fn answer_failed(batch: Vec<PendingRow>, failed: &[usize]) -> Vec<PendingRow> {
    let mut rest = Vec::new();
    for (index, row) in batch.into_iter().enumerate() {
        if failed.contains(&index) {
            let _ = row.done.send(Err(TableError::Conflict(vec![0])));
        } else {
            rest.push(row);
        }
    }
    rest
}
