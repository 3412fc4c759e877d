//! Reads and transactions, with retries and a read-back after a lost response.

use std::time;

use acaciabank_protocol::ids;
use bytes::Bytes;

use super::{
    RowCondition, RowKey, RowWrite, TableError, TableRow,
    connection::{CallError, ConnectionPool},
    format::{self, ErrorKind},
};

/// Maximum number of attempts for a transaction that the service cancels for a reason other than a
/// condition.
const MAX_ATTEMPTS: u32 = 4;

/// Delay before the second attempt; doubles with each further attempt. Jitter of up to the same
/// amount is added.
const MIN_RETRY_DELAY_MS: u64 = 10;

/// Id of an operation and its write of one row.
type RowOperation<'a> = (&'a ids::OperationId, &'a RowWrite);

/// Outcome of sending a transaction once or with retries.
enum Outcome {
    Written,
    Conflict(Vec<usize>),
    Transient(String),
    Unavailable(String),
    NoResponse(String),
    Invalid(String),
}

fn count_call(operation: &'static str, outcome: &'static str) {
    metrics::counter!("acaciabank_table_calls_total",
        "operation" => operation, "outcome" => outcome)
    .increment(1);
}

/// Sends a read. A read without a response is sent once more, because it changes nothing.
pub(super) async fn read(
    pool: &ConnectionPool,
    operation: &'static str,
    body: &Bytes,
) -> Result<Bytes, TableError> {
    let mut response = pool.call(operation, body).await;
    if matches!(response, Err(CallError::NoResponse(_))) {
        count_call(operation, "retried");
        response = pool.call(operation, body).await;
    }
    let (outcome, result) = match response {
        Ok(response) if response.status == 200 => ("ok", Ok(response.body)),
        Ok(response) if response.status >= 500 => {
            let text = format!("status {}", response.status);
            ("unavailable", Err(TableError::Unavailable(text)))
        }
        Ok(response) => match format::read_error(&response.body) {
            ErrorKind::Throttled(text) | ErrorKind::Transient(text) => {
                ("unavailable", Err(TableError::Unavailable(text)))
            }
            ErrorKind::Conflict(_) => (
                "invalid",
                Err(TableError::Invalid("conflict on a read".to_owned())),
            ),
            ErrorKind::Other(text) => ("invalid", Err(TableError::Invalid(text))),
        },
        Err(CallError::NotWritten(text)) => ("unavailable", Err(TableError::Unavailable(text))),
        Err(CallError::NoResponse(text)) => ("unknown", Err(TableError::Unknown(text))),
    };
    count_call(operation, outcome);
    result
}

pub(super) async fn get(
    pool: &ConnectionPool,
    key: &RowKey,
) -> Result<Option<TableRow>, TableError> {
    let body = format::get(&pool.settings.name, key);
    let response = read(pool, "GetItem", &body).await?;
    format::read_row(&response)
}

/// Executes a transaction. The service applies transactions with the same `token` at most once.
pub(super) async fn execute(
    pool: &ConnectionPool,
    token: &str,
    rows: &[RowOperation<'_>],
) -> Result<(), TableError> {
    let body = format::transact(&pool.settings.name, token, rows);
    match send_with_retries(pool, &body).await {
        Outcome::NoResponse(text) => resolve_lost_response(pool, &body, rows, text).await,
        outcome => to_result(outcome),
    }
}

fn to_result(outcome: Outcome) -> Result<(), TableError> {
    match outcome {
        Outcome::Written => Ok(()),
        Outcome::Conflict(indexes) => Err(TableError::Conflict(indexes)),
        Outcome::Transient(text) | Outcome::Unavailable(text) => Err(TableError::Unavailable(text)),
        Outcome::NoResponse(text) => Err(TableError::Unknown(text)),
        Outcome::Invalid(text) => Err(TableError::Invalid(text)),
    }
}

/// Sends a transaction until it ends with an outcome other than transient, at most
/// [`MAX_ATTEMPTS`] times.
async fn send_with_retries(pool: &ConnectionPool, body: &Bytes) -> Outcome {
    let mut delay_ms = MIN_RETRY_DELAY_MS;
    for _ in 1..MAX_ATTEMPTS {
        match send(pool, body).await {
            Outcome::Transient(_) => {}
            outcome => return outcome,
        }
        let jitter_ms = rand::random_range(0..delay_ms);
        tokio::time::sleep(time::Duration::from_millis(delay_ms + jitter_ms)).await;
        delay_ms *= 2;
    }
    send(pool, body).await
}

async fn send(pool: &ConnectionPool, body: &Bytes) -> Outcome {
    let outcome = match pool.call("TransactWriteItems", body).await {
        Ok(response) if response.status == 200 => Outcome::Written,
        Ok(response) if response.status >= 500 => {
            Outcome::NoResponse(format!("status {}", response.status))
        }
        Ok(response) => match format::read_error(&response.body) {
            ErrorKind::Conflict(indexes) => Outcome::Conflict(indexes),
            ErrorKind::Transient(text) => Outcome::Transient(text),
            ErrorKind::Throttled(text) => Outcome::Unavailable(text),
            ErrorKind::Other(text) => Outcome::Invalid(text),
        },
        Err(CallError::NotWritten(text)) => Outcome::Unavailable(text),
        Err(CallError::NoResponse(text)) => Outcome::NoResponse(text),
    };
    let label = match &outcome {
        Outcome::Written => "ok",
        Outcome::Conflict(_) => "conflict",
        Outcome::Transient(_) => "retried",
        Outcome::Unavailable(_) => "unavailable",
        Outcome::NoResponse(_) => "unknown",
        Outcome::Invalid(_) => "invalid",
    };
    count_call("TransactWriteItems", label);
    outcome
}

/// What the rows show about a transaction without a response.
enum ReadBack {
    Applied,
    /// It was not applied and cannot be any more, because of the rows at these positions.
    Conflict(Vec<usize>),
    /// It may have been applied, or may still arrive at the service.
    Undetermined,
}

/// Determines whether a transaction without a response took effect. If the rows do not show it, the
/// transaction is sent once more under the same token, so that it is applied at most once even if
/// the first one has been applied or arrives later.
async fn resolve_lost_response(
    pool: &ConnectionPool,
    body: &Bytes,
    rows: &[RowOperation<'_>],
    text: String,
) -> Result<(), TableError> {
    match read_back(pool, rows).await {
        Err(_) => return Err(TableError::Unknown(text)),
        Ok(ReadBack::Applied) => return Ok(()),
        Ok(ReadBack::Conflict(indexes)) => return Err(TableError::Conflict(indexes)),
        Ok(ReadBack::Undetermined) => {}
    }
    match send_with_retries(pool, body).await {
        Outcome::Written => Ok(()),
        // The first send may have taken effect between the read and the second send.
        Outcome::Conflict(indexes) => match read_back(pool, rows).await {
            Ok(ReadBack::Applied) => Ok(()),
            Ok(_) => Err(TableError::Conflict(indexes)),
            Err(_) => Err(TableError::Unknown(text)),
        },
        // Whatever failed the second send, the outcome of the first is still unknown.
        _ => Err(TableError::Unknown(text)),
    }
}

/// Reads the written rows for traces of the transaction or of conflicting writes.
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
            return Ok(ReadBack::Applied);
        }
        if is_put && rules_out(row.as_ref(), write.condition()) {
            conflicts.push(index);
        }
    }
    if conflicts.is_empty() {
        return Ok(ReadBack::Undetermined);
    }
    Ok(ReadBack::Conflict(conflicts))
}

/// Whether a row that another operation wrote proves that a write under `condition` has not taken
/// effect and no longer can: its version is the one that the write would have produced. A later
/// version proves nothing, because it may have replaced that write.
fn rules_out(row: Option<&TableRow>, condition: RowCondition) -> bool {
    let written_version = match condition {
        RowCondition::Absent => 1,
        RowCondition::Version(version) => version + 1,
    };
    row.is_some_and(|row| row.version == written_version)
}
