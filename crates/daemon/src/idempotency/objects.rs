//! Recorded responses in the object store.

use std::{net, time::Duration};

use acaciabank_protocol::ids;
use bytes::Bytes;
use sha2::{Digest, Sha256};

use crate::{planner::connection, table};

/// Timeout of one call to the object store.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Name of the object with a key's response. The hash includes the operation id of the intent, a
/// 128-bit random number, so that the name cannot be guessed from the team and the key.
pub(super) fn object_name(row: &table::RowKey, operation: &ids::OperationId) -> String {
    let mut hash = Sha256::new();
    hash.update(row.partition.as_bytes());
    hash.update(b"/");
    hash.update(row.name.as_bytes());
    hash.update(b"/");
    hash.update(operation.as_str().as_bytes());
    hash.finalize()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Stores an object.
///
/// # Errors
///
/// Returns the error of the call, or the status if it is not a success.
pub(super) async fn put(
    address: net::SocketAddr,
    name: &str,
    body: Bytes,
) -> Result<(), connection::CallError> {
    let path = format!("/objects/{name}");
    let response =
        connection::call_once(address, http::Method::PUT, &path, body, CALL_TIMEOUT).await?;
    match response.status.is_success() {
        true => Ok(()),
        false => Err(connection::CallError::Status(response.status)),
    }
}

/// Reads an object.
///
/// # Errors
///
/// Returns the error of the call, or the status if it is not a success.
pub(super) async fn get(
    address: net::SocketAddr,
    name: &str,
) -> Result<Bytes, connection::CallError> {
    let path = format!("/objects/{name}");
    let body = Bytes::new();
    let response =
        connection::call_once(address, http::Method::GET, &path, body, CALL_TIMEOUT).await?;
    match response.status.is_success() {
        true => Ok(response.body),
        false => Err(connection::CallError::Status(response.status)),
    }
}
