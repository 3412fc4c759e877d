//! JSON bodies of requests to the table service and of its responses.

use acaciabank_protocol::ids;
use bytes::Bytes;
use serde_json::{Value, json};

use super::{RowCondition, RowKey, RowWrite, TableError, TableRow};

/// Attribute with the time after which a row may be removed; the table's time-to-live setting must
/// name it.
const EXPIRY_ATTRIBUTE: &str = "expires";

/// One page of a query.
pub(super) struct RowPage {
    pub(super) rows: Vec<TableRow>,
    /// Start key of the next page; `None` on the last page.
    pub(super) next: Option<Value>,
}

fn to_bytes(value: &Value) -> Bytes {
    Bytes::from(value.to_string())
}

fn key_value(key: &RowKey) -> Value {
    json!({"pk": {"S": key.partition}, "sk": {"S": key.name}})
}

pub(super) fn get(table: &str, key: &RowKey) -> Bytes {
    to_bytes(&json!({"TableName": table, "Key": key_value(key), "ConsistentRead": true}))
}

pub(super) fn query(table: &str, partition: &str, prefix: &str, start: Option<&Value>) -> Bytes {
    let mut body = json!({
        "TableName": table,
        "ConsistentRead": true,
        "KeyConditionExpression": "pk = :pk AND begins_with(sk, :prefix)",
        "ExpressionAttributeValues": {":pk": {"S": partition}, ":prefix": {"S": prefix}},
    });
    if let Some(start) = start {
        body["ExclusiveStartKey"] = start.clone();
    }
    to_bytes(&body)
}

pub(super) fn transact(table: &str, token: &str, rows: &[(&ids::OperationId, &RowWrite)]) -> Bytes {
    let items: Vec<Value> = rows
        .iter()
        .map(|(operation, write)| transact_item(table, operation, write))
        .collect();
    to_bytes(&json!({"ClientRequestToken": token, "TransactItems": items}))
}

/// Member of `TransactItems` for one row; a `Put` stores the version that follows the condition.
fn transact_item(table: &str, operation: &ids::OperationId, write: &RowWrite) -> Value {
    let mut action = json!({"TableName": table});
    let version = match write.condition() {
        RowCondition::Absent => {
            action["ConditionExpression"] = json!("attribute_not_exists(pk)");
            1
        }
        RowCondition::Version(version) => {
            action["ConditionExpression"] = json!("version = :version");
            action["ExpressionAttributeValues"] = json!({":version": {"N": version.to_string()}});
            version + 1
        }
    };
    match write {
        RowWrite::Put {
            key,
            body,
            expires_unix_s,
            ..
        } => {
            action["Item"] = json!({
                "pk": {"S": key.partition},
                "sk": {"S": key.name},
                "version": {"N": version.to_string()},
                "operation": {"S": operation.as_str()},
                "body": {"S": body},
            });
            if let Some(expires) = expires_unix_s {
                action["Item"][EXPIRY_ATTRIBUTE] = json!({"N": expires.to_string()});
            }
            json!({"Put": action})
        }
        RowWrite::Delete { key, .. } => {
            action["Key"] = key_value(key);
            json!({"Delete": action})
        }
        RowWrite::Check { key, .. } => {
            action["Key"] = key_value(key);
            json!({"ConditionCheck": action})
        }
    }
}

fn parse(body: &[u8]) -> Result<Value, TableError> {
    serde_json::from_slice(body).map_err(|error| TableError::Invalid(error.to_string()))
}

/// Value of an attribute of the given type, such as `S` for a string or `N` for a number.
fn attribute<'a>(item: &'a Value, name: &str, kind: &str) -> Result<&'a str, TableError> {
    item[name][kind]
        .as_str()
        .ok_or_else(|| TableError::Invalid(format!("attribute {name} is missing or not {kind}")))
}

fn decode_row(item: &Value) -> Result<TableRow, TableError> {
    let version = attribute(item, "version", "N")?;
    Ok(TableRow {
        key: RowKey {
            partition: attribute(item, "pk", "S")?.to_owned(),
            name: attribute(item, "sk", "S")?.to_owned(),
        },
        version: version
            .parse()
            .map_err(|_| TableError::Invalid(format!("version {version} is not a number")))?,
        operation: ids::OperationId::new(attribute(item, "operation", "S")?),
        body: attribute(item, "body", "S")?.to_owned(),
    })
}

pub(super) fn read_row(body: &[u8]) -> Result<Option<TableRow>, TableError> {
    let response = parse(body)?;
    match response.get("Item") {
        None | Some(Value::Null) if response.is_object() => Ok(None),
        None | Some(Value::Null) => Err(TableError::Invalid("not an object".to_owned())),
        Some(item) => decode_row(item).map(Some),
    }
}

pub(super) fn read_page(body: &[u8]) -> Result<RowPage, TableError> {
    let response = parse(body)?;
    let items = response["Items"]
        .as_array()
        .ok_or_else(|| TableError::Invalid("member Items is missing".to_owned()))?;
    let rows = items.iter().map(decode_row).collect::<Result<_, _>>()?;
    let next = response
        .get("LastEvaluatedKey")
        .filter(|key| !key.is_null())
        .cloned();
    Ok(RowPage { rows, next })
}

/// Kind of an error response of the service.
pub(super) enum ErrorKind {
    /// The conditions of the rows at these positions do not hold.
    Conflict(Vec<usize>),
    /// The same request may succeed later; nothing was written.
    Transient(String),
    /// The service's rate limit was exceeded; nothing was written.
    Throttled(String),
    /// Any other error.
    Other(String),
}

pub(super) fn read_error(body: &[u8]) -> ErrorKind {
    let Ok(response) = parse(body) else {
        return ErrorKind::Other("error answer is not JSON".to_owned());
    };
    let kind = response["__type"].as_str().unwrap_or_default();
    let kind = kind.rsplit('#').next().unwrap_or_default();
    match kind {
        "TransactionCanceledException" => read_cancellation(&response),
        "ProvisionedThroughputExceededException"
        | "ThrottlingException"
        | "RequestLimitExceeded" => ErrorKind::Throttled(kind.to_owned()),
        "TransactionConflictException" | "TransactionInProgressException" => {
            ErrorKind::Transient(kind.to_owned())
        }
        _ => ErrorKind::Other(response.to_string()),
    }
}

/// Classifies a cancelled transaction: a conflict if any condition failed, otherwise transient.
fn read_cancellation(response: &Value) -> ErrorKind {
    let Some(reasons) = response["CancellationReasons"].as_array() else {
        return ErrorKind::Other("cancellation without reasons".to_owned());
    };
    let is_conflict = |reason: &Value| reason["Code"] == "ConditionalCheckFailed";
    let failed: Vec<usize> = (0..reasons.len())
        .filter(|index| is_conflict(&reasons[*index]))
        .collect();
    if failed.is_empty() {
        return ErrorKind::Transient(Value::from(reasons.clone()).to_string());
    }
    ErrorKind::Conflict(failed)
}
