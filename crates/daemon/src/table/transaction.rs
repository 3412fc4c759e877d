//! Reads and transactions with retry and read-back.

use std::time;

use acaciabank_protocol::ids;
use bytes::Bytes;

use super::{
    RowCondition, RowKey, RowWrite, TableError, TableRow,
    connection::{CallFailure, ConnectionPool},
    format::{self, ErrorKind},
};

/// Sends of one transaction that the service cancels for a reason other than a condition.
const MAX_TRANSIENT_TRIES: u32 = 4;

/// First pause before a transaction is sent again; doubles with each try.
const TRANSIENT_PAUSE_MS: u64 = 10;

type RowOperation<'a> = (&'a ids::OperationId, &'a RowWrite);

enum Outcome {
    Written,
    Conflict(Vec<usize>),
    Transient(String),
    Unavailable(String),
    NoAnswer(String),
    Invalid(String),
}

fn count(operation: &'static str, outcome: &'static str) {
    metrics::counter!("acaciabank_table_calls_total",
        "operation" => operation, "outcome" => outcome)
    .increment(1);
}

/// Runs a read; a read without answer is sent once more, because it changes nothing.
pub(super) async fn read(
    pool: &ConnectionPool,
    operation: &'static str,
    body: &Bytes,
) -> Result<Bytes, TableError> {
    let mut answer = pool.call(operation, body).await;
    if matches!(answer, Err(CallFailure::NoAnswer(_))) {
        count(operation, "retried");
        answer = pool.call(operation, body).await;
    }
    let (outcome, result) = match answer {
        Ok(answer) if answer.status == 200 => ("ok", Ok(answer.body)),
        Ok(answer) if answer.status >= 500 => {
            let text = format!("status {}", answer.status);
            ("unavailable", Err(TableError::Unavailable(text)))
        }
        Ok(answer) => match format::read_error(&answer.body) {
            ErrorKind::Throttled(text) | ErrorKind::Transient(text) => {
                ("unavailable", Err(TableError::Unavailable(text)))
            }
            ErrorKind::Conflict(_) => (
                "invalid",
                Err(TableError::Invalid("conflict on a read".to_owned())),
            ),
            ErrorKind::Other(text) => ("invalid", Err(TableError::Invalid(text))),
        },
        Err(CallFailure::NotWritten(text)) => ("unavailable", Err(TableError::Unavailable(text))),
        Err(CallFailure::NoAnswer(text)) => ("unknown", Err(TableError::Unknown(text))),
    };
    count(operation, outcome);
    result
}

pub(super) async fn get(
    pool: &ConnectionPool,
    key: &RowKey,
) -> Result<Option<TableRow>, TableError> {
    let body = format::get(&pool.settings.name, key);
    let answer = read(pool, "GetItem", &body).await?;
    format::read_row(&answer)
}

/// Runs a transaction. `token` makes a repeated send take effect at most once.
pub(super) async fn execute(
    pool: &ConnectionPool,
    token: &str,
    rows: &[RowOperation<'_>],
) -> Result<(), TableError> {
    let body = format::transact(&pool.settings.name, token, rows);
    match send_repeatedly(pool, &body).await {
        Outcome::NoAnswer(text) => settle(pool, &body, rows, text).await,
        outcome => to_result(outcome),
    }
}

fn to_result(outcome: Outcome) -> Result<(), TableError> {
    match outcome {
        Outcome::Written => Ok(()),
        Outcome::Conflict(indexes) => Err(TableError::Conflict(indexes)),
        Outcome::Transient(text) | Outcome::Unavailable(text) => Err(TableError::Unavailable(text)),
        Outcome::NoAnswer(text) => Err(TableError::Unknown(text)),
        Outcome::Invalid(text) => Err(TableError::Invalid(text)),
    }
}

async fn send_repeatedly(pool: &ConnectionPool, body: &Bytes) -> Outcome {
    let mut pause_ms = TRANSIENT_PAUSE_MS;
    for _ in 1..MAX_TRANSIENT_TRIES {
        match send(pool, body).await {
            Outcome::Transient(_) => {}
            outcome => return outcome,
        }
        let jitter_ms = rand::random_range(0..pause_ms);
        tokio::time::sleep(time::Duration::from_millis(pause_ms + jitter_ms)).await;
        pause_ms *= 2;
    }
    send(pool, body).await
}

async fn send(pool: &ConnectionPool, body: &Bytes) -> Outcome {
    let outcome = match pool.call("TransactWriteItems", body).await {
        Ok(answer) if answer.status == 200 => Outcome::Written,
        Ok(answer) if answer.status >= 500 => {
            Outcome::NoAnswer(format!("status {}", answer.status))
        }
        Ok(answer) => match format::read_error(&answer.body) {
            ErrorKind::Conflict(indexes) => Outcome::Conflict(indexes),
            ErrorKind::Transient(text) => Outcome::Transient(text),
            ErrorKind::Throttled(text) => Outcome::Unavailable(text),
            ErrorKind::Other(text) => Outcome::Invalid(text),
        },
        Err(CallFailure::NotWritten(text)) => Outcome::Unavailable(text),
        Err(CallFailure::NoAnswer(text)) => Outcome::NoAnswer(text),
    };
    let label = match &outcome {
        Outcome::Written => "ok",
        Outcome::Conflict(_) => "conflict",
        Outcome::Transient(_) => "retried",
        Outcome::Unavailable(_) => "unavailable",
        Outcome::NoAnswer(_) => "unknown",
        Outcome::Invalid(_) => "invalid",
    };
    count("TransactWriteItems", label);
    outcome
}

enum ReadBack {
    Ours,
    Conflict(Vec<usize>),
    Undecided,
}

/// Finds out whether a transaction without answer took effect. While the rows do not tell, the
/// transaction is sent once more under its token: that repeats neither an applied transaction nor
/// one that arrives later.
async fn settle(
    pool: &ConnectionPool,
    body: &Bytes,
    rows: &[RowOperation<'_>],
    text: String,
) -> Result<(), TableError> {
    match read_back(pool, rows).await {
        Err(_) => return Err(TableError::Unknown(text)),
        Ok(ReadBack::Ours) => return Ok(()),
        Ok(ReadBack::Conflict(indexes)) => return Err(TableError::Conflict(indexes)),
        Ok(ReadBack::Undecided) => {}
    }
    match send_repeatedly(pool, body).await {
        Outcome::Written => Ok(()),
        // The first send may have taken effect between the read and the second send.
        Outcome::Conflict(indexes) => match read_back(pool, rows).await {
            Ok(ReadBack::Ours) => Ok(()),
            Ok(_) => Err(TableError::Conflict(indexes)),
            Err(_) => Err(TableError::Unknown(text)),
        },
        // The first send is still undecided, whatever stopped the second.
        _ => Err(TableError::Unknown(text)),
    }
}

async fn read_back(
    pool: &ConnectionPool,
    rows: &[RowOperation<'_>],
) -> Result<ReadBack, TableError> {
    let mut conflicts = Vec::new();
    for (index, (operation, write)) in rows.iter().enumerate() {
        let row = get(pool, write.key()).await?;
        let is_put = matches!(write, RowWrite::Put { .. });
        // A transaction is applied as a whole, so one of its rows proves all of them.
        if is_put && row.as_ref().is_some_and(|row| &row.operation == *operation) {
            return Ok(ReadBack::Ours);
        }
        if is_put && excludes(row.as_ref(), write.condition()) {
            conflicts.push(index);
        }
    }
    if conflicts.is_empty() {
        return Ok(ReadBack::Undecided);
    }
    Ok(ReadBack::Conflict(conflicts))
}

/// Whether a row that another operation wrote proves that a write under `condition` has not taken
/// effect and no longer can: the other operation has taken the version that the write would have.
/// A later version may have replaced ours, so it proves nothing.
fn excludes(row: Option<&TableRow>, condition: RowCondition) -> bool {
    let next = match condition {
        RowCondition::Absent => 1,
        RowCondition::Version(version) => version + 1,
    };
    row.is_some_and(|row| row.version == next)
}
